#include "baobab/decision/admission.hpp"

#include <algorithm>
#include <boost/test/unit_test.hpp>

namespace baobab {
namespace {

constexpr TimePoint kNow{ 1h };

CallId
Id(std::uint64_t aSequence)
{
  return { 1, aSequence };
}

Admission
ReadyAdmission(std::uint16_t aSlots, AdmissionLimits aLimits = {})
{
  Admission admission(aLimits);
  admission.Announce({ "s", aSlots, TargetState::Ready }, kNow);
  return admission;
}

bool
IsStarted(const AdmissionDecision& aDecision)
{
  return std::holds_alternative<StartNow>(aDecision);
}

bool
IsRefusedFor(const AdmissionDecision& aDecision, RefusalReason aReason)
{
  const auto* refusal = std::get_if<NotRun>(&aDecision);
  return refusal != nullptr && refusal->reason == aReason;
}

}

BOOST_AUTO_TEST_SUITE(admission)

BOOST_AUTO_TEST_CASE(never_runs_more_than_the_announced_slots)
{
  Admission admission = ReadyAdmission(2);
  BOOST_TEST(IsStarted(admission.Offer(Id(1), kNow + 1s, kNow)));
  BOOST_TEST(IsStarted(admission.Offer(Id(2), kNow + 1s, kNow)));
  BOOST_TEST(
    std::holds_alternative<Queued>(admission.Offer(Id(3), kNow + 1s, kNow)));
  const auto next = admission.Finish(FinishedCall(5ms), kNow + 5ms);
  BOOST_REQUIRE(next.size() == 1U);
  BOOST_TEST((next[0].id == Id(3)));
  BOOST_TEST(IsStarted(next[0].decision));
  BOOST_TEST(admission.Report(kNow).running == 2);
}

BOOST_AUTO_TEST_CASE(the_queue_is_ordered_by_deadline)
{
  Admission admission = ReadyAdmission(1);
  admission.Offer(Id(1), kNow + 1s, kNow);
  admission.Offer(Id(2), kNow + 900ms, kNow);
  admission.Offer(Id(3), kNow + 500ms, kNow);
  const auto next = admission.Finish(FinishedCall(1ms), kNow + 1ms);
  BOOST_REQUIRE(next.size() == 1U);
  BOOST_TEST((next[0].id == Id(3)));
}

BOOST_AUTO_TEST_CASE(refuses_calls_that_cannot_meet_their_deadline)
{
  Admission admission = ReadyAdmission(1);
  BOOST_TEST(
    IsRefusedFor(admission.Offer(Id(1), kNow, kNow), RefusalReason::Expired));
  admission.Offer(Id(2), kNow + 1s, kNow);
  admission.Finish(FinishedCall(50ms), kNow);
  admission.Offer(Id(3), kNow + 1s, kNow);
  BOOST_TEST(IsRefusedFor(admission.Offer(Id(4), kNow + 60ms, kNow),
                          RefusalReason::Overloaded));
}

BOOST_AUTO_TEST_CASE(refuses_calls_that_waited_too_long)
{
  Admission admission = ReadyAdmission(1);
  admission.Offer(Id(1), kNow + 10s, kNow);
  admission.Offer(Id(2), kNow + 10s, kNow);
  const auto dropped = admission.Tick(kNow + 150ms);
  BOOST_REQUIRE(dropped.size() == 1U);
  BOOST_TEST(IsRefusedFor(dropped[0].decision, RefusalReason::Overloaded));
  BOOST_TEST(admission.Finish(FinishedCall(1ms), kNow + 200ms).empty());
}

BOOST_AUTO_TEST_CASE(a_full_queue_refuses)
{
  AdmissionLimits limits;
  limits.queueLength = 1;
  Admission admission = ReadyAdmission(1, limits);
  admission.Offer(Id(1), kNow + 1s, kNow);
  admission.Offer(Id(2), kNow + 1s, kNow);
  BOOST_TEST(IsRefusedFor(admission.Offer(Id(3), kNow + 1s, kNow),
                          RefusalReason::Overloaded));
}

BOOST_AUTO_TEST_CASE(
  a_leaving_target_refuses_new_calls_and_finishes_running_ones)
{
  Admission admission = ReadyAdmission(1);
  admission.Offer(Id(1), kNow + 1s, kNow);
  admission.Offer(Id(2), kNow + 1s, kNow);
  const auto refused =
    admission.Announce({ "s", 1, TargetState::Leaving }, kNow);
  BOOST_REQUIRE(refused.size() == 1U);
  BOOST_TEST(IsRefusedFor(refused[0].decision, RefusalReason::Leaving));
  BOOST_TEST(IsRefusedFor(admission.Offer(Id(3), kNow + 1s, kNow),
                          RefusalReason::Leaving));
  BOOST_TEST(admission.Report(kNow).running == 1);
  BOOST_TEST(admission.Finish(FinishedCall(1ms), kNow).empty());
}

BOOST_AUTO_TEST_CASE(a_target_without_announcements_counts_as_absent)
{
  Admission admission = ReadyAdmission(1);
  admission.Offer(Id(1), kNow + 10s, kNow);
  admission.Tick(kNow + 4s);
  BOOST_TEST((admission.State() == TargetState::None));
  BOOST_TEST(IsRefusedFor(admission.Offer(Id(2), kNow + 10s, kNow + 4s),
                          RefusalReason::NotReady));
}

BOOST_AUTO_TEST_CASE(usable_slots_ramp_up_after_a_target_became_ready)
{
  Admission admission;
  admission.Announce({ "s", 20, TargetState::Starting }, kNow);
  admission.Announce({ "s", 20, TargetState::Ready }, kNow + 1s);
  BOOST_TEST(admission.UsableSlots(kNow + 1s) == 2);
  BOOST_TEST(admission.UsableSlots(kNow + 6s) == 10);
  BOOST_TEST(admission.UsableSlots(kNow + 11s) == 20);
}

BOOST_AUTO_TEST_CASE(
  a_restarted_daemon_uses_all_slots_of_a_running_target_at_once)
{
  Admission admission = ReadyAdmission(20);
  BOOST_TEST(admission.UsableSlots(kNow) == 20);
}

AdmissionRequest
MakeRequest(Duration aDeadline, Duration aObjective, std::uint8_t aPriority = 0)
{
  AdmissionRequest request(kNow + aDeadline);
  request.objective = kNow + aObjective;
  request.priority = aPriority;
  request.work = 100ms;
  return request;
}

BOOST_AUTO_TEST_CASE(the_queue_is_ordered_by_priority_and_reachable_objective)
{
  Admission admission = ReadyAdmission(1);
  admission.Offer(Id(1), MakeRequest(2s, 1s), kNow);
  admission.Offer(Id(2), MakeRequest(2s, 900ms, 2), kNow);
  admission.Offer(Id(3), MakeRequest(2s, 50ms, 1), kNow);
  admission.Offer(Id(4), MakeRequest(2s, 500ms, 1), kNow);
  std::vector<CallId> order;
  for (int i = 0; i < 3; ++i) {
    const auto next = admission.Finish(FinishedCall(1ms), kNow + 1ms);
    BOOST_REQUIRE(next.size() == 1U);
    order.push_back(next[0].id);
  }
  BOOST_TEST((order == std::vector{ Id(4), Id(3), Id(2) }));
}

BOOST_AUTO_TEST_CASE(refuses_a_call_that_another_target_finishes_sooner)
{
  Admission admission = ReadyAdmission(4);
  admission.SetSlowness(700, kNow);
  AdmissionRequest request = MakeRequest(2s, 600ms);
  request.alternative = 110ms;
  const auto decision = admission.Offer(Id(1), request, kNow);
  BOOST_TEST(IsRefusedFor(decision, RefusalReason::Overloaded));
  request.alternative = 900ms;
  BOOST_TEST(!IsRefusedFor(admission.Offer(Id(2), request, kNow),
                           RefusalReason::Overloaded));
}

BOOST_AUTO_TEST_CASE(waiting_calls_are_refused_when_the_host_becomes_slow)
{
  Admission admission = ReadyAdmission(1);
  admission.Offer(Id(1), MakeRequest(2s, 600ms), kNow);
  AdmissionRequest request = MakeRequest(2s, 600ms);
  request.alternative = 150ms;
  BOOST_TEST(
    std::holds_alternative<Queued>(admission.Offer(Id(2), request, kNow)));
  const auto leaving = admission.SetSlowness(700, kNow + 1ms);
  BOOST_REQUIRE(leaving.size() == 1U);
  BOOST_TEST(IsRefusedFor(leaving[0].decision, RefusalReason::Overloaded));
}

BOOST_AUTO_TEST_CASE(
  a_call_waits_for_recovery_only_if_it_can_then_meet_its_objective)
{
  AdmissionLimits limits;
  limits.queueTime = 2s;
  Admission admission = ReadyAdmission(4, limits);
  admission.SetSlowness(700, kNow);
  BOOST_TEST(std::holds_alternative<Queued>(
    admission.Offer(Id(1), MakeRequest(2s, 600ms), kNow)));
  const auto started = admission.SetSlowness(100, kNow + 200ms);
  BOOST_REQUIRE(started.size() == 1U);
  BOOST_TEST(IsStarted(started[0].decision));
  admission.SetSlowness(700, kNow + 200ms);
  BOOST_TEST(
    IsStarted(admission.Offer(Id(2), MakeRequest(2s, 100ms), kNow + 200ms)));
}

/// Callers that return under overload are late already. They must not take the
/// place of calls that can still be in time.
BOOST_AUTO_TEST_CASE(a_late_call_starts_after_calls_that_can_be_in_time)
{
  Admission admission = ReadyAdmission(1);
  admission.Offer(Id(1), MakeRequest(2s, 1s), kNow);
  admission.Offer(Id(2), MakeRequest(500ms, -300ms), kNow);
  admission.Offer(Id(3), MakeRequest(2s, 900ms), kNow);
  const auto next = admission.Finish(FinishedCall(1ms), kNow + 1ms);
  BOOST_REQUIRE(next.size() == 1U);
  BOOST_TEST((next[0].id == Id(3)));
}

/// A call that is late anyway is told to come back when it has waited for a
/// quarter of its time. A call that can still be in time goes on waiting.
BOOST_AUTO_TEST_CASE(a_late_call_waits_for_a_part_of_its_time_only)
{
  AdmissionLimits limits;
  limits.queueTime = 2s;
  Admission admission = ReadyAdmission(1, limits);
  admission.Offer(Id(1), MakeRequest(4s, 4s), kNow);
  admission.Offer(Id(2), MakeRequest(2s, 50ms), kNow);
  admission.Offer(Id(3), MakeRequest(2s, 1s), kNow);
  BOOST_TEST(admission.Tick(kNow + 400ms).empty());
  const auto refused = admission.Tick(kNow + 510ms);
  BOOST_REQUIRE(refused.size() == 1U);
  BOOST_TEST((refused[0].id == Id(2)));
  BOOST_TEST(IsRefusedFor(refused[0].decision, RefusalReason::Overloaded));
}

BOOST_AUTO_TEST_CASE(a_late_call_that_would_wait_long_is_refused_at_once)
{
  AdmissionLimits limits;
  limits.queueTime = 10s;
  Admission admission = ReadyAdmission(1, limits);
  admission.Offer(Id(1), MakeRequest(4s, 4s), kNow);
  for (std::uint64_t i = 2; i < 8; ++i) {
    BOOST_TEST(std::holds_alternative<Queued>(
      admission.Offer(Id(i), MakeRequest(4s, 3s), kNow)));
  }
  const auto decision = admission.Offer(Id(9), MakeRequest(2s, 100ms), kNow);
  BOOST_TEST(IsRefusedFor(decision, RefusalReason::Overloaded));
}

/// A target with a knee is not filled beyond it, and what is told to other
/// daemons is what the target can run usefully.
BOOST_AUTO_TEST_CASE(a_crowded_target_is_not_filled)
{
  Admission admission = ReadyAdmission(9);
  const auto finish = [&](std::uint16_t aConcurrency, Duration aServiceTime) {
    admission.Offer(Id(1), kNow + 10s, kNow);
    FinishedCall call(aServiceTime);
    call.work = 100ms;
    call.concurrency = aConcurrency;
    admission.Finish(call, kNow);
  };
  for (int i = 0; i < 100; ++i) {
    finish(static_cast<std::uint16_t>(1 + i % 7), 100ms);
    finish(static_cast<std::uint16_t>(8 + i % 2), 170ms);
  }
  BOOST_TEST(admission.UsableSlots(kNow) == 7);
  BOOST_TEST(admission.Report(kNow).slots == 7);
  BOOST_TEST(admission.AnnouncedSlots() == 9);
}

/// A target on a narrow link returns large answers. Calls for them start as
/// fast as the link can carry them; small answers and other calls go on.
BOOST_AUTO_TEST_CASE(large_answers_do_not_fill_a_narrow_link)
{
  AdmissionLimits limits;
  limits.queueTime = 10s;
  Admission admission = ReadyAdmission(50, limits);
  admission.SetLinkRate(1.25e6);
  AdmissionRequest large = MakeRequest(5s, 2s);
  large.answerBytes = 90'000;
  int started = 0;
  for (int i = 0; i < 200; ++i) {
    const TimePoint now = kNow + i * 10ms;
    large.deadline = now + 5s;
    large.objective = now + 500ms;
    started += IsStarted(admission.Offer(Id(1), large, now)) ? 1 : 0;
    for (const DequeuedCall& call : admission.Tick(now)) {
      started += IsStarted(call.decision) ? 1 : 0;
    }
  }
  // 2 s carry 27 answers if nothing else is on the link.
  BOOST_TEST(started <= 27);
  BOOST_TEST(started >= 18);
  AdmissionRequest small = MakeRequest(5s, 4s);
  small.answerBytes = 500;
  BOOST_TEST(IsStarted(admission.Offer(Id(2), small, kNow + 2s)));
}

BOOST_AUTO_TEST_SUITE_END()

}
