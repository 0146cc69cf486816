/* Fate of one call between two daemons and a target.
 *
 * The sender opens up to CONNS connections, one after the other. A connection
 * keeps its order, may be delayed for ever, and may still deliver after the
 * sender has given it up. The receiver and the target may crash; a process
 * that is not scheduled is a process that is paused and acts late.
 *
 * Guards that can be removed to make a mutant:
 *   NO_FENCE        a waiting call stays in the queue when it is asked for
 *   NO_RETIRE       a newer connection does not close the older one
 *   NO_MEMORY       the receiver vouches for connections it has no memory of
 *   NO_FORGOTTEN    the receiver vouches for records that it dropped
 *   NO_INCARNATION  the sender does not notice a restarted receiver
 *   EARLY_RETRY     a connection lost after the first byte counts as not run
 * NO_FORGET leaves out that the receiver forgets an idle sender.
 */

#define CONNS 3

mtype = { hello, welcome, call, ask, answer, refusal, lost, running };
mtype = { none, waiting, started, done, gone };
mtype = { open, notRun, unknown, answered };

chan toReceiver[CONNS] = [3] of { mtype };
chan toSender[CONNS] = [3] of { mtype, byte };

/* Receiver. */
bool isOpen[CONNS];
byte incarnation = 1;
bool knowsSender = false;
byte current = 0;
bool remembers[CONNS];
bool forgotten = false;
mtype record = none;
byte recordOn = 0;

/* Sender. */
byte connection = 0;
bool sent = false;
byte sentOn = 0;
byte sentTo = 0;
mtype outcome = open;

/* Truth. */
byte runs = 0;

#define REPLY(c, what) \
  if \
  :: nfull(toSender[c]) -> toSender[c]!what, incarnation \
  :: full(toSender[c]) \
  fi

inline Conclude(what)
{
  outcome = what;
  assert(outcome != notRun || runs == 0);
  assert(outcome != answered || runs == 1);
}

inline Forget()
{
  knowsSender = false;
  remembers[0] = false; remembers[1] = false; remembers[2] = false
}

inline OnHello(c)
{
  if
  :: knowsSender && c < current -> isOpen[c] = false
  :: else ->
     if
     :: !knowsSender -> knowsSender = true; forgotten = false
     :: knowsSender && c > current ->
#ifndef NO_RETIRE
        isOpen[current] = false;
#endif
#ifndef NO_FENCE
        if
        :: record == waiting && recordOn == current -> record = none
        :: else
        fi
#else
        skip
#endif
     :: else
     fi;
     current = c;
     remembers[c] = true;
     REPLY(c, welcome)
  fi
}

inline OnCall(c)
{
  if
#ifdef NO_RETIRE
  :: knowsSender && record == none -> record = waiting; recordOn = c
#else
  :: knowsSender && c == current && record == none ->
     record = waiting; recordOn = c
#endif
  :: else
  fi
}

inline OnAsk(c)
{
  if
  :: record == waiting ->
#ifndef NO_FENCE
     record = none;
#endif
     REPLY(c, refusal)
  :: record == started -> REPLY(c, running)
  :: record == done -> REPLY(c, answer)
  :: record == gone -> REPLY(c, lost)
  :: record == none ->
     if
#ifndef NO_MEMORY
     :: !remembers[sentOn] -> REPLY(c, lost)
#endif
#ifndef NO_FORGOTTEN
     :: forgotten -> REPLY(c, lost)
#endif
     :: else -> REPLY(c, refusal)
     fi
  fi
}

active proctype Receiver()
{
  byte c;
  mtype message;
end:
  do
  /* Read the next message of any connection that is open here. */
  :: atomic {
       select(c : 0 .. 2);
       if
       :: isOpen[c] && len(toReceiver[c]) > 0 ->
          toReceiver[c]?message;
          if
          :: message == hello -> OnHello(c)
          :: message == call -> OnCall(c)
          :: message == ask -> OnAsk(c)
          fi
       :: else
       fi
     }
  /* A connection breaks and the receiver sees it. */
  :: atomic {
       knowsSender && isOpen[current] ->
       isOpen[current] = false;
       if
       :: record == waiting && recordOn == current -> record = none
       :: else
       fi
     }
  /* A waiting call is refused. */
  :: atomic {
       record == waiting -> record = none; REPLY(current, refusal)
     }
  /* The target runs the call; it is counted when the first byte leaves. */
  :: atomic {
       record == waiting ->
       record = started;
       runs++;
       assert(runs <= 1);
       assert(outcome != notRun)
     }
  :: atomic { record == started -> record = done; REPLY(current, answer) }
  /* The target crashes. */
  :: atomic { record == started -> record = gone; REPLY(current, lost) }
  /* A record passes its deadline. */
  :: atomic {
       record == done || record == gone -> record = none; forgotten = true
     }
#ifndef NO_FORGET
  /* A sender without a connection and without records is forgotten. */
  :: atomic {
       knowsSender && !isOpen[current] && record == none ->
       Forget()
     }
#endif
  /* The receiver restarts; its connections die with it. */
  :: atomic {
       incarnation < 2 ->
       incarnation++;
       isOpen[0] = false; isOpen[1] = false; isOpen[2] = false;
       Forget(); forgotten = false;
       record = none
     }
  od
}

active proctype Sender()
{
  mtype message;
  byte from;
  bool greeted = false;

  atomic {
    isOpen[0] = true;
    toReceiver[0]!hello
  }
  do
  :: outcome != open -> break
  :: atomic {
       outcome == open && len(toSender[connection]) > 0 ->
       toSender[connection]?message, from;
       if
       :: message == welcome && !greeted ->
          greeted = true;
          if
          :: !sent ->
             sent = true; sentOn = connection; sentTo = from;
             toReceiver[connection]!call
#ifndef NO_INCARNATION
          :: sent && sentTo != from -> Conclude(unknown)
          :: sent && sentTo == from -> toReceiver[connection]!ask
#else
          :: sent -> toReceiver[connection]!ask
#endif
          fi
       :: message == answer -> Conclude(answered)
       :: message == refusal -> Conclude(notRun)
       :: message == lost -> Conclude(unknown)
       :: else
       fi
     }
  /* The connection is silent or broken: open the next one. */
  :: atomic {
       outcome == open && connection < CONNS - 1 ->
       if
       :: !sent -> skip
       :: sent ->
#ifdef EARLY_RETRY
          Conclude(notRun)
#endif
       fi;
       if
       :: outcome == open ->
          connection++;
          greeted = false;
          isOpen[connection] = true;
          toReceiver[connection]!hello
       :: else
       fi
     }
  /* The deadline passes, or the sender crashes. */
  :: atomic {
       outcome == open ->
       if
       :: sent -> Conclude(unknown)
       :: !sent -> Conclude(notRun)
       fi
     }
  od
}
