/* Checks what hosts do when the store is restored from a backup.
 *
 * There is one store with one configuration and one target, two feeders that
 * read the store, and one host that follows both feeders and reads the store
 * itself if it lacks the full content of a new era. The store may be restored
 * twice; the feeders notice a restore at different times, and their messages
 * arrive late. Operators repeat the writes that a restore lost. Checked for the
 * host:
 *   - in the end it serves the configuration that was confirmed last;
 *   - in the end it does not use a target that has left;
 *   - its configuration is no older than that of the sender of its content;
 *   - its content never returns to an era that has ended;
 *   - it does not use a target that it knows to have left, whether an entry of
 *     the backup or a late message names it.
 * Each NO_... macro leaves one rule out; model/check says which of them must
 * make an assertion fail.
 */

#define CHANGES 2
#define RESTORES 2

typedef Content {
  byte era;
  byte rev;
  byte config;          /* version in this era */
  byte config_rev;
  bool has_target;      /* the entry of the target exists */
  byte target_rev;
}

Content store, backup;
bool has_backup = false;
byte confirmed_config = 0;  /* newest version confirmed to an operator */
bool target_left = false;
bool writes_lost = false;   /* operators have yet to repeat lost writes */

Content feeder[2];
byte feeder_config[2];      /* version that each feeder serves */
chan link0 = [1] of { bool, byte, byte, byte, byte, bool, byte, byte };
chan link1 = [1] of { bool, byte, byte, byte, byte, bool, byte, byte };

Content host;
byte host_config = 0;       /* version that the host serves */
bool uses_target = false;
bool knows_target_left = false;
bool needs_full_read = false;  /* it lacks the full content of a new era */

inline send(link, i, whole) {
  link!whole, feeder[i].era, feeder[i].rev, feeder[i].config,
      feeder[i].config_rev, feeder[i].has_target, feeder[i].target_rev,
      feeder_config[i]
}

inline copy_content(from, to) {
  to.era = from.era; to.rev = from.rev;
  to.config = from.config; to.config_rev = from.config_rev;
  to.has_target = from.has_target; to.target_rev = from.target_rev
}

inline feeder_read(i, link) {
  if
  :: store.config > feeder_config[i] -> feeder_config[i] = store.config
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

inline apply_target(m_listed) {
  if
  :: m_listed ->
#ifdef NO_DOUBT_RULE
       uses_target = true
#else
       uses_target = !knows_target_left
#endif
  :: else ->
       knows_target_left = knows_target_left || target_left;
       uses_target = false
  fi;
  assert(!(uses_target && knows_target_left && target_left))
}

inline host_apply(m_whole, m_era, m_rev, m_config, m_config_rev, m_present,
                  m_target_rev, m_sender_config) {
  if
#ifdef NO_ERA_RULE
  :: m_rev <= host.rev -> skip
#else
#ifndef NO_DROP_RULE
  :: m_era < host.era -> skip
#endif
#ifndef NO_WHOLE_RULE
  :: m_era > host.era && !m_whole -> needs_full_read = true
#endif
  :: m_era == host.era && m_rev <= host.rev -> skip
#endif
  :: else ->
       if
       :: m_whole || m_rev > host.rev || m_era > host.era ->
            /* Changes hold only what was written after the host's position. */
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
            :: m_whole || m_target_rev > host.rev -> apply_target(m_present)
            :: else
            fi
       :: else ->
            /* A late message of another era, on a key that the host lacks. */
            apply_target(m_present)
       fi;
#ifndef NO_ERA_RULE
       assert(m_era >= host.era);
#endif
       host.era = m_era; host.rev = m_rev
  fi;
#ifndef NO_CARRY_RULE
  if
  :: m_era == host.era && m_sender_config > host_config ->
       host_config = m_sender_config
  :: else
  fi;
#endif
  assert(!m_whole || m_era != host.era || host_config >= m_sender_config)
}

inline host_full_read() {
  host_apply(true, store.era, store.rev, store.config, store.config_rev,
             store.has_target, store.target_rev, store.config);
  needs_full_read = false
}

init {
  byte changes_left = CHANGES, restores_left = RESTORES, reads_left = 3,
      deliveries_left = 3;
  bool whole, present;
  byte era, rev, config, config_rev, target_rev, sender_config;
  byte final_reads = 0;
  store.era = 1; store.rev = 1; store.has_target = true; store.target_rev = 1;
  copy_content(store, feeder[0]); copy_content(store, feeder[1]);
  copy_content(store, host); uses_target = true;
  do
  :: atomic { changes_left > 0 ->
       changes_left--; store.rev++; confirmed_config++;
       store.config = confirmed_config; store.config_rev = store.rev }
  :: atomic { store.has_target && !target_left ->
       target_left = true; store.rev++;
       store.has_target = false; store.target_rev = store.rev }
  :: atomic { !has_backup -> has_backup = true; copy_content(store, backup) }
  :: atomic { has_backup && restores_left > 0 ->
       restores_left--; era = store.era + 1; copy_content(backup, store);
       store.era = era; has_backup = false; writes_lost = true }
  :: atomic { writes_lost ->
       writes_lost = false; store.rev++;
       store.config = confirmed_config; store.config_rev = store.rev }
  :: atomic { reads_left > 0 && nfull(link0) ->
       reads_left--; feeder_read(0, link0) }
  :: atomic { reads_left > 0 && nfull(link1) ->
       reads_left--; feeder_read(1, link1) }
  :: atomic { deliveries_left > 0 && nempty(link0) ->
       deliveries_left--;
       link0?whole, era, rev, config, config_rev, present, target_rev,
           sender_config;
       host_apply(whole, era, rev, config, config_rev, present, target_rev,
                  sender_config) }
  :: atomic { deliveries_left > 0 && nempty(link1) ->
       deliveries_left--;
       link1?whole, era, rev, config, config_rev, present, target_rev,
           sender_config;
       host_apply(whole, era, rev, config, config_rev, present, target_rev,
                  sender_config) }
  :: atomic { deliveries_left > 0 && needs_full_read ->
       deliveries_left--; host_full_read() }
  :: break
  od;
  /* In the end the lost writes are repeated, one feeder reads the store, and all
   * messages are delivered. */
  atomic {
    if
    :: writes_lost ->
         writes_lost = false; store.rev++;
         store.config = confirmed_config; store.config_rev = store.rev
    :: else
    fi;
    do
    :: nempty(link0) ->
         link0?whole, era, rev, config, config_rev, present, target_rev,
             sender_config;
         host_apply(whole, era, rev, config, config_rev, present, target_rev,
                    sender_config)
    :: nempty(link1) ->
         link1?whole, era, rev, config, config_rev, present, target_rev,
             sender_config;
         host_apply(whole, era, rev, config, config_rev, present, target_rev,
                    sender_config)
    :: empty(link0) && empty(link1) && final_reads == 0 ->
         final_reads = 1; feeder_read(0, link0)
    :: empty(link0) && empty(link1) && final_reads == 1 -> break
    od;
    if
    :: needs_full_read -> host_full_read()
    :: else
    fi;
    assert(host_config == confirmed_config);
    assert(!uses_target || store.has_target)
  }
}
