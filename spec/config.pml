/* Publishing and adoption of the configuration.
 *
 * Two publishers, of different services or with SAME_SERVICE of one, race for
 * the manifest by conditional updates; the store may lose the answer of a
 * write that took effect, or the write itself. Daemons adopt from the store
 * or from each other, and restart with nothing.
 *
 * Guards that can be removed to make a mutant:
 *   NO_CONDITION  the manifest is written whatever its version
 *   NO_HIGHER     a daemon adopts any generation it is shown
 *   NO_READ_BACK  a lost answer counts as published
 *   NO_REVISION   an older revision replaces a newer one
 */

#define DAEMONS 2
#define TRIES 2
#define STEPS 2

/* The store: revisions of services a and b, and the generation. The version
 * of the object rises with each write. */
byte version = 0;
byte generation = 0;
byte revisionA = 0;
byte revisionB = 0;

/* What each daemon has in force. */
byte inForce[DAEMONS];
byte inForceA[DAEMONS];
byte inForceB[DAEMONS];

/* Highest generation that a daemon had since its last start. */
byte highest[DAEMONS];

inline Adopt(d, g, a, b)
{
  if
#ifndef NO_HIGHER
  :: g > inForce[d] ->
#else
  :: g > 0 ->
#endif
     inForce[d] = g; inForceA[d] = a; inForceB[d] = b;
     assert(inForce[d] >= highest[d]);
     highest[d] = inForce[d];
     /* Never half a change: what is in force was published as a whole, and
      * every revision it holds is at most that of the store. */
     assert(inForceA[d] <= revisionA && inForceB[d] <= revisionB)
  :: else
  fi
}

/* Publishes revision `mine` of one service. */
proctype Publisher(bool isA; byte mine)
{
  byte seen, seenGeneration, seenA, seenB, tries;
  bool mayHaveWritten = false;
  bool published = false;
  do
  :: tries == TRIES -> break
  :: tries < TRIES ->
     tries++;
     atomic {
       seen = version; seenGeneration = generation;
       seenA = revisionA; seenB = revisionB
     }
     if
     :: mayHaveWritten && (isA -> seenA >= mine : seenB >= mine) ->
        published = true; break
#ifndef NO_REVISION
     :: !mayHaveWritten && (isA -> seenA >= mine : seenB >= mine) -> break
#endif
     :: else ->
        if
        :: isA -> seenA = mine
        :: else -> seenB = mine
        fi;
        atomic {
          if
          /* The write takes effect; its answer may be lost. */
#ifndef NO_CONDITION
          :: version == seen ->
#else
          :: true ->
#endif
             assert(revisionA <= seenA || !isA);
             assert(revisionB <= seenB || isA);
             assert(isA || seenA == revisionA);
             assert(!isA || seenB == revisionB);
             version++;
             assert(seenGeneration + 1 > generation);
             generation = seenGeneration + 1;
             revisionA = seenA; revisionB = seenB;
             if
             :: published = true; break
             :: mayHaveWritten = true
             fi
          :: version != seen -> skip
          /* The write is lost on the way. */
          :: mayHaveWritten = true
          fi
        };
#ifdef NO_READ_BACK
        if
        :: mayHaveWritten -> published = true; break
        :: else
        fi
#endif
     fi
  od;
  /* What is reported as published is in the store, or was replaced. */
  assert(!published || (isA -> revisionA >= mine : revisionB >= mine))
}

/* Each daemon makes STEPS adoptions and restarts with nothing once. */
proctype Daemon(byte me)
{
  byte g, a, b, steps;
  bool restarted = false;
  do
  :: steps == STEPS -> break
  /* Ask the store or the other daemon; the answer may arrive late. */
  :: steps < STEPS ->
     steps++;
     if
     :: atomic { g = generation; a = revisionA; b = revisionB }
     :: atomic {
          g = inForce[1 - me]; a = inForceA[1 - me]; b = inForceB[1 - me]
        }
     fi;
     atomic { Adopt(me, g, a, b); g = 0; a = 0; b = 0 }
  :: atomic {
       !restarted && inForce[me] > 0 ->
       restarted = true;
       inForce[me] = 0; inForceA[me] = 0; inForceB[me] = 0;
       highest[me] = 0
     }
  od
}

init {
  atomic {
    run Publisher(true, 1);
#ifdef SAME_SERVICE
    run Publisher(true, 2);
#else
    run Publisher(false, 1);
#endif
    run Daemon(0);
    run Daemon(1)
  }
}
