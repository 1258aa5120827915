/* Two operators who change one configuration through a store that loses replies and goes down.
 *
 * Each operator makes CHANGES changes, one after another. A change has an operation id and names the revision that its
 * operator saw. Whoever serves it (any node; a node that dies is replaced by another, which begins again by reading)
 * reads the store, decides, writes by compare-and-swap, and reads again where the reply did not come. A write that was
 * given up on may still arrive. A third writer (the list of voters) moves the revision without touching the content.
 * The value remembers the last MEMORY operation ids.
 */
#ifndef CHANGES
#define CHANGES 2
#endif
#define MEMORY 2
#define OPERATIONS (2 * CHANGES)
#define NONE 255

/* The value in the store. */
byte revision;
byte content_revision;
byte remembered[MEMORY]; /* operation ids, oldest first; NONE where there is none yet */
byte remembered_at[MEMORY];
byte voter_changes;

/* What has happened, for the properties only. */
byte applied[OPERATIONS];    /* times that the operation took effect */
byte applied_at[OPERATIONS]; /* revision that it made */
bool told_not_applied[OPERATIONS];
byte expected[OPERATIONS];

/* Writes under way, one an operator: the compare revision, and whether anybody still waits for the reply. */
byte write_operation[2];
byte write_previous[2];
byte stray_operation[2];
byte stray_previous[2];
byte write_reply[2]; /* 0 none, 1 written, 2 conflict */

#define Knows(op) (remembered[0] == (op) || remembered[1] == (op))
/* Every change after the revision that the operator saw is still remembered. */
#define MemoryReaches(op) (remembered[0] == NONE || remembered_at[0] <= expected[op])

inline Apply(op) {
  assert(applied[op] == 0);                  /* at most once */
  assert(!told_not_applied[op]);             /* a refusal is final */
  assert(content_revision <= expected[op]);  /* one winner for what both operators saw */
  revision++;
  content_revision = revision;
  applied[op]++;
  applied_at[op] = revision;
  remembered[0] = remembered[1];
  remembered_at[0] = remembered_at[1];
  remembered[1] = op;
  remembered_at[1] = revision
}

#ifdef MUTANT_NO_COMPARE
#define Matches(previous) true
#else
#define Matches(previous) (revision == (previous))
#endif

proctype Store() {
  byte p;
  do
  :: atomic { select (p : 0 .. 1);
       if
       :: write_operation[p] != NONE && write_reply[p] == 0 && Matches(write_previous[p]) ->
            Apply(write_operation[p]);
            write_reply[p] = 1
       :: write_operation[p] != NONE && write_reply[p] == 0 && !Matches(write_previous[p]) ->
            write_reply[p] = 2
       :: else
       fi;
       p = 0
     }
  :: atomic { select (p : 0 .. 1);
       if
       :: stray_operation[p] != NONE ->
            if
            :: Matches(stray_previous[p]) -> Apply(stray_operation[p])
            :: else
            fi;
            stray_operation[p] = NONE;
            stray_previous[p] = 0
       :: else
       fi;
       p = 0
     }
  :: atomic { voter_changes < 1 -> voter_changes++; revision++ }
  od
}

inline TellNotApplied() {
  assert(applied[op] == 0);
  told_not_applied[op] = true
}

proctype Operator(byte p) {
  byte op = p * CHANGES;
  byte seen;
  bool sent;

begin:
  atomic { expected[op] = content_revision; sent = false }

read:
  if
  :: atomic {
#ifndef MUTANT_NO_OPERATION_ID
       Knows(op) -> assert(applied[op] == 1);
#ifdef WITNESS_FOUND_AGAIN
       assert(revision == 0);
#endif
       goto finished
     }
  :: atomic { !Knows(op) && content_revision > expected[op] ->
#else
       content_revision > expected[op] ->
#endif
#ifndef MUTANT_FORGETFUL_CONFLICT
       if
       :: MemoryReaches(op) -> TellNotApplied()
       :: else /* unknown: it may have been applied and forgotten */
       fi;
#else
       TellNotApplied();
#endif
       goto finished
     }
  :: atomic {
#ifndef MUTANT_NO_OPERATION_ID
       !Knows(op) && content_revision <= expected[op] ->
#else
       content_revision <= expected[op] ->
#endif
       seen = revision
     }
  /* No reply from the store, and the operator has waited long enough. */
  :: atomic { !sent -> TellNotApplied(); goto finished }
  :: atomic { sent ->
#ifdef MUTANT_LOST_IS_REFUSED
       TellNotApplied();
#endif
       goto finished
     }
  fi;

  atomic {
    write_operation[p] = op;
    write_previous[p] = seen;
    write_reply[p] = 0;
    sent = true;
    seen = 0
  }
  if
  :: atomic { write_reply[p] == 1 -> write_operation[p] = NONE; write_previous[p] = 0; write_reply[p] = 0;
       assert(applied[op] == 1); goto finished
     }
  :: atomic { write_reply[p] == 2 -> write_operation[p] = NONE; write_previous[p] = 0; write_reply[p] = 0; goto read }
  /* The reply is lost or late, or the node died. What is not yet at the store may still arrive. */
  :: atomic {
       if
       :: write_reply[p] == 0 -> stray_operation[p] = write_operation[p]; stray_previous[p] = write_previous[p]
       :: else
       fi;
       write_operation[p] = NONE;
       write_previous[p] = 0;
       write_reply[p] = 0;
       goto read
     }
  fi;

finished:
  if
  :: atomic { op < p * CHANGES + CHANGES - 1 -> op++; goto begin }
  /* Told that it is unknown, or not told at all: the same operation is asked for again. */
  :: atomic { !told_not_applied[op] -> goto read }
  :: else -> skip
  fi
}

/* No two operations ever made one revision. */
proctype Observer() {
  byte a;
  byte b;
  do
  :: atomic { select (a : 0 .. OPERATIONS - 1); select (b : 0 .. OPERATIONS - 1);
       assert(a == b || applied[a] == 0 || applied[b] == 0 || applied_at[a] != applied_at[b]);
       a = 0;
       b = 0
     }
  od
}

init {
  atomic {
    remembered[0] = NONE;
    remembered[1] = NONE;
    write_operation[0] = NONE;
    write_operation[1] = NONE;
    stray_operation[0] = NONE;
    stray_operation[1] = NONE;
    run Store();
    run Operator(0);
    run Operator(1);
    run Observer()
  }
}
