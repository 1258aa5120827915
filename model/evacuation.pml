/* How the evacuation of a failure domain spreads among hosts.
 *
 * An operator evacuates the domain and gives it back. Two feeders read the
 * store and hand on what they read, as changes or whole, late and in any order
 * between the two. One host learns from both and may restart, which forgets
 * everything. Checked of the host:
 *   - an order that it knows is never replaced by an older one;
 *   - what it sends into the domain goes by the newest order that it heard of,
 *     and by some order: a host that has restarted sends nothing before it has
 *     taken a whole content.
 * Each NO_... leaves one rule out; model/check says which are found.
 */

#define ORDERS 3       /* writes of the operator */
#define MESSAGES 1     /* messages under way from one feeder */
#define RESTARTS 1

byte revision = 0;     /* of the last order; odd: evacuated */

bool knows = false;    /* the host has taken a whole content */
byte known = 0;        /* revision of the order by which it sends */
byte heard = 0;        /* newest revision that it heard of in this life */

chan feed_a = [MESSAGES] of { byte, bool };
chan feed_b = [MESSAGES] of { byte, bool };

inline take(rev, whole) {
  if
#ifndef NO_WHOLE_RULE
  :: !knows && !whole -> skip   /* changes to a content that it does not have */
#endif
  :: else ->
       knows = true;
       if
       :: rev > heard -> heard = rev
       :: else
       fi;
       if
#ifdef NO_REVISION_RULE
       :: true -> known = rev
#else
       :: rev > known -> known = rev
       :: else
#endif
       fi
  fi
}

active proctype Operator() {
  byte left = ORDERS;
  do
  :: atomic { left > 0 -> left--; revision++ }
  :: left == 0 -> break
  od
}

/* A feeder tells the order as part of a whole content, or a change alone: one
 * that does not name the order leaves what is known of it. */
active proctype FeederA() {
  do
  :: atomic { nfull(feed_a) -> feed_a!revision, true }
  :: atomic { nfull(feed_a) -> feed_a!0, false }
  :: break
  od
}

active proctype FeederB() {
  do
  :: atomic { nfull(feed_b) -> feed_b!revision, true }
  :: atomic { nfull(feed_b) -> feed_b!0, false }
  :: break
  od
}

active proctype Host() {
  byte rev;
  bool whole;
  byte steps = 6;
  byte restarts = RESTARTS;
  byte least = 0;  /* what the store had ordered at the last restart */
  do
  :: atomic { steps > 0 && feed_a?[rev, whole] ->
       feed_a?rev, whole; take(rev, whole); steps-- }
  :: atomic { steps > 0 && feed_b?[rev, whole] ->
       feed_b?rev, whole; take(rev, whole); steps-- }
  :: atomic { steps > 0 && restarts > 0 ->
       restarts--; steps--; knows = false; known = 0; heard = 0;
       /* links end with the process */
       do
       :: feed_a?[rev, whole] -> feed_a?rev, whole
       :: feed_b?[rev, whole] -> feed_b?rev, whole
       :: else -> break
       od;
       least = revision }
  :: atomic { steps > 0 ->  /* a call comes; it is refused without knowledge */
       steps--;
       if
       :: knows -> assert(known == heard); assert(known >= least)
       :: else
       fi }
  :: steps == 0 -> break
  od
}
