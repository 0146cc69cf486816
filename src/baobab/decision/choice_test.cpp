#include "baobab/decision/choice.hpp"
#include "baobab/decision/target_load.hpp"

#include <boost/test/unit_test.hpp>
#include <map>
#include <vector>

namespace baobab {
namespace {

constexpr TimePoint kNow{ 1h };

static_assert(ChoicePolicy<RandomChoice>);
static_assert(ChoicePolicy<RoundRobinChoice>);
static_assert(ChoicePolicy<LeastKnownChoice>);
static_assert(ChoicePolicy<LoadAwareChoice>);

/// Returns how often each of the targets is chosen.
template<class P>
std::map<std::size_t, int>
ChoiceCounts(P aPolicy, const std::vector<TargetView>& aViews)
{
  SplitMix random(7);
  std::map<std::size_t, int> counts;
  const auto lookup = [&](std::size_t aIndex) { return aViews[aIndex]; };
  for (int i = 0; i < 2000; ++i) {
    if (const auto index = aPolicy.Choose(aViews.size(), lookup, random)) {
      ++counts[*index];
    }
  }
  return counts;
}

}

BOOST_AUTO_TEST_SUITE(choice)

BOOST_AUTO_TEST_CASE(no_policy_chooses_an_unusable_target)
{
  const std::vector<TargetView> views = { { 0, 1ms, false },
                                          { 5, 90ms, true },
                                          { 0, 1ms, false } };
  BOOST_TEST(ChoiceCounts(RandomChoice{}, views)[1] == 2000);
  BOOST_TEST(ChoiceCounts(LeastKnownChoice{}, views)[1] == 2000);
  BOOST_TEST(ChoiceCounts(LoadAwareChoice{}, views)[1] == 2000);
  const std::vector<TargetView> none = { { 0, 1ms, false } };
  BOOST_TEST(ChoiceCounts(LoadAwareChoice{}, none).empty());
  BOOST_TEST(ChoiceCounts(LoadAwareChoice{}, {}).empty());
}

BOOST_AUTO_TEST_CASE(load_aware_avoids_highly_utilised_targets_and_stragglers)
{
  const std::vector<TargetView> highUtilisation = {
    { 0.1, 5ms }, { 0.9, 1ms }, { 0.1, 5ms }, { 0.1, 5ms }
  };
  BOOST_TEST(ChoiceCounts(LoadAwareChoice{}, highUtilisation)[1] < 40);
  const std::vector<TargetView> straggler = {
    { 0.2, 5ms }, { 0.2, 5ms }, { 0.0, 60ms }, { 0.2, 5ms }
  };
  BOOST_TEST(ChoiceCounts(LoadAwareChoice{}, straggler)[2] < 40);
}

BOOST_AUTO_TEST_CASE(
  load_aware_takes_the_least_utilised_if_all_are_highly_utilised)
{
  const std::vector<TargetView> views = { { 1.5, 1ms }, { 0.8, 9ms } };
  BOOST_TEST(ChoiceCounts(LoadAwareChoice{}, views)[1] > 1900);
}

BOOST_AUTO_TEST_CASE(an_aging_report_loses_weight_to_the_prior)
{
  TargetLoad load(10);
  load.ApplyReport({ 8, 0, 10 }, kNow);
  const TargetPrior prior{ 0.2, 5ms };
  BOOST_TEST(load.Utilisation(prior, kNow) == 0.8,
             boost::test_tools::tolerance(0.01));
  BOOST_TEST(load.Utilisation(prior, kNow + 50ms) == 0.5,
             boost::test_tools::tolerance(0.01));
  BOOST_TEST(load.Utilisation(prior, kNow + 10s) == 0.2,
             boost::test_tools::tolerance(0.1));
}

BOOST_AUTO_TEST_CASE(own_calls_count_at_once_and_only_once)
{
  TargetLoad load(10);
  load.BeginAttempt();
  load.BeginAttempt();
  BOOST_TEST(load.Utilisation({}, kNow) == 0.2,
             boost::test_tools::tolerance(0.01));
  load.ApplyReport({ 5, 0, 10 }, kNow);
  BOOST_TEST(load.Utilisation({}, kNow) == 0.5,
             boost::test_tools::tolerance(0.01));
}

BOOST_AUTO_TEST_CASE(latency_is_kept_by_utilisation_and_loses_weight_with_age)
{
  TargetLoad load(10);
  load.RecordLatency(40ms, kNow);
  const TargetPrior prior{ 0, 4ms };
  BOOST_TEST((load.Latency(0, prior, kNow) == 40ms));
  BOOST_TEST((load.Latency(0, prior, kNow + 1s) == 22ms));
  BOOST_TEST((load.Latency(1, prior, kNow) == 4ms));
}

BOOST_AUTO_TEST_SUITE_END()

}
