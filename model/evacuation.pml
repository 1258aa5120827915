/* Checks how the evacuation of a failure domain spreads among hosts.
 *
 * An operator orders the evacuation of the domain and ends it again. Two
 * feeders read the store and send what they read, as full content or as
 * changes; messages arrive late and in any order between the two. One host
 * follows both and may restart, which loses all that it knew. Checked for the
 * host:
 *   - an order that it knows is never replaced by an older one;
 *   - whether it sends requests into the domain follows the newest order that
 *     it received;
 *   - after a restart it sends nothing before it has received full content, and
 *     then follows the order that stood in the store at the restart, or a newer
 *     one.
 * Each NO_... macro leaves one rule out; model/check says which of them must
 * make an assertion fail.
 */

#define ORDERS 3       /* number of orders that the operator writes */
#define MESSAGES 1     /* messages in transit from one feeder */
#define RESTARTS 1

byte order_rev = 0;         /* revision of the last order; odd: evacuated */

bool has_content = false;   /* the host has applied full content */
byte applied_rev = 0;       /* revision of the order that the host follows */
byte newest_rev = 0;        /* newest one that it received since its start */

chan feed_a = [MESSAGES] of { byte, bool };
chan feed_b = [MESSAGES] of { byte, bool };

inline apply(rev, whole) {
  if
#ifndef NO_WHOLE_RULE
  :: !has_content && !whole -> skip   /* changes to content that it lacks */
#endif
  :: else ->
       has_content = true;
       if
       :: rev > newest_rev -> newest_rev = rev
       :: else
       fi;
       if
#ifdef NO_REVISION_RULE
       :: true -> applied_rev = rev
#else
       :: rev > applied_rev -> applied_rev = rev
       :: else
#endif
       fi
  fi
}

active proctype Operator() {
  byte orders_left = ORDERS;
  do
  :: atomic { orders_left > 0 -> orders_left--; order_rev++ }
  :: orders_left == 0 -> break
  od
}

/* A feeder sends the order as part of full content, or a change of another key
 * (revision 0), which leaves the order that the host knows as it is. */
active proctype FeederA() {
  do
  :: atomic { nfull(feed_a) -> feed_a!order_rev, true }
  :: atomic { nfull(feed_a) -> feed_a!0, false }
  :: break
  od
}

active proctype FeederB() {
  do
  :: atomic { nfull(feed_b) -> feed_b!order_rev, true }
  :: atomic { nfull(feed_b) -> feed_b!0, false }
  :: break
  od
}

active proctype Host() {
  byte rev;
  bool whole;
  byte steps = 6;
  byte restarts_left = RESTARTS;
  byte restart_rev = 0;  /* order in the store at the last restart */
  do
  :: atomic { steps > 0 && feed_a?[rev, whole] ->
       feed_a?rev, whole; apply(rev, whole); steps-- }
  :: atomic { steps > 0 && feed_b?[rev, whole] ->
       feed_b?rev, whole; apply(rev, whole); steps-- }
  :: atomic { steps > 0 && restarts_left > 0 ->
       restarts_left--; steps--;
       has_content = false; applied_rev = 0; newest_rev = 0;
       /* The links end with the process; messages in transit are lost. */
       do
       :: feed_a?[rev, whole] -> feed_a?rev, whole
       :: feed_b?[rev, whole] -> feed_b?rev, whole
       :: else -> break
       od;
       restart_rev = order_rev }
  :: atomic { steps > 0 ->  /* a call arrives; it is refused without content */
       steps--;
       if
       :: has_content ->
            assert(applied_rev == newest_rev);
            assert(applied_rev >= restart_rev)
       :: else
       fi }
  :: steps == 0 -> break
  od
}
