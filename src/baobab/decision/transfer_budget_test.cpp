#include "baobab/decision/transfer_budget.hpp"

#include <boost/test/unit_test.hpp>

namespace baobab {
namespace {

constexpr TimePoint kNow{ 1h };

}

BOOST_AUTO_TEST_SUITE(transfer_budget)

BOOST_AUTO_TEST_CASE(saved_bytes_may_be_spent_at_once_within_the_mean_rate)
{
  TransferBudget budget(1000, 60s, kNow);
  BOOST_TEST(budget.Charge(40000, kNow));
  BOOST_TEST(budget.Charge(40000, kNow));
  BOOST_TEST(!budget.Charge(1, kNow + 19s));
  BOOST_TEST(budget.Charge(1, kNow + 21s));
}

BOOST_AUTO_TEST_CASE(saved_bytes_are_limited)
{
  TransferBudget budget(1000, 10s, kNow);
  BOOST_TEST(budget.Charge(10001, kNow + 1h));
  BOOST_TEST(!budget.Charge(1, kNow + 1h));
}

BOOST_AUTO_TEST_SUITE_END()

}
