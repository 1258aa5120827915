/* A request that may not be repeated, sent again by its caller through any entry.
 *
 * Its id names one life of one node, the executor, and a time after which it is void. Copies of the request are
 * duplicated, delayed and reordered freely: once a copy is under way it may arrive any number of times. The executor
 * pauses (takes no step), restarts and keeps its address. One target runs what reaches it.
 */
#ifndef RESTARTS
#define RESTARTS 2
#endif

/* The executor's registry, lost at a restart. */
#define ABSENT 0
#define REFUSED 1
#define RUNNING 2
#define ENDED 3
byte registry;
byte life;

bool copy_to_entry;
bool copy_to_executor;
bool attempt_to_target;
bool target_replied;
bool expired;

/* What has happened, for the properties only. */
byte runs;
bool told_not_run;

inline TellNotRun() {
  assert(runs == 0);
  told_not_run = true
}

#ifdef MUTANT_NO_INCARNATION
#define IsMine true
#else
#define IsMine (life == 0)
#endif

#ifdef MUTANT_NO_EXPIRY
#define InTime true
#else
#define InTime (!expired)
#endif

proctype Caller() {
  do
  :: atomic { !copy_to_entry -> copy_to_entry = true }
  :: atomic { !copy_to_executor -> copy_to_executor = true }
  od
}

/* Any other entry, with no memory of its own. */
proctype Entry() {
  do
  :: atomic { copy_to_entry -> copy_to_executor = true }
  /* It cannot reach the executor, or it is draining: another copy may have run, so the answer is unknown. */
#ifdef MUTANT_ENTRY_SAYS_NOT_RUN
  :: atomic { copy_to_entry -> TellNotRun() }
#endif
  od
}

proctype Executor() {
  do
  :: atomic { copy_to_executor ->
       if
       /* The clock is read here, after any pause. */
       :: IsMine && InTime && registry == ABSENT ->
            if
            :: registry = RUNNING; attempt_to_target = true
            /* Over its limits: another copy may be under way, so the refusal is kept like a result. */
            ::
#ifndef MUTANT_REFUSAL_FORGOTTEN
               registry = REFUSED;
#endif
               TellNotRun()
            fi
       :: IsMine && registry == REFUSED -> TellNotRun()
#ifdef MUTANT_FORMER_LIFE_NOT_RUN
       :: !IsMine -> TellNotRun()
#endif
       :: else /* unknown, or the kept result */
       fi
     }
  :: atomic { registry == RUNNING && target_replied -> registry = ENDED; target_replied = false }
  /* The connection died after bytes had left. */
  :: atomic { registry == RUNNING ->
#ifdef MUTANT_RETRY_AFTER_LOSS
       attempt_to_target = true;
#endif
       registry = ENDED
     }
#ifdef MUTANT_REGISTRY_BOUNDED_BY_SIZE
  :: atomic { registry == ENDED -> registry = ABSENT }
#else
  :: atomic { expired && registry != ABSENT -> registry = ABSENT }
#endif
  :: atomic { life < RESTARTS -> life++; registry = ABSENT; target_replied = false }
  od
}

proctype Target() {
  do
  :: atomic { attempt_to_target -> runs++;
#ifdef WITNESS_RUNS
       assert(runs == 0);
#endif
       assert(runs == 1); assert(!told_not_run);
#ifndef MUTANT_LIBRARY_RESENDS
       attempt_to_target = false;
#endif
       target_replied = true
     }
  :: atomic { attempt_to_target -> attempt_to_target = false }
  od
}

proctype Time() {
  atomic { expired = true }
}

init {
  atomic {
    run Caller();
    run Entry();
    run Executor();
    run Target();
    run Time()
  }
}
