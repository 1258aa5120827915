/* When an operator may be told that a configuration revision is accepted.
 *
 * Three nodes, a store, a coordinator that may lose its memory at any step, and time in ticks. Steps interleave
 * freely: a node that takes no step for some ticks is paused, a message that is not delivered is lost or cut (each
 * direction of each pair apart), a store that takes no step is down. A question is answered at once or never; the
 * answer comes at once, or late: at most DELAYED late answers are under way at one time. A late question would be the
 * same as one sent later, but with an older stamp.
 *
 * Switches: T (ticks that a renewal lasts), RESTARTS, DELAYED, LISTS (each revision changes the member list),
 * MUTANT_* (each removes one safeguard), WITNESS_* (a state that must be reachable, so that the search is not empty),
 * LIMIT_* (what the protocol does not promise).
 */
#ifndef T
#define T 1
#endif
#ifndef RESTARTS
#define RESTARTS 2
#endif
#ifndef DELAYED
#define DELAYED 1
#endif

#define N 3

#define Self(i) (1 << (i))
#define TwoOf(set) (((set) & 3) == 3 || ((set) & 5) == 5 || ((set) & 6) == 6)

/* Which sets of nodes (bits) are a quorum of a revision. With LISTS, revision 0 names nodes 0, 1, 2 as voters,
 * revision 1 replaces them by node 0 and names the former voters as well, revision 2 drops the former voters. */
#ifndef LISTS
#define LAST 1
#define Quorum(r, set) TwoOf(set)
#else
#define LAST 2
#ifdef MUTANT_STALE_LIST
#define Quorum(r, set) ((r) == 0 -> TwoOf(set) : ((set) & 1))
#else
#define Quorum(r, set) ((r) == 0 -> TwoOf(set) : (((set) & 1) && ((r) == 2 || TwoOf(set))))
#endif
#endif

/* Store and coordinator. */
byte store_rev; /* moved by compare-and-swap only */
byte accepted;  /* highest revision that an operator was told is accepted */
byte round;     /* 0 idle, 1 gathers acknowledgements, 2 confirms */
byte waited;    /* ticks since round 2 began, at most T */

/* The coordinator's note of each node; an acknowledgement carries the incarnation. */
#define NO_ACK 0
#define ACK 1        /* by the life that the node still has */
#define ACK_FORMER 2 /* by a life that has ended; the coordinator cannot tell */
#define CONFIRMED 3
byte ack[N];

/* Nodes. */
byte rev[N];
bool recovered[N];
byte age[N];   /* ticks since the question of its newest renewal was sent, at most T */
byte heard[N]; /* until recovered: peers that answered this life, as bits */
#ifdef LISTS
byte weak_age[N]; /* the same for answers of nodes 1 and 2, which do not count under every list */
#endif
byte restarts;

/* Late answers, one a slot. */
#define EMPTY 0
byte late_to[DELAYED];   /* EMPTY or 1 + node */
byte late_from[DELAYED]; /* a node, or STORE */
byte late_rev[DELAYED];
byte late_age[DELAYED]; /* ticks since the question was sent, at most T */
#define STORE N

#ifdef MUTANT_NO_CLOCK_CHECK
bool may_serve[N];
#endif
#ifdef WITNESS_RESTARTED_SERVES
bool was_restarted[N];
#endif
#ifdef LIMIT_BEFORE_ACCEPTANCE
byte served[N]; /* highest revision that the node ever answered with, in any life */
#endif

/* Without LISTS one answer of any peer makes a quorum with the node itself. With LISTS one of node 0 does for the
 * others, and one of the third node stands for itself only. */
#ifndef LISTS
#define Renews(i, j) true
#define Fresh(i) (age[i] < T)
#else
#define Renews(i, j) ((j) == 0 || (j) == STORE)
#define Other(i) ((i) == 1 -> 4 : 2)
#define Fresh(i) (age[i] < T || Quorum(rev[i], Self(i) | (weak_age[i] < T -> Other(i) : 0)))
#endif
#define Serving(i) (recovered[i] && Fresh(i))

/* A restarted node has forgotten what it acknowledged, so it answers nobody until it has recovered. */
#ifdef MUTANT_RESTARTED_COUNTS
#define Answers(i) true
#else
#define Answers(i) recovered[i]
#endif

#define Bit(i, condition) ((condition) -> Self(i) : 0)
#define AckSet (Bit(0, ack[0] != NO_ACK) | Bit(1, ack[1] != NO_ACK) | Bit(2, ack[2] != NO_ACK))
#define ConfirmedSet (Bit(0, ack[0] == CONFIRMED) | Bit(1, ack[1] == CONFIRMED) | Bit(2, ack[2] == CONFIRMED))

/* Whoever has not confirmed has lost its renewal by now, or met one who has. */
#ifdef MUTANT_NO_WAIT
#define NobodyElseServes true
#else
#ifdef MUTANT_ALL_VOTERS_SHORTCUT
#define NobodyElseServes (waited >= T || ConfirmedSet == 7 || (store_rev == 2 && ack[0] == CONFIRMED))
#else
#define NobodyElseServes (waited >= T)
#endif
#endif

/* The next list only once the former one cannot be used any more. */
#ifdef MUTANT_LIST_UNSETTLED
#define MayWrite true
#else
#define MayWrite (accepted == store_rev)
#endif

inline ForgetAcks() {
  ack[0] = NO_ACK;
  ack[1] = NO_ACK;
  ack[2] = NO_ACK;
  waited = 0
}

inline Accept() {
#ifdef WITNESS_ACCEPTED
  assert(store_rev < LAST);
#endif
  accepted = store_rev;
  round = 0;
  ForgetAcks()
}

inline Announce(i) {
  if
  :: Answers(i) && ack[i] != ACK ->
       if
       :: rev[i] < store_rev -> rev[i] = store_rev
       :: else
       fi;
       ack[i] = ACK
  :: else
  fi
}

inline Confirm(i) {
  if
  :: ack[i] == ACK && Answers(i) && rev[i] >= store_rev -> ack[i] = CONFIRMED
  :: else
  fi
}

proctype Coordinator() {
  byte i;
  do
  /* Compare-and-swap of the next revision; its reply may be lost, which forgetting below covers. */
  :: atomic { store_rev < LAST && MayWrite -> store_rev++; round = 1; ForgetAcks()
#ifdef MUTANT_EARLY_ACCEPT
       ; Accept()
#endif
     }
  :: atomic { round == 1 -> select (i : 0 .. 2); Announce(i); i = 0 }
  /* More than half have acknowledged, though maybe at no one moment: the same lives must confirm. */
  :: atomic { round == 1 && Quorum(store_rev, AckSet) -> round = 2
#ifdef MUTANT_NO_CONFIRM
       ;
       for (i : 0 .. 2) {
         if
         :: ack[i] != NO_ACK -> ack[i] = CONFIRMED
         :: else
         fi
       }
       i = 0
#endif
     }
  :: atomic { round == 2 -> select (i : 0 .. 2); Confirm(i); i = 0 }
  :: atomic { round == 2 && Quorum(store_rev, ConfirmedSet) && NobodyElseServes -> Accept() }
  /* The coordinator dies or gives up; any other begins again from what the store holds. */
  :: atomic { round != 0 -> round = 1; ForgetAcks() }
  od
}

/* Node i takes an answer of j that held revision r and whose question was sent a ticks ago. */
inline Take(i, j, r, a) {
  if
  :: rev[i] < r -> rev[i] = r
  :: else
  fi;
#ifdef MUTANT_STAMP_AT_ARRIVAL
  age[i] = 0;
#else
  if
  :: Renews(i, j) && a < age[i] -> age[i] = a
#ifdef LISTS
  :: !Renews(i, j) && a < weak_age[i] -> weak_age[i] = a
#endif
  :: else
  fi;
#endif
  if
  :: !recovered[i] && j != STORE -> heard[i] = heard[i] | Self(j)
  :: else
  fi;
  /* Only the store, or more than half of the others, may tell a restarted node where it stands. */
  if
  :: !recovered[i] && (j == STORE || Quorum(rev[i], heard[i])) -> recovered[i] = true; heard[i] = 0
  :: else
  fi;
#ifdef MUTANT_NO_CLOCK_CHECK
  may_serve[i] = Serving(i);
#endif
  skip
}

inline DropLate(s) {
  late_to[s] = EMPTY;
  late_from[s] = 0;
  late_rev[s] = 0;
  late_age[s] = 0
}

inline SendLate(s, i, j, r) {
  late_to[s] = 1 + i;
  late_from[s] = j;
  late_rev[s] = r;
  late_age[s] = 0
}

proctype Node(byte i) {
  byte j;
  byte s;
  do
  /* Asks a peer or reads the store. */
  :: atomic { select (j : 0 .. 2);
       if
       :: i == j -> Take(i, STORE, store_rev, 0)
       :: i != j && Answers(j) -> Take(i, j, rev[j], 0)
       :: else
       fi;
       j = 0
     }
  /* The same with a late answer; it may replace another late one, which is then lost. */
  :: atomic { select (j : 0 .. 2); select (s : 0 .. DELAYED - 1);
       if
       :: i == j -> SendLate(s, i, STORE, store_rev)
       :: i != j && Answers(j) -> SendLate(s, i, j, rev[j])
       :: else
       fi;
       j = 0;
       s = 0
     }
  :: atomic { select (s : 0 .. DELAYED - 1);
       if
       :: late_to[s] == 1 + i -> Take(i, late_from[s], late_rev[s], late_age[s]); DropLate(s)
       :: else
       fi;
       s = 0
     }
  /* Answers a call. */
#ifdef MUTANT_NO_CLOCK_CHECK
  :: atomic { may_serve[i] -> assert(rev[i] >= accepted) }
  :: atomic { may_serve[i] -> may_serve[i] = Serving(i) }
#else
  :: atomic { Serving(i) -> assert(rev[i] >= accepted);
#ifdef WITNESS_RESTARTED_SERVES
       assert(restarts == 0 || accepted < LAST || !was_restarted[i]);
#endif
#ifdef LIMIT_BEFORE_ACCEPTANCE
       assert(rev[i] >= served[i]);
       served[i] = rev[i];
#endif
       skip
     }
#endif
#ifdef MUTANT_SILENT_WATCH
  :: atomic { recovered[i] -> age[i] = 0 }
#endif
  :: atomic { restarts < RESTARTS ->
       restarts++;
#ifdef WITNESS_RESTARTED_SERVES
       was_restarted[i] = true;
#endif
       rev[i] = 0;
       recovered[i] = false;
       heard[i] = 0;
       age[i] = T;
#ifdef LISTS
       weak_age[i] = T;
#endif
#ifdef MUTANT_NO_CLOCK_CHECK
       may_serve[i] = false;
#endif
#ifndef MUTANT_NO_INCARNATION
       /* What is under way was meant for the former life. */
       for (s : 0 .. DELAYED - 1) {
         if
         :: late_to[s] == 1 + i -> DropLate(s)
         :: else
         fi
       }
       s = 0;
       if
       :: ack[i] == ACK -> ack[i] = ACK_FORMER
       :: else
       fi
#endif
     }
  od
}

inline Older(value) {
  if
  :: value < T -> value++
  :: else
  fi
}

proctype Time() {
  byte k;
  do
  :: atomic {
       for (k : 0 .. 2) {
         Older(age[k]);
#ifdef LISTS
        Older(weak_age[k]);
#endif
        skip
       }
       for (k : 0 .. DELAYED - 1) {
         if
         :: late_to[k] != EMPTY -> Older(late_age[k])
         :: else
         fi
       }
       k = 0;
       if
       :: round == 2 -> Older(waited)
       :: else
       fi
     }
  od
}

init {
  byte k;
  atomic {
    for (k : 0 .. 2) {
      age[k] = T;
#ifdef LISTS
      weak_age[k] = T;
#endif
      recovered[k] = true
    }
    k = 0;
    run Coordinator();
    run Node(0);
    run Node(1);
    run Node(2);
    run Time()
  }
}
