#include "baobab/decision/memory_bounds.hpp"

#include <boost/test/unit_test.hpp>

namespace baobab {

BOOST_AUTO_TEST_SUITE(memory_bounds)

BOOST_AUTO_TEST_CASE(without_a_limit_nothing_is_refused)
{
  MemoryLedger ledger;
  ledger.SetBounds(MemoryBoundsOf(0));
  BOOST_TEST(ledger.TryTake(MemoryPart::Requests, std::size_t{ 1 } << 40U));
}

/// The largest body that service files allow, as a request and as a call to the
/// target of the same host, in a process of 160 MB.
BOOST_AUTO_TEST_CASE(one_body_of_the_largest_size_fits)
{
  constexpr std::size_t kLargestBody = 64U << 20U;
  MemoryLedger ledger;
  constexpr std::size_t kHead = 4096;
  ledger.SetBounds(MemoryBoundsOf(160000000));
  BOOST_TEST(ledger.TryTake(MemoryPart::Requests, kLargestBody));
  BOOST_TEST(ledger.TryTake(MemoryPart::Calls, kLargestBody + kHead));
}

BOOST_AUTO_TEST_CASE(the_bounds_with_the_reserve_leave_room_in_the_process)
{
  for (const std::int64_t megabytes : { 16, 40, 96, 160, 260, 4096 }) {
    const MemoryBounds bounds = MemoryBoundsOf(megabytes << 20U);
    BOOST_TEST(bounds.total > 0);
    BOOST_TEST(bounds.total + bounds.reserve < (megabytes << 20U));
  }
}

BOOST_AUTO_TEST_CASE(large_messages_leave_the_reserve_to_small_ones)
{
  MemoryLedger ledger;
  ledger.SetBounds(MemoryBoundsOf(96 << 20));
  while (ledger.TryTake(MemoryPart::Requests, 1U << 20U)) {
  }
  while (ledger.TryTake(MemoryPart::Calls, 1U << 20U)) {
  }
  BOOST_TEST(!ledger.TryTake(MemoryPart::Answers, 4U << 20U));
  BOOST_TEST(ledger.TryTake(MemoryPart::Requests, 1U << 16U, true));
  BOOST_TEST(ledger.TryTake(MemoryPart::Calls, 1U << 16U, true));
}

BOOST_AUTO_TEST_CASE(held_bytes_are_returned_once)
{
  MemoryLedger ledger;
  {
    HeldMemory held(MemoryPart::Answers, ledger);
    BOOST_TEST(held.TryHold(1000));
    const HeldMemory copy = held;
    BOOST_TEST(ledger.Held(MemoryPart::Answers) == 2000);
    HeldMemory moved = std::move(held);
    BOOST_TEST(ledger.Held(MemoryPart::Answers) == 2000);
    BOOST_TEST(moved.TryHold(400));
    BOOST_TEST(ledger.Total() == 1400);
    moved = HeldMemory();
    BOOST_TEST(ledger.Total() == 1000);
  }
  BOOST_TEST(ledger.Total() == 0);
  BOOST_TEST(ledger.Held(MemoryPart::Answers) == 0);
}

BOOST_AUTO_TEST_CASE(a_refused_hold_changes_nothing)
{
  MemoryLedger ledger;
  ledger.SetBounds(MemoryBoundsOf(96 << 20));
  HeldMemory held(MemoryPart::Requests, ledger);
  BOOST_TEST(held.TryHold(1000));
  BOOST_TEST(!held.TryHold(96U << 20U));
  BOOST_TEST(held.Bytes() == 1000);
  BOOST_TEST(ledger.Total() == 1000);
}

BOOST_AUTO_TEST_SUITE_END()

}
