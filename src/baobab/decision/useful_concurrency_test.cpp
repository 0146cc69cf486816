#include "baobab/decision/useful_concurrency.hpp"

#include "baobab/core/random.hpp"
#include "baobab/core/time.hpp"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <functional>
#include <queue>

namespace baobab {
namespace {

constexpr TimePoint kStart{ 1h };
constexpr Duration kWork = 60ms;

/// Service time at a concurrency, relative to that of a single call.
using Shape = std::function<double(std::uint16_t aConcurrency)>;

/// A target whose slots are always filled up to a limit, as under a lasting
/// overload.
class FullTarget
{
public:
  FullTarget(std::uint16_t aSlots, Shape aShape)
    : slots(aSlots)
    , shape(std::move(aShape))
  {
    this->concurrency.SetSlots(aSlots);
  }

  /// Runs the target at the learned limit. Returns the calls that ended.
  std::size_t Run(Duration aTime)
  {
    return this->Run(aTime, [this] { return this->concurrency.Limit(); });
  }

  /// Runs the target with all slots busy. Returns the calls that ended.
  std::size_t RunWithAllSlots(Duration aTime)
  {
    return this->Run(aTime, [this] { return this->slots; });
  }

  UsefulConcurrency concurrency;

private:
  struct RunningCall
  {
    TimePoint end;
    TimePoint start;
    std::uint16_t concurrency;
    bool operator>(const RunningCall& aOther) const
    {
      return this->end > aOther.end;
    }
  };

  template<class Limit>
  std::size_t Run(Duration aTime, Limit aLimit)
  {
    const TimePoint until = this->now + aTime;
    std::size_t ended = 0;
    while (this->now < until) {
      while (this->running.size() < aLimit()) {
        const auto count = static_cast<std::uint16_t>(this->running.size() + 1);
        const double spread = 0.6 + 0.8 * UniformFraction(this->random);
        this->running.push({ this->now + std::chrono::duration_cast<Duration>(
                                           kWork * spread * this->shape(count)),
                             this->now,
                             count });
      }
      const RunningCall next = this->running.top();
      this->running.pop();
      this->now = next.end;
      this->concurrency.Record(
        next.concurrency,
        std::chrono::duration<double>(next.end - next.start) / kWork);
      ++ended;
    }
    return ended;
  }

  std::uint16_t slots;
  Shape shape;
  TimePoint now = kStart;
  SplitMix random{ 7 };
  std::priority_queue<RunningCall, std::vector<RunningCall>, std::greater<>>
    running;
};

double
NoSlowdown(std::uint16_t)
{
  return 1;
}

/// Service times are 1.7 times longer when over four fifths of the slots are
/// busy.
Shape
Knee(std::uint16_t aSlots)
{
  return [aSlots](std::uint16_t aConcurrency) {
    return aConcurrency > 0.8 * aSlots ? 1.7 : 1;
  };
}

}

BOOST_AUTO_TEST_SUITE(useful_concurrency)

BOOST_AUTO_TEST_CASE(all_slots_are_used_before_anything_is_known)
{
  UsefulConcurrency concurrency;
  concurrency.SetSlots(9);
  BOOST_TEST(concurrency.Limit() == 9);
  BOOST_TEST(concurrency.Crowding(9) == 1);
}

/// Under overload a target with a knee must finish nearly what it can finish
/// just below its knee. With all slots busy it finishes less than that.
BOOST_AUTO_TEST_CASE(an_overloaded_target_with_a_knee_keeps_its_throughput)
{
  for (const std::uint16_t slots : { 6, 9, 18, 64 }) {
    FullTarget limited(slots, Knee(slots));
    FullTarget full(slots, Knee(slots));
    limited.Run(3s);
    const double calls = static_cast<double>(limited.Run(20s));
    const double perfect = 20s / kWork * std::floor(0.8 * slots);
    BOOST_TEST(calls > 0.9 * perfect, slots << " slots: " << calls);
    BOOST_TEST(full.RunWithAllSlots(20s) < 0.9 * perfect);
  }
}

BOOST_AUTO_TEST_CASE(an_overloaded_target_without_slowdown_uses_all_slots)
{
  for (const std::uint16_t slots : { 1, 2, 6, 9, 18, 64 }) {
    FullTarget target(slots, NoSlowdown);
    target.Run(3s);
    const double calls = static_cast<double>(target.Run(20s));
    BOOST_TEST(calls > 0.95 * (20s / kWork) * slots,
               slots << " slots: " << calls);
  }
}

/// A target that becomes gradually slower still gains from each further call as
/// long as its service time grows less than the number of calls.
BOOST_AUTO_TEST_CASE(a_gradual_slowdown_does_not_lower_the_throughput)
{
  const Shape slope = [](std::uint16_t aConcurrency) {
    return 1 + 0.03 * aConcurrency;
  };
  FullTarget limited(16, slope);
  FullTarget full(16, slope);
  limited.Run(3s);
  full.RunWithAllSlots(3s);
  const double calls = static_cast<double>(limited.Run(20s));
  BOOST_TEST(calls > 0.95 * static_cast<double>(full.RunWithAllSlots(20s)));
}

/// When calls of all kinds become slower together, because the calls that they
/// make wait, this says nothing about the target.
BOOST_AUTO_TEST_CASE(a_slowdown_that_comes_with_load_lifts_the_limit_again)
{
  bool burst = false;
  FullTarget target(9, [&](std::uint16_t) { return burst ? 2.0 : 1.0; });
  target.Run(3s);
  burst = true;
  target.Run(1s);
  const double calls = static_cast<double>(target.Run(5s));
  BOOST_TEST(calls > 0.9 * (5s / kWork) * 9 / 2);
}

/// The estimates of the service time follow what is measured, and the calls
/// that a call makes take longer while the service that they use is loaded.
/// Neither may hide the knee.
BOOST_AUTO_TEST_CASE(a_knee_is_found_while_estimates_and_load_drift)
{
  int calls = 0;
  FullTarget target(9, [&](std::uint16_t aConcurrency) {
    const double drift = 1 + 0.5 * std::sin(++calls / 200.0);
    return drift * Knee(9)(aConcurrency);
  });
  target.Run(5s);
  int atKnee = 0;
  for (int i = 0; i < 100; ++i) {
    target.Run(200ms);
    atKnee += target.concurrency.Limit() <= 7 ? 1 : 0;
  }
  BOOST_TEST(atKnee > 90);
}

BOOST_AUTO_TEST_CASE(the_service_time_of_a_full_target_is_known_as_crowded)
{
  FullTarget target(9, Knee(9));
  target.Run(5s);
  BOOST_TEST(target.concurrency.Limit() == 7);
  BOOST_TEST(target.concurrency.Crowding(9) > 1.4);
  BOOST_TEST(target.concurrency.Crowding(5) < 1.1);
}

BOOST_AUTO_TEST_CASE(another_number_of_slots_and_another_instance_start_anew)
{
  FullTarget target(9, Knee(9));
  target.Run(5s);
  target.concurrency.SetSlots(12);
  BOOST_TEST(target.concurrency.Limit() == 12);
  target.concurrency.SetSlots(9);
  BOOST_TEST(target.concurrency.Limit() == 9);
  target.Run(5s);
  target.concurrency.Reset();
  BOOST_TEST(target.concurrency.Limit() == 9);
}

BOOST_AUTO_TEST_SUITE_END()

}
