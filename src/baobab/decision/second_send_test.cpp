#include "baobab/decision/second_send.hpp"

#include <boost/test/unit_test.hpp>

namespace baobab {
namespace {

/// A call of 220 ms, 50 ms on its way, on a host that is seven times slower.
SlowedCall
Slowed()
{
  SlowedCall call;
  call.elapsed = 50ms;
  call.work = 220ms;
  call.slowness = 7;
  call.objective = 550ms;
  call.deadline = 1450ms;
  call.alternative = 225ms;
  return call;
}

}

BOOST_AUTO_TEST_SUITE(second_send)

BOOST_AUTO_TEST_CASE(pays_where_the_objective_is_kept_elsewhere_only)
{
  SlowedCall call = Slowed();
  call.objective = 500ms;
  BOOST_TEST((ExpectedRemainingTime(call) > 500ms));
  BOOST_TEST(ShouldSendSecond(call));
}

BOOST_AUTO_TEST_CASE(does_not_pay_for_a_call_that_is_nearly_done)
{
  SlowedCall call = Slowed();
  call.elapsed = 210ms;
  BOOST_TEST((ExpectedRemainingTime(call) < 350ms));
  BOOST_TEST(!ShouldSendSecond(call));
}

BOOST_AUTO_TEST_CASE(does_not_pay_where_both_are_late)
{
  SlowedCall call = Slowed();
  call.objective = 100ms;
  BOOST_TEST(!ShouldSendSecond(call));
}

BOOST_AUTO_TEST_CASE(pays_where_only_the_second_keeps_the_deadline)
{
  SlowedCall call = Slowed();
  call.objective = -100ms;
  call.deadline = 300ms;
  BOOST_TEST(ShouldSendSecond(call));
  call.alternative = 400ms;
  BOOST_TEST(!ShouldSendSecond(call));
}

BOOST_AUTO_TEST_CASE(a_slow_spell_passes)
{
  SlowedCall call = Slowed();
  call.work = 2s;
  call.elapsed = 0ms;
  BOOST_TEST((ExpectedRemainingTime(call) < 2s + 400ms));
}

/// Found by reading: the first attempt was handed back, the second one still
/// ran at the deadline, and the caller was told "not run".
BOOST_AUTO_TEST_CASE(an_attempt_that_still_runs_leaves_the_outcome_unknown)
{
  const Outcome outcome = CombineOutcomes(NotRun{}, std::nullopt);
  BOOST_TEST(std::holds_alternative<OutcomeUnknown>(outcome));
}

BOOST_AUTO_TEST_CASE(not_run_needs_both_attempts)
{
  BOOST_TEST(std::holds_alternative<NotRun>(
    CombineOutcomes(NotRun{}, Outcome(NotRun{}))));
  BOOST_TEST(std::holds_alternative<OutcomeUnknown>(
    CombineOutcomes(NotRun{}, Outcome(OutcomeUnknown{}))));
  BOOST_TEST(std::holds_alternative<OutcomeUnknown>(
    CombineOutcomes(OutcomeUnknown{}, Outcome(NotRun{}))));
}

BOOST_AUTO_TEST_CASE(the_answer_of_either_attempt_is_the_calls)
{
  BOOST_TEST(std::holds_alternative<Answered>(
    CombineOutcomes(OutcomeUnknown{}, Outcome(Answered{}))));
  BOOST_TEST(std::holds_alternative<Answered>(
    CombineOutcomes(Answered{}, Outcome(NotRun{}))));
}

BOOST_AUTO_TEST_SUITE_END()

}
