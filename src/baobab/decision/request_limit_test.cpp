#include "baobab/core/random.hpp"
#include "baobab/decision/request_limit.hpp"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <vector>

namespace baobab {
namespace {

constexpr TimePoint kStart{ 1h };

/// Offers requests at a high rate and returns when they were let through.
/// @param aChange called before each offer
template<class Change>
std::vector<TimePoint>
Starts(RequestLimit& aLimit, Duration aTime, Change aChange)
{
  std::vector<TimePoint> starts;
  for (TimePoint now = kStart; now < kStart + aTime; now += 5ms) {
    aChange(now);
    if (aLimit.TryStart(now)) {
      starts.push_back(now);
    }
  }
  return starts;
}

/// Most requests in any window of four seconds.
std::size_t
MostInWindow(const std::vector<TimePoint>& aStarts)
{
  std::size_t most = 0;
  for (auto first = aStarts.begin(); first != aStarts.end(); ++first) {
    const auto last = std::lower_bound(first, aStarts.end(), *first + 4s);
    most = std::max(most, static_cast<std::size_t>(last - first));
  }
  return most;
}

double
Allowed(double aRate)
{
  return 1.5 * 4 * aRate + 5;
}

}

BOOST_AUTO_TEST_SUITE(request_limit)

BOOST_AUTO_TEST_CASE(a_target_gets_what_it_names_and_no_more)
{
  for (const double rate : { 0.0, 0.1, 0.7, 1.0, 4.6, 15.8, 90.0 }) {
    RequestLimit limit;
    limit.OnAnswer(rate, kStart);
    const auto starts = Starts(limit, 60s, [](TimePoint) {});
    BOOST_TEST(static_cast<double>(MostInWindow(starts)) <= Allowed(rate));
    BOOST_TEST(static_cast<double>(starts.size()) >= 0.9 * rate * 60 - 1);
    BOOST_TEST(!starts.empty());
  }
}

BOOST_AUTO_TEST_CASE(unused_requests_do_not_add_up)
{
  RequestLimit limit;
  limit.OnAnswer(4.6, kStart - 600s);
  const auto starts = Starts(limit, 20s, [](TimePoint) {});
  BOOST_TEST(static_cast<double>(MostInWindow(starts)) <= Allowed(4.6));
}

BOOST_AUTO_TEST_CASE(a_limit_named_in_every_answer_is_not_filled_up_by_them)
{
  RequestLimit limit;
  SplitMix random(1);
  const auto starts = Starts(limit, 60s, [&](TimePoint aNow) {
    limit.OnAnswer(4 + UniformFraction(random), aNow);
  });
  BOOST_TEST(static_cast<double>(MostInWindow(starts)) <= Allowed(4));
}

BOOST_AUTO_TEST_CASE(a_limit_ends_with_the_first_answer_that_names_none)
{
  RequestLimit limit;
  limit.OnAnswer(1, kStart);
  limit.OnAnswer(std::nullopt, kStart);
  BOOST_TEST(!limit.Rate());
  BOOST_TEST(Starts(limit, 1s, [](TimePoint) {}).size() == 200U);
}

BOOST_AUTO_TEST_CASE(
  a_new_daemon_takes_the_limit_from_others_until_the_first_answer)
{
  RequestLimit limit;
  limit.OnReport(2, kStart);
  BOOST_TEST(Starts(limit, 10s, [](TimePoint) {}).size() <= 21U);
  limit.OnAnswer(std::nullopt, kStart);
  limit.OnReport(2, kStart);
  BOOST_TEST(!limit.Rate());
  limit.Reset();
  limit.OnReport(2, kStart);
  BOOST_TEST(limit.Rate().has_value());
}

BOOST_AUTO_TEST_CASE(refused_senders_pause_until_their_turn)
{
  BOOST_TEST((LimitPause(4, 8) == 2s));
  BOOST_TEST((LimitPause(1000, 1) == 100ms));
  BOOST_TEST((LimitPause(0, 100) == 5s));
}

BOOST_AUTO_TEST_SUITE_END()

}
