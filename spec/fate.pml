/* Outcome of one call between two daemons and a target.
 *
 * The sender opens up to CONNECTIONS connections, one after the other. A
 * connection delivers in order, may be delayed without bound, and may still
 * deliver after the sender has abandoned it. The receiver and the target may
 * crash. A process that Spin does not schedule stands for a paused process,
 * which acts late.
 *
 * Each macro removes one mechanism, which makes a mutant:
 *   NO_FENCE               a waiting call stays queued when the sender
 *                          reconnects or asks for it
 *   NO_RETIRE              a newer connection does not close the older one
 *   NO_CONNECTION_HISTORY  the receiver reports calls as not run that were
 *                          sent on connections it does not know
 *   NO_DROP_TRACKING       the receiver reports calls as not run although it
 *                          has dropped records
 *   NO_INCARNATION         the sender does not detect a receiver's restart
 *   EARLY_RETRY            a call whose connection is lost counts as not run
 * NO_SENDER_EXPIRY is no mutant of its own: with it the receiver never drops
 * the state of an idle sender.
 */

#define CONNECTIONS 3

mtype = { hello, welcome, call, ask, answer, refusal, lost, running };
mtype = { none, waiting, started, done, failed };
mtype = { pending, notRun, unknown, answered };

chan toReceiver[CONNECTIONS] = [3] of { mtype };
chan toSender[CONNECTIONS] = [3] of { mtype, byte };

/* State of the receiver. */
bool isOpen[CONNECTIONS];
byte incarnation = 1;
bool knowsSender = false;
byte current = 0;
bool knowsConnection[CONNECTIONS];
bool droppedRecord = false;
mtype callState = none;
byte callConnection = 0;

/* State of the sender. */
byte connection = 0;
bool sent = false;
byte sentOn = 0;
byte sentToIncarnation = 0;
mtype outcome = pending;

/* Number of times that the target ran the call. */
byte runs = 0;

#define REPLY(c, what) \
  if \
  :: nfull(toSender[c]) -> toSender[c]!what, incarnation \
  :: full(toSender[c]) \
  fi

inline Finish(what)
{
  outcome = what;
  assert(outcome != notRun || runs == 0);
  assert(outcome != answered || runs == 1);
}

inline DropSenderState()
{
  knowsSender = false;
  knowsConnection[0] = false;
  knowsConnection[1] = false;
  knowsConnection[2] = false
}

inline OnHello(c)
{
  if
  :: knowsSender && c < current -> isOpen[c] = false
  :: else ->
     if
     :: !knowsSender -> knowsSender = true; droppedRecord = false
     :: knowsSender && c > current ->
#ifndef NO_RETIRE
        isOpen[current] = false;
#endif
#ifndef NO_FENCE
        if
        :: callState == waiting && callConnection == current ->
           callState = none
        :: else
        fi
#else
        skip
#endif
     :: else
     fi;
     current = c;
     knowsConnection[c] = true;
     REPLY(c, welcome)
  fi
}

inline OnCall(c)
{
  if
#ifdef NO_RETIRE
  :: knowsSender && callState == none ->
     callState = waiting; callConnection = c
#else
  :: knowsSender && c == current && callState == none ->
     callState = waiting; callConnection = c
#endif
  :: else
  fi
}

inline OnAsk(c)
{
  if
  :: callState == waiting ->
#ifndef NO_FENCE
     callState = none;
#endif
     REPLY(c, refusal)
  :: callState == started -> REPLY(c, running)
  :: callState == done -> REPLY(c, answer)
  :: callState == failed -> REPLY(c, lost)
  :: callState == none ->
     if
#ifndef NO_CONNECTION_HISTORY
     :: !knowsConnection[sentOn] -> REPLY(c, lost)
#endif
#ifndef NO_DROP_TRACKING
     :: droppedRecord -> REPLY(c, lost)
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
  /* A message arrives on one of the open connections. */
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
  /* The receiver detects that the current connection is lost. */
  :: atomic {
       knowsSender && isOpen[current] ->
       isOpen[current] = false;
       if
       :: callState == waiting && callConnection == current ->
          callState = none
       :: else
       fi
     }
  /* The receiver refuses a waiting call. */
  :: atomic {
       callState == waiting -> callState = none; REPLY(current, refusal)
     }
  /* The call counts as run once its first byte is sent to the target. */
  :: atomic {
       callState == waiting ->
       callState = started;
       runs++;
       assert(runs <= 1);
       assert(outcome != notRun)
     }
  :: atomic {
       callState == started -> callState = done; REPLY(current, answer)
     }
  /* The target crashes. */
  :: atomic {
       callState == started -> callState = failed; REPLY(current, lost)
     }
  /* The receiver drops the record of a call whose deadline has passed. */
  :: atomic {
       callState == done || callState == failed ->
       callState = none;
       droppedRecord = true
     }
#ifndef NO_SENDER_EXPIRY
  /* The receiver drops the state of a sender without connection or records. */
  :: atomic {
       knowsSender && !isOpen[current] && callState == none ->
       DropSenderState()
     }
#endif
  /* The receiver restarts, which closes its connections. */
  :: atomic {
       incarnation < 2 ->
       incarnation++;
       isOpen[0] = false; isOpen[1] = false; isOpen[2] = false;
       DropSenderState(); droppedRecord = false;
       callState = none
     }
  od
}

active proctype Sender()
{
  mtype message;
  byte receiverIncarnation;
  bool gotWelcome = false;

  atomic {
    isOpen[0] = true;
    toReceiver[0]!hello
  }
  do
  :: outcome != pending -> break
  :: atomic {
       outcome == pending && len(toSender[connection]) > 0 ->
       toSender[connection]?message, receiverIncarnation;
       if
       :: message == welcome && !gotWelcome ->
          gotWelcome = true;
          if
          :: !sent ->
             sent = true; sentOn = connection;
             sentToIncarnation = receiverIncarnation;
             toReceiver[connection]!call
#ifndef NO_INCARNATION
          :: sent && sentToIncarnation != receiverIncarnation -> Finish(unknown)
          :: sent && sentToIncarnation == receiverIncarnation ->
             toReceiver[connection]!ask
#else
          :: sent -> toReceiver[connection]!ask
#endif
          fi
       :: message == answer -> Finish(answered)
       :: message == refusal -> Finish(notRun)
       :: message == lost -> Finish(unknown)
       :: else
       fi
     }
  /* The connection is silent or lost; the sender opens the next one. */
  :: atomic {
       outcome == pending && connection < CONNECTIONS - 1 ->
       if
       :: !sent -> skip
       :: sent ->
#ifdef EARLY_RETRY
          Finish(notRun)
#endif
       fi;
       if
       :: outcome == pending ->
          connection++;
          gotWelcome = false;
          isOpen[connection] = true;
          toReceiver[connection]!hello
       :: else
       fi
     }
  /* The call's deadline passes, or the sender crashes. */
  :: atomic {
       outcome == pending ->
       if
       :: sent -> Finish(unknown)
       :: !sent -> Finish(notRun)
       fi
     }
  od
}
