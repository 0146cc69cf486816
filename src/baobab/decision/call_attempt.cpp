#include "baobab/decision/call_attempt.hpp"

namespace baobab {

CallAttempt::CallAttempt(CallId aId, bool aIdempotent, TimePoint aDeadline)
  : id(aId)
  , idempotent(aIdempotent)
  , deadline(aDeadline)
{
}

AttemptAction
CallAttempt::OnWelcome(std::uint64_t aIncarnation, ConnectionNumber aConnection)
{
  if (this->outcome) {
    return AttemptAction::Wait;
  }
  if (!this->sentOn) {
    this->sentOn = aConnection;
    this->receiverIncarnation = aIncarnation;
    return AttemptAction::SendCall;
  }
  if (this->receiverIncarnation != aIncarnation) {
    return this->End(OutcomeUnknown{ UnknownCause::DaemonRestarted });
  }
  return AttemptAction::SendAsk;
}

AttemptAction
CallAttempt::OnConnectionLost()
{
  return this->outcome ? AttemptAction::Wait : AttemptAction::Reconnect;
}

AttemptAction
CallAttempt::OnConnectFailed()
{
  if (this->outcome) {
    return AttemptAction::Wait;
  }
  if (!this->sentOn) {
    return this->End(
      NotRun{ RefusalReason::Unreachable, "no connection to the target" });
  }
  if (this->idempotent) {
    return this->End(OutcomeUnknown{ UnknownCause::LinkLost });
  }
  return AttemptAction::Reconnect;
}

AttemptAction
CallAttempt::OnRunning()
{
  return AttemptAction::Wait;
}

AttemptAction
CallAttempt::OnAnswer(Response aResponse)
{
  return this->outcome ? AttemptAction::Wait
                       : this->End(Answered{ std::move(aResponse) });
}

AttemptAction
CallAttempt::OnRefusal(NotRun aRefusal)
{
  return this->outcome ? AttemptAction::Wait : this->End(std::move(aRefusal));
}

AttemptAction
CallAttempt::OnLost()
{
  return this->outcome
           ? AttemptAction::Wait
           : this->End(OutcomeUnknown{ UnknownCause::TargetFailed });
}

AttemptAction
CallAttempt::OnCancelled()
{
  if (this->outcome) {
    return AttemptAction::Wait;
  }
  if (!this->sentOn) {
    return this->End(NotRun{ RefusalReason::Cancelled, "cancelled" });
  }
  return this->End(OutcomeUnknown{ UnknownCause::Cancelled });
}

AttemptAction
CallAttempt::OnDeadline()
{
  if (this->outcome) {
    return AttemptAction::Wait;
  }
  if (!this->sentOn) {
    return this->End(
      NotRun{ RefusalReason::Expired, "the deadline passed before sending" });
  }
  return this->End(OutcomeUnknown{ UnknownCause::DeadlinePassed });
}

AttemptAction
CallAttempt::End(Outcome aOutcome)
{
  this->outcome = std::move(aOutcome);
  return AttemptAction::Finish;
}

}
