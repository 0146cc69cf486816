#include "baobab/decision/retry_state.hpp"

#include "baobab/core/result.hpp"

#include <cassert>
#include <utility>

namespace baobab {
namespace {

/// Attempts of one call at most, including those that reach no target. Each
/// costs a hop.
constexpr std::int64_t kMaxPlacements = 4;

/// Whether a refused call can be attempted again, and at what cost.
enum class RefusalClass : std::uint8_t
{
  /// Another target would refuse as well.
  Final,
  /// The call reached no target: a daemon refused it, or it reached no daemon.
  /// Another attempt adds no load to any target.
  NoLoad,
  /// A target was reached. Another attempt adds load and needs budget.
  Load,
};

RefusalClass
Classify(RefusalReason aReason)
{
  switch (aReason) {
    case RefusalReason::Leaving:
    case RefusalReason::NotReady:
    case RefusalReason::WrongService:
    case RefusalReason::Fenced:
    case RefusalReason::Unreachable:
    case RefusalReason::Overloaded:
    case RefusalReason::RateLimited:
    case RefusalReason::Evacuated:
    case RefusalReason::WarmingUp:
    case RefusalReason::OutOfMemory:
      return RefusalClass::NoLoad;
    case RefusalReason::Shed:
    case RefusalReason::WrongInstance:
      return RefusalClass::Load;
    case RefusalReason::Expired:
    case RefusalReason::Quarantined:
    case RefusalReason::NoTarget:
    case RefusalReason::TooLarge:
    case RefusalReason::Cancelled:
    case RefusalReason::RegionFull:
    case RefusalReason::OverQuota:
    case RefusalReason::KeysOutdated:
      break;
  }
  return RefusalClass::Final;
}

/// True for a server error that another target may not return. A gateway
/// timeout is excluded.
bool
IsServerFailure(const Response& aResponse)
{
  constexpr unsigned kServerError = 500;
  constexpr unsigned kGatewayTimeout = 504;
  return aResponse.status >= kServerError &&
         aResponse.status != kGatewayTimeout;
}

/// True if the attempt may have reached a target.
bool
MayHaveArrived(const Outcome& aOutcome)
{
  const auto* refusal = std::get_if<NotRun>(&aOutcome);
  return refusal == nullptr || Classify(refusal->reason) == RefusalClass::Load;
}

}

RetryState::RetryState(bool aIdempotent,
                       std::int64_t aAttempts,
                       TimePoint aDeadline)
  : idempotent(aIdempotent)
  , maxAttempts(aAttempts)
  , deadline(aDeadline)
  , result(NotRun{ RefusalReason::NoTarget, "no target is known" })
{
}

RetryDecision
RetryState::OnOutcome(Outcome aOutcome, RetryBudget& aBudget, TimePoint aNow)
{
  ++this->attempts;
  this->targetAttempts += MayHaveArrived(aOutcome) ? 1 : 0;
  const bool allowed = this->targetAttempts < this->maxAttempts &&
                       this->attempts < kMaxPlacements && aNow < this->deadline;
  this->permit = allowed ? this->GrantRetry(aOutcome, aBudget) : std::nullopt;
  // A call that one attempt may have run must not end as "not run".
  const bool mayHaveRun = !std::holds_alternative<NotRun>(this->result);
  if (!mayHaveRun || std::holds_alternative<Answered>(aOutcome)) {
    this->result = std::move(aOutcome);
  }
  return this->permit ? RetryDecision::Retry : RetryDecision::Finish;
}

SendPermit
RetryState::TakePermit()
{
  assert(this->permit);
  SendPermit taken = std::move(*this->permit);
  this->permit.reset();
  return taken;
}

std::optional<SendPermit>
RetryState::GrantSecondSend(RetryBudget& aBudget)
{
  if (!this->idempotent || this->targetAttempts + 1 >= this->maxAttempts) {
    return std::nullopt;
  }
  auto granted = aBudget.Spend();
  this->targetAttempts += granted ? 1 : 0;
  return granted;
}

bool
RetryState::GrantSecondRound()
{
  const auto* refusal = std::get_if<NotRun>(&this->result);
  const bool granted = !this->secondRoundGranted && refusal != nullptr &&
                       refusal->reason == RefusalReason::Overloaded;
  this->secondRoundGranted = this->secondRoundGranted || granted;
  return granted;
}

std::optional<SendPermit>
RetryState::GrantRetry(const Outcome& aOutcome, RetryBudget& aBudget) const
{
  using Permit = std::optional<SendPermit>;
  return std::visit(
    Overloaded{
      [&](const Answered& aAnswer) -> Permit {
        return this->idempotent && IsServerFailure(aAnswer.response)
                 ? aBudget.Spend()
                 : std::nullopt;
      },
      [&](const NotRun& aRefusal) -> Permit {
        if (aRefusal.retried) {
          return std::nullopt;
        }
        switch (Classify(aRefusal.reason)) {
          case RefusalClass::NoLoad:
            return SendPermit::ForFirstSend();
          case RefusalClass::Load:
            return aBudget.Spend();
          case RefusalClass::Final:
            break;
        }
        return std::nullopt;
      },
      [&](const OutcomeUnknown&) -> Permit {
        return this->idempotent ? aBudget.Spend() : std::nullopt;
      },
    },
    aOutcome);
}

}
