#include "baobab/decision/pipeline_order.hpp"

#include <boost/test/unit_test.hpp>

namespace baobab {
namespace {

using Turn = PipelineOrder::Turn;
using Ticket = PipelineOrder::Ticket;

constexpr PipelineOrder::Entry kOverlapping{ true };
constexpr PipelineOrder::Entry kAlone{ false };
constexpr PipelineOrder::Entry kClosing{ true, true };

Ticket
Read(PipelineOrder& aOrder, PipelineOrder::Entry aEntry)
{
  BOOST_TEST(aOrder.MayRead());
  aOrder.StartRead();
  BOOST_TEST(!aOrder.MayRead());
  return aOrder.Admit(aEntry);
}

}

BOOST_AUTO_TEST_SUITE(pipeline_order)

BOOST_AUTO_TEST_CASE(requests_overlap_and_responses_keep_their_order)
{
  PipelineOrder order;
  const Ticket first = Read(order, kOverlapping);
  const Ticket second = Read(order, kOverlapping);
  BOOST_TEST((order.StartTurn(first) == Turn::Go));
  BOOST_TEST((order.StartTurn(second) == Turn::Go));
  BOOST_TEST((order.WriteTurn(second) == Turn::Wait));
  BOOST_TEST((order.WriteTurn(first) == Turn::Go));
  BOOST_TEST(!order.EndsAfter(first, false));
  order.Remove(first);
  BOOST_TEST((order.WriteTurn(second) == Turn::Go));
  order.Remove(second);
  BOOST_TEST(order.Empty());
  BOOST_TEST(order.MayRead());
}

BOOST_AUTO_TEST_CASE(a_request_that_may_not_be_repeated_runs_alone)
{
  PipelineOrder order;
  const Ticket first = Read(order, kOverlapping);
  const Ticket alone = Read(order, kAlone);
  BOOST_TEST((order.StartTurn(alone) == Turn::Wait));
  BOOST_TEST(!order.MayRead());
  order.Remove(first);
  BOOST_TEST((order.StartTurn(alone) == Turn::Go));
  BOOST_TEST(!order.MayRead());
  order.Remove(alone);
  BOOST_TEST(order.MayRead());
}

BOOST_AUTO_TEST_CASE(nothing_is_read_behind_a_closing_request)
{
  PipelineOrder order;
  const Ticket first = Read(order, kOverlapping);
  const Ticket closing = Read(order, kClosing);
  BOOST_TEST((order.StartTurn(closing) == Turn::Go));
  BOOST_TEST(!order.MayRead());
  BOOST_TEST(!order.EndsAfter(first, false));
  order.Remove(first);
  BOOST_TEST(order.EndsAfter(closing, false));
  order.Remove(closing);
  BOOST_TEST(!order.MayRead());
}

BOOST_AUTO_TEST_CASE(reading_stops_at_the_bound)
{
  PipelineOrder order;
  for (std::size_t i = 0; i < PipelineOrder::kMaxRequests; ++i) {
    Read(order, kOverlapping);
  }
  BOOST_TEST(!order.MayRead());
  order.Remove(0);
  BOOST_TEST(order.MayRead());
}

BOOST_AUTO_TEST_CASE(reading_stops_while_much_is_held)
{
  PipelineOrder order;
  Read(order, { true, false, PipelineOrder::kMaxHeldBytes - 1 });
  const Ticket second = Read(order, kOverlapping);
  order.SetHeldBytes(second, 1);
  BOOST_TEST(!order.MayRead());
  order.SetHeldBytes(0, 0);
  BOOST_TEST(order.MayRead());
}

BOOST_AUTO_TEST_CASE(a_large_request_alone_does_not_stop_reading_for_good)
{
  PipelineOrder order;
  order.Remove(Read(order, { true, false, PipelineOrder::kMaxHeldBytes * 2 }));
  BOOST_TEST(order.MayRead());
}

BOOST_AUTO_TEST_CASE(the_last_response_of_a_stopping_server_ends_the_connection)
{
  PipelineOrder order;
  const Ticket first = Read(order, kOverlapping);
  const Ticket second = Read(order, kOverlapping);
  BOOST_TEST(!order.EndsAfter(first, true));
  order.Remove(first);
  BOOST_TEST(order.EndsAfter(second, true));
  // Nothing is read while that response is written.
  BOOST_TEST(!order.MayRead());
}

/// The request that is being read gets a response of its own.
BOOST_AUTO_TEST_CASE(a_stopping_server_answers_the_request_that_it_reads)
{
  PipelineOrder order;
  const Ticket first = Read(order, kOverlapping);
  order.StartRead();
  BOOST_TEST(!order.EndsAfter(first, true));
  const Ticket refusal = order.Admit({ false, true });
  BOOST_TEST((order.StartTurn(refusal) == Turn::Wait));
  order.Remove(first);
  BOOST_TEST((order.StartTurn(refusal) == Turn::Go));
  BOOST_TEST(order.EndsAfter(refusal, true));
}

BOOST_AUTO_TEST_CASE(a_caller_that_leaves_withdraws_what_has_not_started)
{
  PipelineOrder order;
  const Ticket first = Read(order, kOverlapping);
  const Ticket alone = Read(order, kAlone);
  order.Withdraw();
  BOOST_TEST((order.StartTurn(alone) == Turn::Drop));
  order.Remove(alone);
  BOOST_TEST((order.WriteTurn(first) == Turn::Go));
  order.Remove(first);
  BOOST_TEST(!order.MayRead());
}

BOOST_AUTO_TEST_CASE(a_failed_write_drops_the_responses_behind_it)
{
  PipelineOrder order;
  const Ticket first = Read(order, kOverlapping);
  const Ticket second = Read(order, kOverlapping);
  const Ticket third = Read(order, kOverlapping);
  order.Break();
  order.Remove(first);
  BOOST_TEST((order.WriteTurn(third) == Turn::Drop));
  order.Remove(third);
  BOOST_TEST((order.WriteTurn(second) == Turn::Drop));
  order.Remove(second);
  BOOST_TEST(order.Empty());
}

BOOST_AUTO_TEST_CASE(the_last_response_before_the_end_of_input_closes)
{
  PipelineOrder order;
  const Ticket first = Read(order, kOverlapping);
  order.StartRead();
  order.EndRead();
  BOOST_TEST(order.EndsAfter(first, false));
}

BOOST_AUTO_TEST_SUITE_END()

}
