#include "baobab/decision/call_plan.hpp"

#include "baobab/core/result.hpp"

namespace baobab {
namespace {

/// How a refusal bears on another attempt.
enum class RefusalClass : std::uint8_t
{
  /// Another target would refuse as well.
  Final,
  /// The call did not reach a target in service, so that another attempt
  /// adds no load to any.
  NoLoad,
  /// Another attempt adds load and needs budget.
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
      return RefusalClass::NoLoad;
    case RefusalReason::Overloaded:
      return RefusalClass::Load;
    case RefusalReason::Expired:
    case RefusalReason::Quarantined:
    case RefusalReason::NoTarget:
    case RefusalReason::TooLarge:
    case RefusalReason::Cancelled:
      break;
  }
  return RefusalClass::Final;
}

}

CallPlan::CallPlan(bool aIdempotent,
                   std::int64_t aAttempts,
                   TimePoint aDeadline)
  : idempotent(aIdempotent)
  , most(aAttempts)
  , deadline(aDeadline)
  , result(NotRun{ RefusalReason::NoTarget, "no target is known" })
{
}

PlanStep
CallPlan::OnOutcome(Outcome aOutcome, RetryBudget& aBudget, TimePoint aNow)
{
  ++this->attempts;
  const bool retry = this->attempts < this->most && aNow < this->deadline &&
                     this->MayRetry(aOutcome, aBudget);
  const bool wasUnknown = std::holds_alternative<OutcomeUnknown>(this->result);
  if (!wasUnknown || std::holds_alternative<Answered>(aOutcome)) {
    this->result = std::move(aOutcome);
  }
  return retry ? PlanStep::Retry : PlanStep::Finish;
}

bool
CallPlan::MayRetry(const Outcome& aOutcome, RetryBudget& aBudget) const
{
  return std::visit(Overloaded{
                      [](const Answered&) { return false; },
                      [&](const NotRun& aRefusal) {
                        if (aRefusal.retried) {
                          return false;
                        }
                        switch (Classify(aRefusal.reason)) {
                          case RefusalClass::NoLoad:
                            return true;
                          case RefusalClass::Load:
                            return aBudget.Spend();
                          case RefusalClass::Final:
                            break;
                        }
                        return false;
                      },
                      [&](const OutcomeUnknown&) {
                        return this->idempotent && aBudget.Spend();
                      },
                    },
                    aOutcome);
}

}
