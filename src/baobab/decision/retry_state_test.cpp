#include "baobab/decision/breaker.hpp"
#include "baobab/decision/byte_budget.hpp"
#include "baobab/decision/retry_state.hpp"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <numeric>
#include <vector>

namespace baobab {
namespace {

constexpr TimePoint kNow{ 1h };

NotRun
Refusal(RefusalReason aReason)
{
  return { aReason, "" };
}

}

BOOST_AUTO_TEST_SUITE(retry_state)

BOOST_AUTO_TEST_CASE(
  an_unknown_outcome_is_retried_only_if_the_call_is_idempotent)
{
  RetryBudget budget(0.1, 10);
  RetryState notIdempotent(false, 3, kNow + 1s);
  BOOST_TEST((notIdempotent.OnOutcome(OutcomeUnknown{}, budget, kNow) ==
              RetryDecision::Finish));
  RetryState idempotent(true, 3, kNow + 1s);
  BOOST_TEST((idempotent.OnOutcome(OutcomeUnknown{}, budget, kNow) ==
              RetryDecision::Retry));
}

BOOST_AUTO_TEST_CASE(a_later_refusal_does_not_replace_an_unknown_outcome)
{
  RetryBudget budget(0.1, 10);
  RetryState state(true, 3, kNow + 1s);
  state.OnOutcome(OutcomeUnknown{}, budget, kNow);
  state.OnOutcome(Refusal(RefusalReason::Quarantined), budget, kNow);
  BOOST_TEST(std::holds_alternative<OutcomeUnknown>(state.Result()));
  RetryState answered(true, 3, kNow + 1s);
  answered.OnOutcome(OutcomeUnknown{}, budget, kNow);
  answered.OnOutcome(Answered{}, budget, kNow);
  BOOST_TEST(std::holds_alternative<Answered>(answered.Result()));
}

BOOST_AUTO_TEST_CASE(
  does_not_retry_after_the_last_attempt_the_deadline_or_a_final_refusal)
{
  RetryBudget budget(0.1, 10);
  RetryState attempts(true, 2, kNow + 1s);
  BOOST_TEST((attempts.OnOutcome(Refusal(RefusalReason::Shed), budget, kNow) ==
              RetryDecision::Retry));
  BOOST_TEST((attempts.OnOutcome(Refusal(RefusalReason::Shed), budget, kNow) ==
              RetryDecision::Finish));
  RetryState late(true, 3, kNow + 1s);
  BOOST_TEST(
    (late.OnOutcome(Refusal(RefusalReason::Overloaded), budget, kNow + 1s) ==
     RetryDecision::Finish));
  RetryState quarantined(true, 3, kNow + 1s);
  BOOST_TEST(
    (quarantined.OnOutcome(Refusal(RefusalReason::Quarantined), budget, kNow) ==
     RetryDecision::Finish));
}

/// Calls that were lost with a connection before they reached a target must be
/// retried even when the retry budget is empty.
BOOST_AUTO_TEST_CASE(a_call_that_reached_no_target_needs_no_budget)
{
  RetryBudget empty(0, 0);
  RetryState fenced(false, 3, kNow + 1s);
  BOOST_TEST((fenced.OnOutcome(Refusal(RefusalReason::Fenced), empty, kNow) ==
              RetryDecision::Retry));
  RetryState shed(false, 3, kNow + 1s);
  BOOST_TEST((shed.OnOutcome(Refusal(RefusalReason::Shed), empty, kNow) ==
              RetryDecision::Finish));
}

/// A refusal by a daemon does not count towards the attempts at targets, and a
/// retry after it needs no budget. The number of hops is limited.
BOOST_AUTO_TEST_CASE(a_call_that_a_daemon_refused_is_placed_at_another_target)
{
  RetryBudget empty(0, 0);
  RetryState state(false, 1, kNow + 1s);
  for (int i = 0; i < 3; ++i) {
    BOOST_TEST(
      (state.OnOutcome(Refusal(RefusalReason::Overloaded), empty, kNow) ==
       RetryDecision::Retry));
  }
  BOOST_TEST(
    (state.OnOutcome(Refusal(RefusalReason::Overloaded), empty, kNow) ==
     RetryDecision::Finish));
}

/// Targets may refuse a call in favour of targets of another region that cannot
/// be used. Without a second round the call would end as refused although a
/// target could run it.
BOOST_AUTO_TEST_CASE(a_second_round_is_granted_once_after_overload)
{
  RetryBudget empty(0, 0);
  RetryState state(false, 2, kNow + 1s);
  BOOST_TEST(!state.GrantSecondRound());
  state.OnOutcome(Refusal(RefusalReason::Overloaded), empty, kNow);
  BOOST_TEST(state.GrantSecondRound());
  BOOST_TEST(!state.GrantSecondRound());
  RetryState leaving(false, 2, kNow + 1s);
  leaving.OnOutcome(Refusal(RefusalReason::Leaving), empty, kNow);
  BOOST_TEST(!leaving.GrantSecondRound());
}

BOOST_AUTO_TEST_CASE(a_second_send_counts_towards_attempts_and_takes_budget)
{
  RetryBudget budget(0, 2);
  RetryState state(true, 3, kNow + 1s);
  BOOST_TEST(state.GrantSecondSend(budget).has_value());
  BOOST_TEST(state.GrantSecondSend(budget).has_value());
  BOOST_TEST(!state.GrantSecondSend(budget).has_value());
  BOOST_TEST(
    (state.OnOutcome(OutcomeUnknown{}, budget, kNow) == RetryDecision::Finish));
  RetryState notIdempotent(false, 3, kNow + 1s);
  RetryBudget unspent(0, 2);
  BOOST_TEST(!notIdempotent.GrantSecondSend(unspent).has_value());
}

BOOST_AUTO_TEST_CASE(
  an_error_answer_is_retried_and_kept_if_no_attempt_does_better)
{
  RetryBudget budget(0.1, 10);
  RetryState state(true, 2, kNow + 1s);
  Answered failed;
  failed.response.status = 500;
  BOOST_TEST((state.OnOutcome(failed, budget, kNow) == RetryDecision::Retry));
  state.OnOutcome(Refusal(RefusalReason::Overloaded), budget, kNow);
  BOOST_REQUIRE(std::holds_alternative<Answered>(state.Result()));
  BOOST_TEST(std::get<Answered>(state.Result()).response.status == 500U);
  RetryState notIdempotent(false, 2, kNow + 1s);
  BOOST_TEST(
    (notIdempotent.OnOutcome(failed, budget, kNow) == RetryDecision::Finish));
}

BOOST_AUTO_TEST_CASE(a_refusal_that_was_retried_downstream_is_not_retried)
{
  RetryBudget budget(0.1, 10);
  RetryState state(true, 3, kNow + 1s);
  const NotRun refusal{ RefusalReason::Overloaded, "", true };
  BOOST_TEST((state.OnOutcome(refusal, budget, kNow) == RetryDecision::Finish));
}

/// In a chain of daemons in front of a service that refuses every call, only
/// the last daemon may retry.
BOOST_AUTO_TEST_CASE(retries_do_not_multiply_through_25_layers)
{
  constexpr int kLayers = 25;
  std::deque<RetryBudget> budgets;
  for (int i = 0; i < kLayers; ++i) {
    budgets.emplace_back(0.1, 10);
  }
  std::uint64_t backEndAttempts = 0;
  const auto call = [&](const auto& aSelf, int aLayer) -> NotRun {
    if (aLayer == kLayers) {
      ++backEndAttempts;
      return Refusal(RefusalReason::Shed);
    }
    budgets[static_cast<std::size_t>(aLayer)].Earn();
    RetryState state(true, 3, kNow + 1s);
    while (state.OnOutcome(aSelf(aSelf, aLayer + 1),
                           budgets[static_cast<std::size_t>(aLayer)],
                           kNow) == RetryDecision::Retry) {
    }
    NotRun refusal = std::get<NotRun>(state.Result());
    refusal.retried = refusal.retried || state.Attempts() > 1;
    return refusal;
  };
  constexpr std::uint64_t kCalls = 1000;
  for (std::uint64_t i = 0; i < kCalls; ++i) {
    call(call, 0);
  }
  // A refusal that was not retried downstream, because the budget there was
  // empty, may be retried one layer up. Each layer has its own small budget.
  const std::uint64_t bound =
    kCalls + kCalls / 10 * kLayers + std::uint64_t{ 10 } * kLayers;
  BOOST_TEST(backEndAttempts <= bound);
  BOOST_TEST_MESSAGE("attempts at the back end: " << backEndAttempts);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(budgets)

BOOST_AUTO_TEST_CASE(retries_stay_within_the_ratio_and_burst)
{
  RetryBudget budget(0.1, 10);
  int retries = 0;
  for (int i = 0; i < 10000; ++i) {
    budget.Earn();
    retries += budget.Spend() ? 1 : 0;
  }
  BOOST_TEST(retries <= 1000 + 10);
  BOOST_TEST(retries >= 1000);
}

/// A service receives retries of its own calls and also the calls made by
/// retried calls of another service. Both together must stay within its ratio
/// and burst: a fleet run (karri scale-1, seed 1013717194048) had 1,102 repeats
/// where 1,100 were allowed.
BOOST_AUTO_TEST_CASE(retries_of_two_layers_stay_within_the_ratio)
{
  constexpr double kRatio = 0.2;
  constexpr std::int64_t kSlack = 62;
  constexpr std::int64_t kDaemons = 13;
  constexpr int kCallsPerRequest = 2;
  const RetryShare share = ShareOfRetries(kRatio, kSlack, kDaemons);
  std::deque<RetryBudget> front;
  std::deque<RetryBudget> back;
  for (std::int64_t i = 0; i < kDaemons; ++i) {
    front.emplace_back(share.ratio, share.burst);
    back.emplace_back(share.ratio, share.burst);
  }
  std::int64_t requests = 0;
  std::int64_t repeats = 0;
  const auto call = [&](RetryBudget& aBudget, bool aRepeat) {
    requests += aRepeat ? 0 : 1;
    repeats += aRepeat ? 1 : 0;
    aBudget.Earn();
    repeats += aBudget.Spend() ? 1 : 0;
  };
  for (int i = 0; i < 2000; ++i) {
    const auto daemon = static_cast<std::size_t>(i % kDaemons);
    front[daemon].Earn();
    const int runs = front[daemon].Spend() ? 2 : 1;
    for (int run = 0; run < runs; ++run) {
      for (int each = 0; each < kCallsPerRequest; ++each) {
        call(back[daemon], run > 0);
      }
    }
  }
  BOOST_TEST(static_cast<double>(repeats) <=
             kRatio * static_cast<double>(requests) + kSlack);
}

BOOST_AUTO_TEST_CASE(no_interval_of_one_second_exceeds_the_rate)
{
  constexpr std::int64_t kRate = 10000;
  ByteBudget budget(kRate);
  std::vector<std::pair<TimePoint, std::int64_t>> sent;
  for (int step = 0; step < 20000; ++step) {
    const TimePoint now = kNow + step * 250us;
    const std::int64_t bytes = 10 + step % 300;
    if (budget.Charge(bytes, now)) {
      sent.emplace_back(now, bytes);
    }
  }
  for (const auto& [start, unused] : sent) {
    const std::int64_t bytes =
      std::accumulate(sent.begin(),
                      sent.end(),
                      std::int64_t{ 0 },
                      [&](std::int64_t aSum, const auto& aItem) {
                        const bool inside =
                          aItem.first >= start && aItem.first < start + 1s;
                        return inside ? aSum + aItem.second : aSum;
                      });
    BOOST_REQUIRE_LE(bytes, kRate);
  }
  BOOST_TEST(budget.Spent() > 5 * kRate / 2);
}

BOOST_AUTO_TEST_CASE(a_budget_of_zero_forbids_every_byte)
{
  ByteBudget budget(0);
  BOOST_TEST(!budget.Charge(1, kNow));
  BOOST_TEST(budget.Spent() == 0);
}

/// Daemons join and leave while others do not know it yet. The settling time
/// keeps the sum of the shares within the budget.
BOOST_AUTO_TEST_CASE(shares_of_a_changing_fleet_stay_within_the_budget)
{
  constexpr std::int64_t kFleetRate = 1000003;
  for (std::int64_t daemons = 1; daemons <= 64; ++daemons) {
    for (std::int64_t newcomers = 0; newcomers <= 64; ++newcomers) {
      // Settled daemons know at least each other. Newcomers have no share.
      const std::int64_t spent = daemons * ShareOf(kFleetRate, daemons, true) +
                                 newcomers * ShareOf(kFleetRate, 1, false);
      BOOST_REQUIRE_LE(spent, kFleetRate);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(breaker)

BOOST_AUTO_TEST_CASE(opens_after_failures_and_grants_one_probe)
{
  Breaker breaker;
  for (int i = 0; i < Breaker::kFailuresToOpen; ++i) {
    BOOST_TEST(breaker.TryAttempt(kNow));
    breaker.RecordFailure(kNow);
  }
  BOOST_TEST(breaker.IsOpen(kNow));
  BOOST_TEST(!breaker.TryAttempt(kNow));
  const TimePoint later = kNow + Breaker::kOpenTime;
  BOOST_TEST(breaker.TryAttempt(later));
  BOOST_TEST(!breaker.TryAttempt(later));
  breaker.RecordSuccess();
  BOOST_TEST(breaker.TryAttempt(later));
}

BOOST_AUTO_TEST_SUITE_END()

}
