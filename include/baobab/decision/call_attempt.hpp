/// @file
/// The sending side of a call's fate.
#pragma once

#include "baobab/core/call_id.hpp"
#include "baobab/core/outcome.hpp"
#include "baobab/decision/call_ledger.hpp"

#include <cstdint>
#include <optional>

namespace baobab {

/// What the shell does next for an attempt.
enum class AttemptAction : std::uint8_t
{
  /// Wait for the next event.
  Wait,
  /// Send the call on the connection of the last Welcome.
  SendCall,
  /// Ask for the fate on the connection of the last Welcome.
  SendAsk,
  /// Open a new connection, which retires the old one.
  Reconnect,
  /// Read the outcome; the attempt is over.
  Finish,
};

/// One attempt to run a call on one target: sent at most once, asked for
/// after a lost connection, and never called "not run" without proof.
class CallAttempt
{
public:
  /// @param aIdempotent true if the call may be sent elsewhere while its
  ///   fate is unknown
  CallAttempt(CallId aId, bool aIdempotent, TimePoint aDeadline);

  /// A connection is ready for use.
  /// @param aIncarnation of the receiving daemon's process
  AttemptAction OnWelcome(std::uint64_t aIncarnation,
                          ConnectionNumber aConnection);

  /// The connection that carried the call, or was being opened, is lost.
  AttemptAction OnConnectionLost();

  /// No connection could be opened.
  AttemptAction OnConnectFailed();

  /// The receiver says the call is running.
  AttemptAction OnRunning();

  /// The whole answer arrived.
  AttemptAction OnAnswer(Response aResponse);

  /// The receiver refused the call; it was not run.
  AttemptAction OnRefusal(NotRun aRefusal);

  /// The receiver does not know what became of the call.
  AttemptAction OnLost();

  /// The outcome is no longer wanted.
  AttemptAction OnCancelled();

  /// The deadline passed.
  AttemptAction OnDeadline();

  const CallId& Id() const { return this->id; }
  TimePoint Deadline() const { return this->deadline; }
  bool Idempotent() const { return this->idempotent; }
  /// True from the moment the call was handed to a connection.
  bool WasSent() const { return this->sentOn.has_value(); }
  /// Connection on which the call was sent. Only valid if WasSent().
  ConnectionNumber SentOn() const { return *this->sentOn; }
  /// Set once an action was Finish.
  const std::optional<Outcome>& Result() const { return this->outcome; }

private:
  AttemptAction End(Outcome aOutcome);

  CallId id;
  bool idempotent;
  TimePoint deadline;
  std::optional<ConnectionNumber> sentOn;
  std::uint64_t sentTo = 0;
  std::optional<Outcome> outcome;
};

}
