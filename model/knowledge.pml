/* How the store's content spreads among hosts, and when a host believes it.
 *
 * One store, two feeders that read it, one host that learns from both and from
 * the store itself. Messages of the feeders arrive late and in any order
 * between the two. Checked of the host:
 *   - its configuration version never falls;
 *   - a target that was removed does not come back by a late message;
 *   - a target whose lease ran out while the store was away, and which lives,
 *     is not dropped before it had its time to return;
 *   - it serves nothing before it knows a configuration.
 * Each NO_... leaves one rule out; model/check says which are found.
 */

#define CHANGES 2      /* writes of the configuration */
#define MESSAGES 1     /* messages under way from one feeder */

typedef Content {
  byte config;         /* version; 0: none */
  byte config_rev;
  bool target;         /* the entry is there */
  byte target_rev;
}

byte revision = 0;
Content store;
bool away = false;         /* the store answers nobody */
bool was_away = false;     /* an outage has been, whose lapses may still show */
bool target_lives = true;
bool target_left = false;  /* it was removed while the store was well */
bool had_time = true;      /* since the outage the target had time to return */

Content host;
bool holding = false;      /* a removal that is not believed yet */
bool uses_target = false;
bool used_target = false;   /* it did at some time */
byte highest_config = 0;
byte removal_rev = 0;      /* highest removal that the host has believed */

chan feed_a = [MESSAGES] of { byte, byte, bool, byte };
chan feed_b = [MESSAGES] of { byte, byte, bool, byte };

inline take_config(version, rev) {
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

inline take_target(there, rev) {
  if
#ifdef NO_REVISION_RULE
  :: rev > 0 ->
#else
  :: rev > host.target_rev ->
#endif
       host.target_rev = rev;
       host.target = there;
       if
       :: there -> holding = false; uses_target = true;
            used_target = true;
            assert(rev > removal_rev)
       :: !there ->
            if
#ifndef NO_HOLD
            :: was_away && !had_time -> holding = true
#endif
            :: else -> uses_target = false; holding = false; removal_rev = rev
            fi
       fi
  :: else
  fi
}

/* The operator, the target, and the store's outages. */
active proctype Platform() {
  byte left = CHANGES;
  revision = 1; store.target = true; store.target_rev = 1;
  do
  :: atomic { left > 0 && !away ->
       left--; revision++; store.config++; store.config_rev = revision }
  :: atomic { !away && !was_away -> away = true }
  :: atomic { away && store.target -> /* its lease runs out */
       revision++; store.target = false; store.target_rev = revision;
       was_away = true; had_time = false }
  :: atomic { away -> away = false; was_away = true }
  :: atomic { !away && was_away && !store.target && target_lives && !target_left ->
       revision++; store.target = true; store.target_rev = revision;
       had_time = true }
  :: atomic { !away && store.target && !target_left && had_time ->
       target_lives = false; target_left = true;
       revision++; store.target = false; store.target_rev = revision }
  :: atomic { left == 0 && !away && had_time -> break }
  od
}

/* Watchers: they hand on what they read, which may be old on arrival. */
active proctype FeederA() {
  do
  :: atomic { !away && nfull(feed_a) ->
       feed_a!store.config, store.config_rev, store.target, store.target_rev }
  :: break
  od
}

active proctype FeederB() {
  do
  :: atomic { !away && nfull(feed_b) ->
       feed_b!store.config, store.config_rev, store.target, store.target_rev }
  :: break
  od
}

active proctype Host() {
  byte config, config_rev, target_rev;
  bool target;
  byte steps = 4;
  do
  :: atomic { steps > 0 && feed_a?[config, config_rev, target, target_rev] ->
       feed_a?config, config_rev, target, target_rev;
       take_config(config, config_rev); take_target(target, target_rev); steps-- }
  :: atomic { steps > 0 && feed_b?[config, config_rev, target, target_rev] ->
       feed_b?config, config_rev, target, target_rev;
       take_config(config, config_rev); take_target(target, target_rev); steps-- }
  :: atomic { steps > 0 && !away ->  /* its own reading */
       take_config(store.config, store.config_rev);
       take_target(store.target, store.target_rev); steps-- }
  :: atomic { holding && had_time ->  /* the hold is over */
       holding = false;
       if
       :: !host.target -> uses_target = false; removal_rev = host.target_rev
       :: else
       fi }
  :: atomic { steps > 0 ->  /* a call comes */
       steps--;
#ifdef NO_CONFIG_RULE
       if
       :: uses_target -> assert(host.config > 0)
       :: else
       fi;
#else
       if
       :: host.config > 0 && uses_target -> assert(host.config > 0)
       :: else /* refused: not run */
       fi;
#endif
       /* A live target that only lapsed is still in use once it was. */
       assert(!(was_away && !had_time && used_target && !uses_target)) }
  :: steps == 0 -> break
  od
}
