/* Checks how the store's content spreads among hosts, and when a host applies
 * it.
 *
 * There is one store, two feeders that read it, and one host that follows both
 * feeders and reads the store itself. Messages of the feeders arrive late and
 * in any order between the two. Checked for the host:
 *   - its configuration version never decreases;
 *   - a late message does not bring back a target that was removed;
 *   - a live target whose lease expired while the store was unavailable is not
 *     dropped before it had time to register again;
 *   - it serves nothing before it knows a configuration.
 * Each NO_... macro leaves one rule out; model/check says which of them must
 * make an assertion fail.
 */

#define CHANGES 2      /* number of writes of the configuration */
#define MESSAGES 1     /* messages in transit from one feeder */

typedef Content {
  byte config;         /* version; 0: none */
  byte config_rev;
  bool has_target;     /* the entry of the target exists */
  byte target_rev;
}

byte revision = 0;
Content store;
bool store_unavailable = false;
bool had_outage = false;    /* an outage ended, or a lease expired in one */
bool target_alive = true;
bool target_left = false;   /* it was removed while the store was available */
/* False from the expiry of the target's lease in an outage until the target has
 * registered again. */
bool reregistration_over = true;

Content host;
bool removal_held = false;  /* a removal has not taken effect yet */
bool uses_target = false;
bool used_target = false;   /* the host has used the target at least once */
byte highest_config = 0;
byte removal_rev = 0;       /* newest removal that took effect at the host */

chan feed_a = [MESSAGES] of { byte, byte, bool, byte };
chan feed_b = [MESSAGES] of { byte, byte, bool, byte };

inline apply_config(version, rev) {
  if
#ifdef NO_VERSION_RULE
  :: rev > 0 -> host.config = version; host.config_rev = rev
#else
  :: rev > host.config_rev && version > host.config ->
       host.config = version; host.config_rev = rev
#endif
  :: else
  fi;
  assert(host.config >= highest_config);
  highest_config = host.config
}

inline apply_target(present, rev) {
  if
#ifdef NO_REVISION_RULE
  :: rev > 0 ->
#else
  :: rev > host.target_rev ->
#endif
       host.target_rev = rev;
       host.has_target = present;
       if
       :: present -> removal_held = false; uses_target = true;
            used_target = true;
            assert(rev > removal_rev)
       :: !present ->
            if
#ifndef NO_HOLD
            :: had_outage && !reregistration_over -> removal_held = true
#endif
            :: else ->
                 uses_target = false; removal_held = false; removal_rev = rev
            fi
       fi
  :: else
  fi
}

/* The operator, the target, and the outages of the store. */
active proctype Environment() {
  byte changes_left = CHANGES;
  revision = 1; store.has_target = true; store.target_rev = 1;
  do
  :: atomic { changes_left > 0 && !store_unavailable ->
       changes_left--; revision++; store.config++; store.config_rev = revision }
  :: atomic { !store_unavailable && !had_outage -> store_unavailable = true }
  :: atomic { store_unavailable && store.has_target -> /* its lease expires */
       revision++; store.has_target = false; store.target_rev = revision;
       had_outage = true; reregistration_over = false }
  :: atomic { store_unavailable -> store_unavailable = false; had_outage = true }
  :: atomic { !store_unavailable && had_outage && !store.has_target &&
              target_alive && !target_left ->
       revision++; store.has_target = true; store.target_rev = revision;
       reregistration_over = true }
  :: atomic { !store_unavailable && store.has_target && !target_left &&
              reregistration_over ->
       target_alive = false; target_left = true;
       revision++; store.has_target = false; store.target_rev = revision }
  :: atomic { changes_left == 0 && !store_unavailable && reregistration_over ->
       break }
  od
}

/* Feeders read the store and send its content, which may be outdated when it
 * arrives. */
active proctype FeederA() {
  do
  :: atomic { !store_unavailable && nfull(feed_a) ->
       feed_a!store.config, store.config_rev, store.has_target,
              store.target_rev }
  :: break
  od
}

active proctype FeederB() {
  do
  :: atomic { !store_unavailable && nfull(feed_b) ->
       feed_b!store.config, store.config_rev, store.has_target,
              store.target_rev }
  :: break
  od
}

active proctype Host() {
  byte config, config_rev, target_rev;
  bool has_target;
  byte steps = 4;
  do
  :: atomic { steps > 0 && feed_a?[config, config_rev, has_target, target_rev] ->
       feed_a?config, config_rev, has_target, target_rev;
       apply_config(config, config_rev);
       apply_target(has_target, target_rev); steps-- }
  :: atomic { steps > 0 && feed_b?[config, config_rev, has_target, target_rev] ->
       feed_b?config, config_rev, has_target, target_rev;
       apply_config(config, config_rev);
       apply_target(has_target, target_rev); steps-- }
  :: atomic { steps > 0 && !store_unavailable ->  /* it reads the store */
       apply_config(store.config, store.config_rev);
       apply_target(store.has_target, store.target_rev); steps-- }
  :: atomic { removal_held && reregistration_over ->  /* the hold ends */
       removal_held = false;
       if
       :: !host.has_target -> uses_target = false; removal_rev = host.target_rev
       :: else
       fi }
  :: atomic { steps > 0 ->  /* a call arrives */
       steps--;
#ifdef NO_CONFIG_RULE
       if
       :: uses_target -> assert(host.config > 0)
       :: else
       fi;
#else
       if
       :: host.config > 0 && uses_target -> assert(host.config > 0)
       :: else /* refused: the call is not run */
       fi;
#endif
       /* A live target whose lease expired in the outage stays in use. */
       assert(!(had_outage && !reregistration_over && used_target &&
                !uses_target)) }
  :: steps == 0 -> break
  od
}
