#include "baobab/decision/tier_choice.hpp"

#include <array>
#include <boost/test/unit_test.hpp>

namespace baobab {

namespace {

constexpr TierTerms kTerms{ 300ms, 900ms, 1.5 };

Tier
Choose(Duration aZone, Duration aRegion, Duration aOther, TierTerms aTerms)
{
  const std::array<TierOffer, 3> offers{
    TierOffer{ Tier::SameZone, aZone },
    TierOffer{ Tier::SameRegion, aRegion, 10ms },
    TierOffer{ Tier::OtherRegion, aOther, 50ms }
  };
  return *ChooseTier(offers, aTerms);
}

}

BOOST_AUTO_TEST_SUITE(tier_choice)

BOOST_AUTO_TEST_CASE(a_call_stays_while_its_zone_meets_the_objective)
{
  BOOST_TEST((Choose(200ms, 50ms, 50ms, kTerms) == Tier::SameZone));
}

BOOST_AUTO_TEST_CASE(a_call_leaves_for_the_nearest_tier_that_meets_it)
{
  BOOST_TEST((Choose(400ms, 190ms, 100ms, kTerms) == Tier::SameRegion));
  BOOST_TEST((Choose(400ms, 400ms, 100ms, kTerms) == Tier::OtherRegion));
}

BOOST_AUTO_TEST_CASE(a_tight_fit_is_taken_when_there_is_no_safe_one)
{
  BOOST_TEST((Choose(290ms, 500ms, 500ms, kTerms) == Tier::SameZone));
  BOOST_TEST((Choose(400ms, 290ms, 500ms, kTerms) == Tier::SameRegion));
}

/// Guards against calls that stay where they are just in time, although a wrong
/// estimate makes them late, while another zone answers in half the time.
BOOST_AUTO_TEST_CASE(of_several_tight_fits_the_cheapest_is_taken)
{
  BOOST_TEST((Choose(290ms, 210ms, 500ms, kTerms) == Tier::SameRegion));
  BOOST_TEST((Choose(215ms, 210ms, 205ms, kTerms) == Tier::SameZone));
}

BOOST_AUTO_TEST_CASE(a_gain_below_the_price_of_the_bytes_is_left)
{
  BOOST_TEST((Choose(205ms, 198ms, 198ms, kTerms) == Tier::SameZone));
}

BOOST_AUTO_TEST_CASE(a_tier_without_room_is_left_out)
{
  const std::array<TierOffer, 2> offers{
    TierOffer{ Tier::SameZone, 400ms },
    TierOffer{ Tier::SameRegion, 100ms, 0ms, false }
  };
  BOOST_TEST((ChooseTier(offers, kTerms) == Tier::SameZone));
}

BOOST_AUTO_TEST_CASE(a_late_call_leaves_only_to_meet_its_deadline)
{
  const TierTerms late{ -100ms, 500ms, 1.5 };
  BOOST_TEST((Choose(450ms, 100ms, 100ms, late) == Tier::SameZone));
  BOOST_TEST((Choose(600ms, 450ms, 100ms, late) == Tier::SameRegion));
  BOOST_TEST((Choose(600ms, 700ms, 800ms, late) == Tier::SameZone));
}

BOOST_AUTO_TEST_CASE(without_targets_in_the_zone_the_next_tier_is_the_nearest)
{
  const std::array<TierOffer, 1> offers{ TierOffer{
    Tier::OtherRegion, 2000ms, 50ms, false } };
  BOOST_TEST((ChooseTier(offers, kTerms) == Tier::OtherRegion));
  BOOST_TEST((ChooseTier({}, kTerms) == std::nullopt));
}

BOOST_AUTO_TEST_CASE(the_price_counts_against_that_of_the_nearest_tier)
{
  const std::array<TierOffer, 2> offers{
    TierOffer{ Tier::SameRegion, 400ms, 100ms },
    TierOffer{ Tier::OtherRegion, 290ms, 180ms }
  };
  BOOST_TEST((ChooseTier(offers, kTerms) == Tier::OtherRegion));
}

BOOST_AUTO_TEST_CASE(a_tier_without_room_is_passed_for_a_farther_one)
{
  const std::array<TierOffer, 3> offers{
    TierOffer{ Tier::SameZone, 400ms },
    TierOffer{ Tier::SameRegion, 100ms, 0ms, false },
    TierOffer{ Tier::OtherRegion, 150ms }
  };
  BOOST_TEST((ChooseTier(offers, kTerms) == Tier::OtherRegion));
}

BOOST_AUTO_TEST_SUITE_END()

}
