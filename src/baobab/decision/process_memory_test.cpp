#include "baobab/decision/process_memory.hpp"

#include <boost/test/unit_test.hpp>

namespace baobab {
namespace {

constexpr std::int64_t kMebibyte = 1 << 20;

}

BOOST_AUTO_TEST_SUITE(process_memory)

BOOST_AUTO_TEST_CASE(without_facts_the_limit_is_unknown)
{
  BOOST_TEST((MemoryLimitOf({}, 3) == ProcessMemoryLimit{}));
}

BOOST_AUTO_TEST_CASE(the_smallest_limit_counts)
{
  MemoryFacts facts;
  facts.host = 4096 * kMebibyte;
  facts.controlGroup = 512 * kMebibyte;
  BOOST_TEST(
    (MemoryLimitOf(facts, 3) ==
     ProcessMemoryLimit{ 512 * kMebibyte, MemorySource::ControlGroup }));
  facts.data = 256 * kMebibyte;
  BOOST_TEST((MemoryLimitOf(facts, 3) ==
              ProcessMemoryLimit{ 256 * kMebibyte, MemorySource::DataLimit }));
}

BOOST_AUTO_TEST_CASE(the_target_keeps_half_of_the_host)
{
  MemoryFacts facts;
  facts.host = 4096 * kMebibyte;
  facts.controlGroup = 3072 * kMebibyte;
  BOOST_TEST((MemoryLimitOf(facts, 3) ==
              ProcessMemoryLimit{ 2048 * kMebibyte, MemorySource::Host }));
  facts.sharedControlGroup = 1024 * kMebibyte;
  BOOST_TEST(
    (MemoryLimitOf(facts, 3) ==
     ProcessMemoryLimit{ 512 * kMebibyte, MemorySource::SharedControlGroup }));
}

BOOST_AUTO_TEST_CASE(a_small_host_serves_the_largest_body)
{
  MemoryFacts facts;
  facts.host = 260'000'000;
  BOOST_TEST(MemoryLimitOf(facts, 3).bytes == 160'000'000);
  facts.host = 100'000'000;
  BOOST_TEST(MemoryLimitOf(facts, 3).bytes == 100'000'000);
}

BOOST_AUTO_TEST_CASE(threads_reserve_a_part_of_resource_limits)
{
  MemoryFacts facts;
  facts.stackBytes = 8 * kMebibyte;
  facts.data = 160 * kMebibyte;
  BOOST_TEST(MemoryLimitOf(facts, 2).bytes == 144 * kMebibyte);
  facts.addressSpace = 320 * kMebibyte;
  facts.addressSpaceInUse = 20 * kMebibyte;
  BOOST_TEST((MemoryLimitOf(facts, 2) ==
              ProcessMemoryLimit{ (320 - 20 - 16 - 192) * kMebibyte,
                                  MemorySource::AddressSpaceLimit }));
  BOOST_TEST(MemoryLimitOf(facts, 40).bytes == 20 * kMebibyte);
}

BOOST_AUTO_TEST_SUITE_END()

}
