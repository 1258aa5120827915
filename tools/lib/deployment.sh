# Functions that start a small deployment on loopback, on ports that the kernel picks, and stop its processes by id.
# Sourced by tools/demo, tools/end-to-end and tools/measure-restore; needs $build, the build directory.

work=$(mktemp -d)
declare -A pid_of=()
started=()

fail() { echo "FAIL: $*" >&2; exit 1; }

# wait_until SECONDS COMMAND...: polls until the command succeeds; fails after the given time.
wait_until() {
  local end=$((SECONDS + $1)); shift
  while ! "$@" >/dev/null 2>&1; do
    [ $SECONDS -lt "$end" ] || return 1
    sleep 0.05
  done
}

is_running() { kill -0 "${pid_of[$1]}" 2>/dev/null; }
has_ended() { ! is_running "$1"; }
is_listening() { grep -qE '^listening |"event":"started"' "$work/$1.out"; }
listens_or_ended() { is_listening "$1" || has_ended "$1"; }

# start NAME COMMAND...: starts a process and waits for the line that says that it is ready.
start() {
  local name=$1; shift
  : >"$work/$name.out"
  "$@" >"$work/$name.out" 2>"$work/$name.err" &
  pid_of[$name]=$!
  started+=("$name")
  wait_until 30 listens_or_ended "$name" || fail "$name is not ready after 30 s"
  is_listening "$name" || { cat "$work/$name.err" >&2; fail "$name ended before it was ready"; }
}

signal() { kill "-$2" "${pid_of[$1]}"; }

# wait_exit NAME SECONDS: waits until a process has ended and sets exit_code.
wait_exit() {
  wait_until "$2" has_ended "$1" || return 1
  exit_code=0
  wait "${pid_of[$1]}" || exit_code=$?
}

stop_all() {
  local name
  for name in "${started[@]}"; do
    is_running "$name" && kill -TERM "${pid_of[$name]}" 2>/dev/null
  done
  for name in "${started[@]}"; do
    wait_until 40 has_ended "$name" || kill -KILL "${pid_of[$name]}" 2>/dev/null
  done
  rm -rf "$work"
}

address_of() { sed -n 's/^listening \(127[0-9.:]*\)$/\1/p' "$work/$1.out"; }
# logged_port NAME FIELD: a port that a daemon logged when it started.
logged_port() { sed -n "s/.*\"event\":\"started\".*\"$2\":\([0-9]*\).*/\1/p" "$work/$1.out"; }
queries_address() { echo "127.0.0.1:$(logged_port "$1" queries_port)"; }
metrics_address() { echo "127.0.0.1:$(logged_port "$1" metrics_port)"; }
callers_address() { echo "127.0.0.1:$(logged_port "$1" callers_port)"; }
store_control() { curl -s -m 10 -o /dev/null -d "$1" "http://$(address_of store)/control"; }

# start_platform FOLDER [TARGET OPTIONS...]: starts the store and the targets of a deployment.
start_platform() {
  local files=$1; shift
  start store "$build/standins/standin_store"
  start targets "$build/standins/standin_target" --hosts "$files/hosts.json" --index "$files/index.json" \
    --store "$(address_of store)" "$@"
}

# write_config FOLDER VERSION: writes the operator's configuration, with each service of the deployment's index.json.
write_config() {
  local services
  services=$(sed -n 's/^ *"\([A-Za-z]*\)": {"versions.*/{\\"name\\":\\"\1\\",\\"maxConnections\\":60}/p' "$1/index.json" | paste -sd,)
  store_control "{\"put\":[{\"key\":\"op/config\",\"value\":\"{\\\"version\\\":$2,\\\"routes\\\":[],\\\"services\\\":[$services]}\"}]}"
}

# write_settings NAME DOMAIN: writes the settings of one host.
write_settings() {
  cat >"$work/$1.toml" <<END
[host]
name = "$1"
failure_domain = "$2"
[listen]
callers = "127.0.0.1:0"
queries = "127.0.0.1:0"
metrics = "127.0.0.1:0"
[store]
address = "$(address_of store)"
[shutdown]
grace_ms = 2500
END
}

# start_entry NAME DOMAIN: starts one host.
start_entry() {
  local name=$1 domain=$2
  write_settings "$name" "$domain"
  start "$name" "$build/platform/jacinthdeckd" --config "$work/$name.toml"
  [[ " ${entries[*]} " == *" $name "* ]] || entries+=("$name")
}
entries=()

# ctl NAME ARGUMENTS...: runs jacinthdeckctl against one host and the store.
ctl() {
  local name=$1; shift
  "$build/platform/jacinthdeckctl" --store "$(address_of store)" --host "$(metrics_address "$name")" \
    --queries "$(queries_address "$name")" "$@"
}

# answers NAME CALL REQUEST: succeeds if a host gives a whole answer.
answers() { ctl "$1" query "$2" "$3" --deadline-ms 2000; }
