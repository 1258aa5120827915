/* A store that comes back from an older copy, and what hosts make of it.
 *
 * One store with one configuration and one target, two feeders that read it,
 * one host that learns from both and, if it is left behind, from the store.
 * The store may come back twice; feeders notice at different times, and their
 * messages arrive late. Operators repeat what was lost. Checked of the host:
 *   - the configuration that was confirmed last is in force in the end;
 *   - a target that has left is not used in the end;
 *   - its configuration is no older than that of whom it has its content from;
 *   - its content never goes back to an era that has ended;
 *   - it does not use a target that it knows to have left, whether an entry of
 *     the copy or a late message names it.
 * Each NO_... leaves one rule out; model/check says which are found.
 */

#define CHANGES 2
#define RESTORES 2

typedef Content {
  byte era;
  byte rev;
  byte config;          /* version in this history */
  byte config_rev;
  bool target;          /* the entry is there */
  byte target_rev;
}

Content store, copy;
bool has_copy = false;
byte confirmed = 0;       /* highest version that an operator was told of */
bool target_left = false;
bool lost = false;        /* operators have not repeated their writes yet */

Content feeder[2];
byte in_force[2];         /* version that the feeder serves */
chan link0 = [1] of { bool, byte, byte, byte, byte, bool, byte, byte };
chan link1 = [1] of { bool, byte, byte, byte, byte, bool, byte, byte };

Content host;
byte host_config = 0;
bool uses_target = false;
bool knows_left = false;
bool behind = false;

inline send(link, i, whole) {
  link!whole, feeder[i].era, feeder[i].rev, feeder[i].config,
      feeder[i].config_rev, feeder[i].target, feeder[i].target_rev, in_force[i]
}

inline copy_content(from, to) {
  to.era = from.era; to.rev = from.rev;
  to.config = from.config; to.config_rev = from.config_rev;
  to.target = from.target; to.target_rev = from.target_rev
}

inline feeder_reads(i, link) {
  if
  :: store.config > in_force[i] -> in_force[i] = store.config
  :: else
  fi;
  if
#ifdef NO_ERA_RULE
  :: store.rev > feeder[i].rev ->
       copy_content(store, feeder[i]); send(link, i, false)
#else
  :: store.era == feeder[i].era && store.rev > feeder[i].rev ->
       copy_content(store, feeder[i]); send(link, i, false)
  :: store.era > feeder[i].era ->
       copy_content(store, feeder[i]);
#ifdef NO_WHOLE_RULE
       send(link, i, false)
#else
       send(link, i, true)
#endif
#endif
  :: else
  fi
}

inline take_target(m_named) {
  if
  :: m_named ->
#ifdef NO_DOUBT_RULE
       uses_target = true
#else
       uses_target = !knows_left
#endif
  :: else ->
       knows_left = knows_left || target_left;
       uses_target = false
  fi;
  assert(!(uses_target && knows_left && target_left))
}

inline host_takes(m_whole, m_era, m_rev, m_config, m_config_rev, m_there,
                  m_target_rev, m_carried) {
  if
#ifdef NO_ERA_RULE
  :: m_rev <= host.rev -> skip
#else
#ifndef NO_DROP_RULE
  :: m_era < host.era -> skip
#endif
#ifndef NO_WHOLE_RULE
  :: m_era > host.era && !m_whole -> behind = true
#endif
  :: m_era == host.era && m_rev <= host.rev -> skip
#endif
  :: else ->
       if
       :: m_whole || m_rev > host.rev || m_era > host.era ->
            /* Changes bring what was written after the host's position. */
            if
            :: m_whole || m_config_rev > host.rev ->
                 host.config = m_config; host.config_rev = m_config_rev;
                 if
                 :: m_config > host_config -> host_config = m_config
                 :: else
                 fi
            :: else
            fi;
            if
            :: m_whole || m_target_rev > host.rev -> take_target(m_there)
            :: else
            fi
       :: else ->
            /* A late word of another history on a key that is not there. */
            take_target(m_there)
       fi;
#ifndef NO_ERA_RULE
       assert(m_era >= host.era);
#endif
       host.era = m_era; host.rev = m_rev
  fi;
#ifndef NO_CARRY_RULE
  if
  :: m_era == host.era && m_carried > host_config -> host_config = m_carried
  :: else
  fi;
#endif
  assert(!m_whole || m_era != host.era || host_config >= m_carried)
}

inline host_reads() {
  host_takes(true, store.era, store.rev, store.config, store.config_rev,
             store.target, store.target_rev, store.config);
  behind = false
}

init {
  byte changes = CHANGES, restores = RESTORES, reads = 3, takes = 3;
  bool whole, there;
  byte era, rev, config, config_rev, target_rev, carried;
  byte last = 0;
  store.era = 1; store.rev = 1; store.target = true; store.target_rev = 1;
  copy_content(store, feeder[0]); copy_content(store, feeder[1]);
  copy_content(store, host); uses_target = true;
  do
  :: atomic { changes > 0 ->
       changes--; store.rev++; confirmed++;
       store.config = confirmed; store.config_rev = store.rev }
  :: atomic { store.target && !target_left ->
       target_left = true; store.rev++;
       store.target = false; store.target_rev = store.rev }
  :: atomic { !has_copy -> has_copy = true; copy_content(store, copy) }
  :: atomic { has_copy && restores > 0 ->
       restores--; era = store.era + 1; copy_content(copy, store);
       store.era = era; has_copy = false; lost = true }
  :: atomic { lost ->
       lost = false; store.rev++;
       store.config = confirmed; store.config_rev = store.rev }
  :: atomic { reads > 0 && nfull(link0) -> reads--; feeder_reads(0, link0) }
  :: atomic { reads > 0 && nfull(link1) -> reads--; feeder_reads(1, link1) }
  :: atomic { takes > 0 && nempty(link0) ->
       takes--;
       link0?whole, era, rev, config, config_rev, there, target_rev, carried;
       host_takes(whole, era, rev, config, config_rev, there, target_rev, carried) }
  :: atomic { takes > 0 && nempty(link1) ->
       takes--;
       link1?whole, era, rev, config, config_rev, there, target_rev, carried;
       host_takes(whole, era, rev, config, config_rev, there, target_rev, carried) }
  :: atomic { takes > 0 && behind -> takes--; host_reads() }
  :: break
  od;
  /* In the end all is repeated, one feeder reads, and all is delivered. */
  atomic {
    if
    :: lost ->
         lost = false; store.rev++;
         store.config = confirmed; store.config_rev = store.rev
    :: else
    fi;
    do
    :: nempty(link0) ->
         link0?whole, era, rev, config, config_rev, there, target_rev, carried;
         host_takes(whole, era, rev, config, config_rev, there, target_rev, carried)
    :: nempty(link1) ->
         link1?whole, era, rev, config, config_rev, there, target_rev, carried;
         host_takes(whole, era, rev, config, config_rev, there, target_rev, carried)
    :: empty(link0) && empty(link1) && last == 0 -> last = 1; feeder_reads(0, link0)
    :: empty(link0) && empty(link1) && last == 1 -> break
    od;
    if
    :: behind -> host_reads()
    :: else
    fi;
    assert(host_config == confirmed);
    assert(!uses_target || store.target)
  }
}
