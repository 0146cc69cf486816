#include "baobab/decision/closing_order.hpp"

#include <boost/test/unit_test.hpp>

namespace baobab {
namespace {

using Use = ConnectionUse;

struct Fixture
{
  int a = 0;
  int b = 0;
  int c = 0;
  ClosingOrder<int> order;
  ClosingOrder<int>::Place placeA = order.Add(&a);
  ClosingOrder<int>::Place placeB = order.Add(&b);
  ClosingOrder<int>::Place placeC = order.Add(&c);

  int* First() const
  {
    return this->order.First([](const int&) { return true; });
  }
};

BOOST_FIXTURE_TEST_SUITE(closing_order_test, Fixture)

BOOST_AUTO_TEST_CASE(a_connection_with_a_request_is_not_closed)
{
  BOOST_TEST(this->First() == nullptr);
  this->order.Move(this->placeA, Use::Request, Use::Idle);
  this->order.Move(this->placeA, Use::Idle, Use::Request);
  BOOST_TEST(this->First() == nullptr);
}

BOOST_AUTO_TEST_CASE(the_longest_idle_one_is_closed_first)
{
  this->order.Move(this->placeC, Use::Request, Use::Idle);
  this->order.Move(this->placeA, Use::Request, Use::Idle);
  BOOST_TEST(this->First() == &this->c);
  // Another request on it makes it the last one.
  this->order.Move(this->placeC, Use::Idle, Use::Request);
  this->order.Move(this->placeC, Use::Request, Use::Idle);
  BOOST_TEST(this->First() == &this->a);
}

BOOST_AUTO_TEST_CASE(a_slow_head_is_closed_after_the_idle_ones)
{
  this->order.Move(this->placeB, Use::Request, Use::Head);
  this->order.Move(this->placeC, Use::Request, Use::Head);
  this->order.Move(this->placeA, Use::Request, Use::Idle);
  BOOST_TEST(this->First() == &this->a);
  this->order.Remove(this->placeA, Use::Idle);
  BOOST_TEST(this->First() == &this->b);
}

BOOST_AUTO_TEST_CASE(one_that_may_not_be_closed_is_passed_over)
{
  this->order.Move(this->placeA, Use::Request, Use::Idle);
  this->order.Move(this->placeB, Use::Request, Use::Idle);
  BOOST_TEST(this->order.First(
               [&](const int& aOne) { return &aOne != &this->a; }) == &this->b);
  BOOST_TEST(this->order.First([](const int&) { return false; }) == nullptr);
}

BOOST_AUTO_TEST_SUITE_END()

}
}
