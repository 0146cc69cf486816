#include "baobab/decision/second_send.hpp"

#include <boost/test/unit_test.hpp>

namespace baobab {
namespace {

/// A call that usually takes 220 ms, sent 50 ms ago, on a host that is seven
/// times slower than usual.
SlowedCall
MakeSlowedCall()
{
  SlowedCall call;
  call.elapsed = 50ms;
  call.work = 220ms;
  call.slowness = 7;
  call.timeToObjective = 550ms;
  call.timeToDeadline = 1450ms;
  call.alternative = 225ms;
  return call;
}

}

BOOST_AUTO_TEST_SUITE(second_send)

BOOST_AUTO_TEST_CASE(sends_if_only_the_second_meets_the_objective)
{
  SlowedCall call = MakeSlowedCall();
  call.timeToObjective = 500ms;
  BOOST_TEST((ExpectedRemainingTime(call) > 500ms));
  BOOST_TEST(ShouldSendSecond(call));
}

BOOST_AUTO_TEST_CASE(does_not_send_for_a_call_that_is_nearly_done)
{
  SlowedCall call = MakeSlowedCall();
  call.elapsed = 210ms;
  BOOST_TEST((ExpectedRemainingTime(call) < 350ms));
  BOOST_TEST(!ShouldSendSecond(call));
}

BOOST_AUTO_TEST_CASE(does_not_send_if_both_miss_the_objective)
{
  SlowedCall call = MakeSlowedCall();
  call.timeToObjective = 100ms;
  BOOST_TEST(!ShouldSendSecond(call));
}

BOOST_AUTO_TEST_CASE(sends_if_only_the_second_meets_the_deadline)
{
  SlowedCall call = MakeSlowedCall();
  call.timeToObjective = -100ms;
  call.timeToDeadline = 300ms;
  BOOST_TEST(ShouldSendSecond(call));
  call.alternative = 400ms;
  BOOST_TEST(!ShouldSendSecond(call));
}

BOOST_AUTO_TEST_CASE(a_host_is_assumed_to_recover)
{
  SlowedCall call = MakeSlowedCall();
  call.work = 2s;
  call.elapsed = 0ms;
  BOOST_TEST((ExpectedRemainingTime(call) < 2s + 400ms));
}

/// If the first attempt was refused and the second one still runs at the
/// deadline, the caller must not be told "not run".
BOOST_AUTO_TEST_CASE(the_outcome_is_unknown_while_an_attempt_still_runs)
{
  const Outcome outcome = CombineOutcomes(NotRun{}, std::nullopt);
  BOOST_TEST(std::holds_alternative<OutcomeUnknown>(outcome));
}

BOOST_AUTO_TEST_CASE(not_run_requires_that_neither_attempt_may_have_run)
{
  BOOST_TEST(std::holds_alternative<NotRun>(
    CombineOutcomes(NotRun{}, Outcome(NotRun{}))));
  BOOST_TEST(std::holds_alternative<OutcomeUnknown>(
    CombineOutcomes(NotRun{}, Outcome(OutcomeUnknown{}))));
  BOOST_TEST(std::holds_alternative<OutcomeUnknown>(
    CombineOutcomes(OutcomeUnknown{}, Outcome(NotRun{}))));
}

BOOST_AUTO_TEST_CASE(an_answer_to_either_attempt_is_the_outcome)
{
  BOOST_TEST(std::holds_alternative<Answered>(
    CombineOutcomes(OutcomeUnknown{}, Outcome(Answered{}))));
  BOOST_TEST(std::holds_alternative<Answered>(
    CombineOutcomes(Answered{}, Outcome(NotRun{}))));
}

BOOST_AUTO_TEST_SUITE_END()

}
