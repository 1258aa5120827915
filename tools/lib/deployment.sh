# Starts a small deployment on loopback, with ports that the kernel picks, and stops what it started, by id.
# Sourced by tools/demo and tools/end-to-end; needs $build, the build directory.

work=$(mktemp -d)
declare -A pid_of=()
started=()

fail() { echo "FAIL: $*" >&2; exit 1; }

# until_true SECONDS COMMAND...: polls; fails once the time is over.
until_true() {
  local end=$((SECONDS + $1)); shift
  while ! "$@" >/dev/null 2>&1; do
    [ $SECONDS -lt "$end" ] || return 1
    sleep 0.05
  done
}

is_running() { kill -0 "${pid_of[$1]}" 2>/dev/null; }
has_ended() { ! is_running "$1"; }
is_listening() { grep -q '^listening ' "$work/$1.out"; }
listens_or_ended() { is_listening "$1" || has_ended "$1"; }

# start NAME COMMAND...: starts a process and waits for its ready line.
start() {
  local name=$1; shift
  : >"$work/$name.out"
  "$@" >"$work/$name.out" 2>"$work/$name.err" &
  pid_of[$name]=$!
  started+=("$name")
  until_true 30 listens_or_ended "$name" || fail "$name is not ready after 30 s"
  is_listening "$name" || { cat "$work/$name.err" >&2; fail "$name ended before it was ready"; }
}

# signal NAME SIGNAL: sends a signal to a process of ours.
signal() { kill "-$2" "${pid_of[$1]}"; }

# wait_end NAME SECONDS: waits for the end of a process and puts its exit code into end_code.
wait_end() {
  until_true "$2" has_ended "$1" || return 1
  end_code=0
  wait "${pid_of[$1]}" || end_code=$?
}

stop_all() {
  local name
  for name in "${started[@]}"; do
    is_running "$name" && kill -TERM "${pid_of[$name]}" 2>/dev/null
  done
  for name in "${started[@]}"; do
    until_true 40 has_ended "$name" || kill -KILL "${pid_of[$name]}" 2>/dev/null
  done
  rm -rf "$work"
}

address_of() { sed -n 's/^listening \(127[0-9.:]*\)$/\1/p' "$work/$1.out"; }
port_of() { sed -n "s/^listening .*$2=\([0-9]*\).*/\1/p" "$work/$1.out"; }
callers_of() { echo "127.0.0.1:$(port_of "$1" callers)"; }
operators_of() { echo "127.0.0.1:$(port_of "$1" operators)"; }

# start_platform DEPLOYMENT [TARGET OPTIONS...]: targets, store and host list.
start_platform() {
  local files=$1; shift
  start targets "$build/standins/standin_target" --hosts "$files/hosts.json" --index "$files/index.json" \
    --hosts-out "$work/hosts.json" "$@"
  start store "$build/standins/standin_store" --index "$files/index.json"
  start hostlist "$build/standins/standin_hostlist" --hosts "$work/hosts.json"
}

# write_settings NAME DOMAIN [SEED...]: settings of one entry; a seed is NODE@IP:PORT.
write_settings() {
  local name=$1 domain=$2; shift 2
  local seeds=""
  local seed
  for seed in "$@"; do seeds+="\"$seed\", "; done
  local store host_list
  store=$(address_of store)
  host_list=$(address_of hostlist)
  cat >"$work/$name.toml" <<END
[node]
name = "$name"
region = "local"
failure_domain = "$domain"
[listen]
callers = { address = "127.0.0.1", port = 0 }
operators = { address = "127.0.0.1", port = 0 }
peers = { address = "127.0.0.1", port = 0 }
[platform]
store = { address = "${store%:*}", port = ${store#*:} }
host_list = { address = "${host_list%:*}", port = ${host_list#*:} }
[peers]
seeds = [${seeds%, }]
END
}

# start_entry NAME DOMAIN: one daemon, with the entries that run already as seeds.
start_entry() {
  local name=$1 domain=$2 other
  local seeds=()
  for other in "${entries[@]}"; do
    is_running "$other" && seeds+=("$other@127.0.0.1:$(port_of "$other" peers)")
  done
  write_settings "$name" "$domain" "${seeds[@]}"
  start "$name" "$build/src/jacinthdeckd" --config "$work/$name.toml"
  [[ " ${entries[*]} " == *" $name "* ]] || entries+=("$name")
}
entries=()

# ctl NAME ARGUMENTS...: the command line against one entry.
ctl() {
  local name=$1; shift
  "$build/src/jacinthdeckctl" --operators "$(operators_of "$name")" --callers "$(callers_of "$name")" "$@"
}

# accepts_schema NAME FILE: puts a schema in force, as one operation; asks again while members still gather.
accepts_schema() {
  local operation="apply-$RANDOM-$RANDOM"
  until_true 60 ctl "$1" schema apply "$2" --operation "$operation" && return 0
  ctl "$1" schema apply "$2" --operation "$operation"
}
apply_schema() { accepts_schema "$@" || fail "the schema was not accepted"; }

# answers NAME CALL REQUEST: whether an entry gives a whole answer.
answers() { ctl "$1" query "$2" "$3" --deadline-ms 2000; }
