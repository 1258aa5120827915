/* Checks that the share of one front is in use at one place at a time.
 *
 * There is one front, two hosts that ask it for its share as allocators, and a
 * clock of ticks. Each allocator may send requests; answers carry the number of
 * their request and when it was sent. Messages may be delayed by any time,
 * lost, repeated and reordered: both links hold them as sets, and receiving one
 * may leave it there. The front may change its mind at any time about which
 * host is the allocator, and each allocator may end and start again.
 *
 * A bucket is abstracted to whether its host may take tokens for the share:
 *   - the front while its lease has expired;
 *   - an allocator while it counts a lease.
 * Checked: never two of them at a time, and the tokens that can be taken for
 * the share within one burst never exceed what one bucket holds.
 * Each NO_... macro leaves one rule out; model/check says which of them must
 * make an assertion fail.
 */

#define LIFETIME 2      /* ticks that an allocator counts a lease */
#define MARGIN 1        /* ticks that the front counts it longer */
#define TICKS 5
#define NONE 2
#define BURST 2         /* tokens of a full bucket, one more each tick */

byte now = 0;

/* The front. */
byte leased_to = NONE;
byte leased_until = 0;
byte chosen = 0;        /* the allocator in its view */

/* The allocators. A nonce is the tick in which its request was sent, plus 1. */
byte held_until[2];
byte answered[2];       /* newest answered nonce */

/* Buckets: 0 and 1 are the allocators, 2 is the front. */
byte level[3];
byte taken = 0;         /* tokens taken for the share */

/* Sets of messages: a bit for each nonce, for each allocator. */
short requests[2];
short answers[2];

#define front_uses (now >= leased_until)
#define holds(a) (now < held_until[a])

inline check_once() {
  assert(!(holds(0) && holds(1)));
#ifndef NO_FRONT_RULE
  assert(!(front_uses && (holds(0) || holds(1))))
#else
  skip
#endif
}

/* A bucket whose host has no share is empty. */
inline cut(i, uses) {
  if
  :: !(uses) -> level[i] = 0
  :: else
  fi
}

inline cut_all() {
  cut(0, holds(0)); cut(1, holds(1));
#ifndef NO_FRONT_RULE
  cut(2, front_uses)
#else
  skip
#endif
}

inline fill(i, uses) {
  if
  :: (uses) && level[i] < BURST -> level[i]++
  :: else
  fi
}

/* Sums over the buckets never exceed one bucket, and no more is taken than one
 * bucket would have given since the start. */
inline check_sum() {
  assert(level[0] + level[1] + level[2] <= BURST);
  assert(taken + level[0] + level[1] + level[2] <= BURST + now)
}

inline ask(a) {
  requests[a] = requests[a] | (1 << (now + 1))
}

inline answer(a, nonce) {
  if
  :: chosen == a && (leased_to == a || front_uses) ->
       leased_to = a;
       leased_until = now + LIFETIME + MARGIN;
       answers[a] = answers[a] | (1 << nonce);
       cut_all()
  :: else
  fi
}

inline receive(a, nonce) {
  if
#ifdef NO_LIFETIME
  :: nonce > answered[a] ->
       held_until[a] = 255;
#else
  :: nonce > answered[a] && nonce - 1 + LIFETIME > now ->
       held_until[a] = nonce - 1 + LIFETIME;
#endif
       answered[a] = nonce;
#ifdef FULL_START
       if
       :: level[a] == 0 -> level[a] = BURST
       :: else
       fi
#endif
  :: else
  fi
}

inline tick() {
  now++;
  cut_all();
  fill(0, holds(0)); fill(1, holds(1));
#ifndef NO_FRONT_RULE
  fill(2, front_uses)
#else
  fill(2, true)
#endif
}

inline take(i) {
  if
  :: level[i] > 0 -> level[i]--; taken++
  :: else
  fi
}

/* Delivers a message of a set, if it is there; it may stay there. */
inline deliver_request(a, nonce) {
  answer(a, nonce);
  if
  :: requests[a] = requests[a] & ~(1 << nonce)
  :: skip                  /* repeated */
  fi;
  check_once(); check_sum()
}

inline deliver_answer(a, nonce) {
  receive(a, nonce);
  if
  :: answers[a] = answers[a] & ~(1 << nonce)
  :: skip
  fi;
  check_once(); check_sum()
}

/* An allocator ends and starts again. */
inline restart(a) {
  held_until[a] = 0; level[a] = 0; answered[a] = now + 1
}

init {
  byte n;
  do
  :: atomic { now < TICKS -> tick(); check_once(); check_sum() }
  :: atomic { ask(0) }
  :: atomic { ask(1) }
  :: atomic { requests[0] != 0 -> select(n : 1 .. TICKS + 1);
       if
       :: (requests[0] & (1 << n)) != 0 -> deliver_request(0, n)
       :: else
       fi; n = 0 }
  :: atomic { requests[1] != 0 -> select(n : 1 .. TICKS + 1);
       if
       :: (requests[1] & (1 << n)) != 0 -> deliver_request(1, n)
       :: else
       fi; n = 0 }
  :: atomic { answers[0] != 0 -> select(n : 1 .. TICKS + 1);
       if
       :: (answers[0] & (1 << n)) != 0 -> deliver_answer(0, n)
       :: else
       fi; n = 0 }
  :: atomic { answers[1] != 0 -> select(n : 1 .. TICKS + 1);
       if
       :: (answers[1] & (1 << n)) != 0 -> deliver_answer(1, n)
       :: else
       fi; n = 0 }
  :: atomic { chosen = 1 - chosen }
  :: atomic { take(0) }
  :: atomic { take(1) }
  :: atomic { take(2) }
  :: atomic { restart(0) }
  :: atomic { restart(1) }
  :: atomic { now == TICKS -> break }
  od
}
