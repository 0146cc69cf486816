#include "baobab/decision/outflow_window.hpp"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <numeric>
#include <vector>

namespace baobab {

namespace {

constexpr TimePoint kStart{ 1000s };
constexpr Duration kStep = 10ms;
constexpr Duration kServiceTime = 100ms;

/// Daemons of a short zone that all send as much as their windows allow to one
/// remote zone, which runs a fixed number of calls and hands the others back
/// after a round trip.
class RemoteZone
{
public:
  RemoteZone(std::size_t aDaemons, std::size_t aSlots)
    : windows(aDaemons)
    , slots(aSlots)
  {
  }

  void SetSlots(std::size_t aSlots) { this->slots = aSlots; }

  /// Plays some time, in which each daemon has as many calls that should leave
  /// as it may send, or none.
  void Play(Duration aTime, bool aShort)
  {
    for (const TimePoint end = this->now + aTime; this->now < end;
         this->now += kStep) {
      this->EndCalls();
      for (OutflowWindow& window : this->windows) {
        while (aShort && window.HasRoom(this->now)) {
          window.Begin();
          this->Arrive(window);
        }
      }
    }
  }

  std::size_t Running() const
  {
    return static_cast<std::size_t>(std::ranges::count_if(
      this->calls, [](const Call& aCall) { return aCall.runs; }));
  }

  std::size_t handedBack = 0;
  std::size_t run = 0;

private:
  struct Call
  {
    OutflowWindow* window;
    TimePoint endsAt;
    bool runs;
  };

  void Arrive(OutflowWindow& aWindow)
  {
    const bool runs = this->Running() < this->slots;
    this->calls.push_back(
      { &aWindow, this->now + (runs ? kServiceTime : kStep), runs });
    ++(runs ? this->run : this->handedBack);
  }

  void EndCalls()
  {
    std::erase_if(this->calls, [&](const Call& aCall) {
      const bool ended = aCall.endsAt <= this->now;
      if (ended) {
        aCall.window->End(aCall.runs ? OutflowResult::InTime
                                     : OutflowResult::NoRoom,
                          this->now);
      }
      return ended;
    });
  }

  std::deque<OutflowWindow> windows;
  std::vector<Call> calls;
  std::size_t slots;
  TimePoint now = kStart;
};

}

BOOST_AUTO_TEST_SUITE(outflow_window)

/// Load pattern: one zone is short, another has room that many daemons see.
BOOST_AUTO_TEST_CASE(room_elsewhere_is_used_with_few_calls_handed_back)
{
  RemoteZone zone(15, 60);
  zone.Play(2s, true);
  zone.run = zone.handedBack = 0;
  zone.Play(10s, true);
  const double capacity = 60 * (10s / kServiceTime);
  BOOST_TEST(static_cast<double>(zone.run) > 0.8 * capacity);
  BOOST_TEST(static_cast<double>(zone.handedBack) <
             0.5 * static_cast<double>(zone.run));
}

/// Load pattern: all zones are short, so nothing is gained by leaving.
BOOST_AUTO_TEST_CASE(without_room_elsewhere_only_a_probe_a_daemon_leaves)
{
  RemoteZone zone(15, 0);
  zone.Play(2s, true);
  zone.handedBack = 0;
  zone.Play(1s, true);
  BOOST_TEST(zone.handedBack <= 15U * 3);
}

/// Load pattern: the other zone loses most of its room, and gets it back.
BOOST_AUTO_TEST_CASE(the_flow_follows_the_room_down_and_up)
{
  RemoteZone zone(15, 120);
  zone.Play(5s, true);
  zone.SetSlots(15);
  zone.Play(1s, true);
  zone.run = zone.handedBack = 0;
  zone.Play(2s, true);
  BOOST_TEST(zone.run > 0.8 * 15 * (2s / kServiceTime));
  zone.SetSlots(120);
  zone.Play(5s, true);
  BOOST_TEST(zone.Running() > 90U);
}

/// Load pattern: the zone has room again, so that nothing leaves.
BOOST_AUTO_TEST_CASE(a_window_that_is_not_used_keeps_its_limit)
{
  RemoteZone zone(3, 30);
  zone.Play(3s, true);
  zone.Play(1s, false);
  BOOST_TEST(zone.Running() == 0U);
  zone.Play(1s, true);
  BOOST_TEST(zone.Running() > 20U);
}

BOOST_AUTO_TEST_CASE(calls_that_fail_together_reduce_the_limit_once)
{
  OutflowWindow window;
  for (int i = 0; i < 4; ++i) {
    window.Begin();
  }
  BOOST_TEST(!window.HasRoom(kStart));
  for (int i = 0; i < 4; ++i) {
    window.End(OutflowResult::NoRoom, kStart);
  }
  BOOST_TEST(window.Limit() > OutflowWindow::kInitialLimit / 2);
  BOOST_TEST(window.Limit() < OutflowWindow::kInitialLimit);
  BOOST_TEST(!window.HasRoom(kStart));
  BOOST_TEST(window.HasRoom(kStart + OutflowWindow::kMinPause));
  BOOST_TEST(window.InFlight() == 0);
}

BOOST_AUTO_TEST_CASE(calls_that_do_not_fill_the_window_do_not_widen_it)
{
  OutflowWindow window;
  for (int i = 0; i < 10000; ++i) {
    window.Begin();
    window.End(OutflowResult::InTime, kStart);
  }
  BOOST_TEST(window.Limit() == OutflowWindow::kInitialLimit);
}

BOOST_AUTO_TEST_CASE(a_cancelled_call_neither_widens_nor_narrows)
{
  OutflowWindow window;
  window.Begin();
  window.End(OutflowResult::Unrelated, kStart);
  BOOST_TEST(window.Limit() == OutflowWindow::kInitialLimit);
  BOOST_TEST(window.InFlight() == 0);
  BOOST_TEST(window.HasRoom(kStart));
}

BOOST_AUTO_TEST_CASE(a_call_in_time_ends_the_long_pauses)
{
  OutflowWindow window;
  TimePoint now = kStart;
  const auto fail = [&] {
    window.Begin();
    window.End(OutflowResult::NoRoom, now);
  };
  for (int i = 0; i < 20; ++i, now += OutflowWindow::kMaxPause) {
    fail();
  }
  BOOST_TEST(!window.HasRoom(now - 1ms));
  window.Begin();
  window.End(OutflowResult::InTime, now);
  fail();
  BOOST_TEST(window.HasRoom(now + OutflowWindow::kMinPause));
}

BOOST_AUTO_TEST_SUITE_END()

}
