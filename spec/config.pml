/* Publishing and adoption of the configuration.
 *
 * Two publishers update the manifest concurrently by conditional writes. They
 * publish different services, or with SAME_SERVICE two revisions of one. The
 * store may lose a write, or the answer to a write that took effect. Daemons
 * adopt the configuration from the store or from each other, and restart
 * without one.
 *
 * Each macro removes one mechanism, which makes a mutant:
 *   NO_CONDITION         the manifest is written regardless of its version
 *   NO_GENERATION_CHECK  a daemon adopts any generation that it receives
 *   NO_READ_BACK         a write without an answer counts as published
 *   NO_REVISION_CHECK    an older revision replaces a newer one
 */

#define DAEMONS 2
#define ATTEMPTS 2
#define ADOPTIONS 2

/* The manifest in the store: its version, which increases with each write, its
 * generation, and the revisions of services a and b. */
byte version = 0;
byte generation = 0;
byte revisionA = 0;
byte revisionB = 0;

/* Generation and revisions that each daemon uses; 0 after a start. */
byte adopted[DAEMONS];
byte adoptedA[DAEMONS];
byte adoptedB[DAEMONS];

/* Highest generation that each daemon has used since its last start. */
byte highest[DAEMONS];

inline Adopt(d, g, a, b)
{
  if
#ifndef NO_GENERATION_CHECK
  :: g > adopted[d] ->
#else
  :: g > 0 ->
#endif
     adopted[d] = g; adoptedA[d] = a; adoptedB[d] = b;
     assert(adopted[d] >= highest[d]);
     highest[d] = adopted[d];
     /* A configuration is published as a whole, so that an adopted one has no
      * revision newer than the store's. */
     assert(adoptedA[d] <= revisionA && adoptedB[d] <= revisionB)
  :: else
  fi
}

/* Publishes a revision of service a or b. */
proctype Publisher(bool isA; byte revision)
{
  byte readVersion, readGeneration, readA, readB, attempts;
  bool mayHaveWritten = false;
  bool published = false;
  do
  :: attempts == ATTEMPTS -> break
  :: attempts < ATTEMPTS ->
     attempts++;
     atomic {
       readVersion = version; readGeneration = generation;
       readA = revisionA; readB = revisionB
     }
     if
     :: mayHaveWritten && (isA -> readA >= revision : readB >= revision) ->
        published = true; break
#ifndef NO_REVISION_CHECK
     :: !mayHaveWritten && (isA -> readA >= revision : readB >= revision) ->
        break
#endif
     :: else ->
        if
        :: isA -> readA = revision
        :: else -> readB = revision
        fi;
        atomic {
          if
          /* The write takes effect. Its answer may be lost. */
#ifndef NO_CONDITION
          :: version == readVersion ->
#else
          :: true ->
#endif
             assert(revisionA <= readA || !isA);
             assert(revisionB <= readB || isA);
             assert(isA || readA == revisionA);
             assert(!isA || readB == revisionB);
             version++;
             assert(readGeneration + 1 > generation);
             generation = readGeneration + 1;
             revisionA = readA; revisionB = readB;
             if
             :: published = true; break
             :: mayHaveWritten = true
             fi
          :: version != readVersion -> skip
          /* The write is lost. */
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
  /* The store holds a revision reported as published, or a newer one. */
  assert(!published || (isA -> revisionA >= revision : revisionB >= revision))
}

/* Adopts a configuration up to ADOPTIONS times, and restarts at most once. */
proctype Daemon(byte me)
{
  byte g, a, b, adoptions;
  bool restarted = false;
  do
  :: adoptions == ADOPTIONS -> break
  /* The answer of the store or of the other daemon may arrive late. */
  :: adoptions < ADOPTIONS ->
     adoptions++;
     if
     :: atomic { g = generation; a = revisionA; b = revisionB }
     :: atomic {
          g = adopted[1 - me]; a = adoptedA[1 - me]; b = adoptedB[1 - me]
        }
     fi;
     atomic { Adopt(me, g, a, b); g = 0; a = 0; b = 0 }
  :: atomic {
       !restarted && adopted[me] > 0 ->
       restarted = true;
       adopted[me] = 0; adoptedA[me] = 0; adoptedB[me] = 0;
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
