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
  call.elsewhere = 225ms;
  return call;
}

}

BOOST_AUTO_TEST_SUITE(second_send)

BOOST_AUTO_TEST_CASE(pays_where_the_objective_is_kept_elsewhere_only)
{
  SlowedCall call = Slowed();
  call.objective = 500ms;
  BOOST_TEST((ExpectedStay(call) > 500ms));
  BOOST_TEST(SecondSendPays(call));
}

BOOST_AUTO_TEST_CASE(does_not_pay_for_a_call_that_is_nearly_done)
{
  SlowedCall call = Slowed();
  call.elapsed = 210ms;
  BOOST_TEST((ExpectedStay(call) < 350ms));
  BOOST_TEST(!SecondSendPays(call));
}

BOOST_AUTO_TEST_CASE(does_not_pay_where_both_are_late)
{
  SlowedCall call = Slowed();
  call.objective = 100ms;
  BOOST_TEST(!SecondSendPays(call));
}

BOOST_AUTO_TEST_CASE(pays_where_only_the_second_keeps_the_deadline)
{
  SlowedCall call = Slowed();
  call.objective = -100ms;
  call.deadline = 300ms;
  BOOST_TEST(SecondSendPays(call));
  call.elsewhere = 400ms;
  BOOST_TEST(!SecondSendPays(call));
}

BOOST_AUTO_TEST_CASE(a_slow_spell_passes)
{
  SlowedCall call = Slowed();
  call.work = 2s;
  call.elapsed = 0ms;
  BOOST_TEST((ExpectedStay(call) < 2s + 400ms));
}

BOOST_AUTO_TEST_SUITE_END()

}
