/// @file
/// The sender's state machine for one attempt of a call.
#pragma once

#include "baobab/core/call_id.hpp"
#include "baobab/core/outcome.hpp"
#include "baobab/decision/call_ledger.hpp"

#include <cstdint>
#include <optional>

namespace baobab {

/// What the code that drives an attempt does next.
enum class AttemptAction : std::uint8_t
{
  /// Wait for the next event.
  Wait,
  /// Send the call on the connection of the last Welcome.
  SendCall,
  /// Ask for the call's status on the connection of the last Welcome.
  SendAsk,
  /// Open a new connection, which replaces the old one.
  Reconnect,
  /// Read the result; the attempt is over.
  Finish,
};

/// One attempt to run a call on one target. It sends the call at most once,
/// asks for its status after a lost connection, and reports "not run" only if
/// that is certain.
class CallAttempt
{
public:
  /// @param aIdempotent true if the call may be sent to another target while
  ///   it is unknown whether this one ran it
  CallAttempt(CallId aId, bool aIdempotent, TimePoint aDeadline);

  /// A connection is ready for use.
  /// @param aIncarnation incarnation of the receiving daemon's process
  AttemptAction OnWelcome(std::uint64_t aIncarnation,
                          ConnectionNumber aConnection);

  /// The connection that carried the call, or that was being opened, is lost.
  AttemptAction OnConnectionLost();

  /// No connection could be opened.
  AttemptAction OnConnectFailed();

  /// The receiver reports that the call is running.
  AttemptAction OnRunning();

  /// The complete answer arrived.
  AttemptAction OnAnswer(Response aResponse);

  /// The receiver refused the call; it was not run.
  AttemptAction OnRefusal(NotRun aRefusal);

  /// The receiver does not know whether the call ran.
  AttemptAction OnLost();

  /// The caller no longer wants the outcome.
  AttemptAction OnCancelled();

  /// The deadline passed.
  AttemptAction OnDeadline();

  const CallId& Id() const { return this->id; }
  TimePoint Deadline() const { return this->deadline; }
  bool Idempotent() const { return this->idempotent; }
  /// True once the call was handed to a connection.
  bool WasSent() const { return this->sentOn.has_value(); }
  /// Connection on which the call was sent. Only valid if WasSent().
  ConnectionNumber SentOn() const { return *this->sentOn; }
  /// Set once an event returned Finish.
  const std::optional<Outcome>& Result() const { return this->outcome; }
  /// Moves the result out, so that a large answer is not copied. Only valid if
  /// it is set.
  Outcome TakeResult() { return std::move(*this->outcome); }

private:
  AttemptAction End(Outcome aOutcome);

  CallId id;
  bool idempotent;
  TimePoint deadline;
  std::optional<ConnectionNumber> sentOn;
  std::uint64_t receiverIncarnation = 0;
  std::optional<Outcome> outcome;
};

}
