/* How long a withdrawn key stays valid.
 *
 * Time is a counter that a clock raises. The operator publishes one
 * configuration, which withdraws a key. A reader asks the store, a member asks
 * the reader; questions and answers may take any time. A daemon serves the key
 * if it has the old configuration and its proof is at most LIMIT old. It may
 * learn of the new configuration at any time, or never.
 *
 * Each macro removes one mechanism, which makes a mutant:
 *   AGE_AT_ARRIVAL       a proof counts from the arrival of the answer
 *   NO_GENERATION_CHECK  a proof of a newer generation counts for an older one
 *   NO_LIMIT             a proof counts without limit
 */

#define LIMIT 2
#define END 5

byte now = 0;

/* Generation in the store, and when the second was published. */
byte published = 1;
byte publishedAt = 0;

/* For the reader (0) and the member (1): generation in force, generation and
 * time of the proof. */
byte inForce[2] = 1;
byte proven[2] = 1;
byte provenAt[2] = 0;

inline Confirm(d, g, t)
{
  if
  :: t > provenAt[d] ->
     provenAt[d] = t;
     if
     :: g > proven[d] -> proven[d] = g
     :: else
     fi
  :: else
  fi
}

active proctype Clock()
{
  do
  :: now < END -> now++
  :: now == END -> break
  od
}

active proctype Operator()
{
  atomic { published = 2; publishedAt = now }
}

active proctype Reader()
{
  byte askedAt, seen;
  do
  :: now < END ->
     askedAt = now;
     seen = published;
     atomic {
#ifdef AGE_AT_ARRIVAL
       askedAt = now;
#endif
       if
       :: inForce[0] < seen -> inForce[0] = seen
       :: else
       fi;
       Confirm(0, seen, askedAt)
     }
  :: now == END -> break
  od
}

active proctype Member()
{
  byte sentAt, age, generation;
  do
  :: now < END ->
     sentAt = now;
     atomic { age = now - provenAt[0]; generation = proven[0] }
     atomic {
#ifdef AGE_AT_ARRIVAL
       sentAt = now;
#endif
       if
       :: sentAt >= age -> Confirm(1, generation, sentAt - age)
       :: else
       fi
     }
  /* It may pull the configuration, or not. */
  :: now < END -> inForce[1] = inForce[0]
  :: now == END -> break
  od
}

#ifdef NO_GENERATION_CHECK
#define PROVEN(d) true
#else
#define PROVEN(d) (inForce[d] >= proven[d])
#endif

#ifdef NO_LIMIT
#define RECENT(d) true
#else
#define RECENT(d) (now - provenAt[d] <= LIMIT)
#endif

#define VIOLATED(d) \
  (published == 2 && now > publishedAt + LIMIT && inForce[d] == 1 && \
   PROVEN(d) && RECENT(d))

/* A call with the old key arrives at any time, at any daemon. */
active proctype Caller()
{
end:
  atomic { VIOLATED(0) || VIOLATED(1) -> assert(false) }
}
