#include "baobab/core/random.hpp"
#include "baobab/decision/admission.hpp"
#include "baobab/decision/warmup_limit.hpp"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <optional>
#include <vector>

namespace baobab {
namespace {

constexpr TimePoint kStart{ 1h };

/// Most calls in any window of one second.
std::size_t
MostInSecond(const std::vector<TimePoint>& aStarts)
{
  std::size_t most = 0;
  for (auto first = aStarts.begin(); first != aStarts.end(); ++first) {
    const auto last = std::lower_bound(first, aStarts.end(), *first + 1s);
    most = std::max(most, static_cast<std::size_t>(last - first));
  }
  return most;
}

std::size_t
Allowed(double aRate)
{
  return static_cast<std::size_t>(aRate * 1.2 + 4);
}

/// A target that becomes cold at times of its own, with a daemon that asks it
/// as the limit demands.
class Replay
{
public:
  Replay(double aRate, std::uint64_t aSeed)
    : random(aSeed)
  {
    this->limit.Configure(aRate, true);
  }

  /// Offers calls with random gaps.
  /// @param aLossRate part of the questions that remain without an answer
  void Run(Duration aTime, Duration aMeanGap, double aLossRate)
  {
    TimePoint nextCall = this->now;
    TimePoint nextCold = this->now + this->Random(5s);
    const TimePoint end = this->now + aTime;
    for (; this->now < end; this->now += 1ms) {
      if (this->now >= nextCold) {
        this->coldUntil = this->now + 1s + this->Random(5s);
        nextCold = this->coldUntil + this->Random(6s);
      }
      this->Receive();
      this->Ask(aLossRate);
      for (; nextCall <= this->now; nextCall += this->Random(2 * aMeanGap)) {
        ++this->offered;
        this->Call();
      }
    }
  }

  std::vector<TimePoint> coldStarts;
  std::size_t warmStarts = 0;
  std::size_t warmOffers = 0;
  std::size_t offered = 0;
  std::size_t questions = 0;

private:
  struct Answer
  {
    TimePoint arrivesAt;
    TimePoint askedAt;
    Duration left;
  };

  void Call()
  {
    const bool cold = this->now < this->coldUntil;
    const bool started = this->limit.TryStart(this->now);
    this->warmOffers += cold ? 0U : 1U;
    this->warmStarts += started && !cold ? 1U : 0U;
    if (started && cold) {
      this->coldStarts.push_back(this->now);
    }
  }

  void Ask(double aLossRate)
  {
    if (this->answer || !this->limit.NeedsProof(this->now)) {
      return;
    }
    ++this->questions;
    if (UniformFraction(this->random) < aLossRate) {
      return;
    }
    // The target answers some time after the question, as it is by then.
    const TimePoint saidAt = this->now + this->Random(10ms);
    this->answer =
      Answer{ saidAt + this->Random(10ms), this->now, this->TimeLeft() };
    this->saidAt = saidAt;
  }

  void Receive()
  {
    if (!this->answer) {
      return;
    }
    if (this->now <= this->saidAt) {
      this->answer->left = this->TimeLeft();
    }
    if (this->now >= this->answer->arrivesAt) {
      this->limit.OnReport(
        this->answer->left, this->answer->askedAt, this->now);
      this->answer.reset();
    }
  }

  Duration TimeLeft() const
  {
    return std::max<Duration>(this->coldUntil - this->now, Duration::zero());
  }

  Duration Random(Duration aMax)
  {
    return std::chrono::duration_cast<Duration>(aMax *
                                                UniformFraction(this->random));
  }

  WarmupLimit limit;
  SplitMix random;
  TimePoint now = kStart;
  TimePoint coldUntil;
  TimePoint saidAt;
  std::optional<Answer> answer;
};

AdmissionRequest
RequestDueIn(Duration aTime)
{
  AdmissionRequest request(kStart + 2 * aTime);
  request.objective = kStart + aTime;
  request.work = 10ms;
  return request;
}

}

BOOST_AUTO_TEST_SUITE(warmup_limit)

BOOST_AUTO_TEST_CASE(a_target_that_becomes_cold_unannounced_gets_no_more)
{
  for (const double rate : { 1.0, 4.0, 9.5, 30.0 }) {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
      for (const double loss : { 0.0, 0.3, 1.0 }) {
        Replay replay(rate, seed);
        replay.Run(60s, 5ms, loss);
        BOOST_TEST(MostInSecond(replay.coldStarts) <= Allowed(rate));
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(a_warm_target_gets_nearly_all_calls)
{
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    Replay replay(5, seed);
    replay.Run(120s, 10ms, 0);
    // Calls that come before the end of the cold time is known are not started.
    BOOST_TEST(replay.warmStarts > replay.warmOffers / 2);
    BOOST_TEST(replay.questions < 120U * 60U);
  }
}

BOOST_AUTO_TEST_CASE(a_cold_target_gets_its_rate_evenly)
{
  for (const double rate : { 2.0, 8.0, 25.0 }) {
    WarmupLimit limit;
    limit.Configure(rate, false);
    limit.SetCold(60s, kStart);
    std::vector<TimePoint> starts;
    for (TimePoint now = kStart; now < kStart + 60s; now += 5ms) {
      if (limit.TryStart(now)) {
        starts.push_back(now);
      }
    }
    BOOST_TEST(static_cast<double>(MostInSecond(starts)) <= rate + 3);
    BOOST_TEST(static_cast<double>(starts.size()) >= 0.95 * rate * 60);
  }
}

BOOST_AUTO_TEST_CASE(without_a_limit_nothing_is_counted)
{
  WarmupLimit limit;
  limit.SetCold(60s, kStart);
  for (int i = 0; i < 1000; ++i) {
    BOOST_TEST(limit.TryStart(kStart));
  }
  BOOST_TEST(!limit.IsCold(kStart));
  BOOST_TEST(!limit.NeedsProof(kStart));
}

BOOST_AUTO_TEST_CASE(a_late_answer_does_not_replace_a_newer_one)
{
  WarmupLimit limit;
  limit.Configure(5, true);
  limit.OnReport(3s, kStart + 20ms, kStart + 30ms);
  limit.OnReport(0s, kStart, kStart + 40ms);
  BOOST_TEST(limit.IsCold(kStart + 1s));
  BOOST_TEST(!limit.IsCold(kStart + 4s));
}

BOOST_AUTO_TEST_CASE(calls_wait_for_a_cold_target_only_if_they_can_be_in_time)
{
  Admission admission;
  admission.SetLimits({ 64, 2s, 0s, 10s });
  admission.Announce({ "s", 8, TargetState::Ready }, kStart);
  admission.Warmup().Configure(4, false);
  admission.Warmup().SetCold(20s, kStart);
  const auto offer = [&](std::uint64_t aId, Duration aTime) {
    return admission.Offer({ 1, aId }, RequestDueIn(aTime), kStart);
  };
  // The first calls may start after 250 and 500 ms.
  BOOST_TEST(std::holds_alternative<Queued>(offer(1, 400ms)));
  const auto refused = offer(2, 400ms);
  BOOST_REQUIRE(std::holds_alternative<NotRun>(refused));
  const NotRun& refusal = std::get<NotRun>(refused);
  BOOST_TEST((refusal.reason == RefusalReason::WarmingUp));
  BOOST_TEST((refusal.retryAfter >= 250ms));
  BOOST_TEST(std::holds_alternative<Queued>(offer(3, 900ms)));
  BOOST_TEST(admission.Tick(kStart + 200ms).empty());
  const auto started = admission.Tick(kStart + 260ms);
  BOOST_REQUIRE(started.size() == 1U);
  BOOST_TEST((started[0].id == CallId{ 1, 1 }));
  BOOST_TEST(std::holds_alternative<StartNow>(started[0].decision));
}

BOOST_AUTO_TEST_CASE(a_cold_target_reports_as_few_slots_as_it_can_use)
{
  Admission admission;
  admission.Announce({ "s", 8, TargetState::Ready }, kStart);
  admission.Warmup().Configure(4, false);
  admission.Offer({ 1, 1 }, RequestDueIn(1s), kStart);
  admission.Finish(FinishedCall(500ms), kStart + 500ms);
  BOOST_TEST(admission.Report(kStart + 500ms).slots == 8);
  admission.Warmup().SetCold(10s, kStart + 500ms);
  BOOST_TEST(admission.Report(kStart + 600ms).slots == 2);
  BOOST_TEST(admission.Report(kStart + 11s).slots == 8);
}

BOOST_AUTO_TEST_SUITE_END()

}
