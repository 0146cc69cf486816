#include "baobab/decision/process_memory.hpp"

#include <algorithm>

namespace baobab {
namespace {

constexpr std::int64_t kMebibyte = 1 << 20;

/// Part of shared memory that the process takes.
constexpr std::int64_t kSharedPart = 2;

/// Enough to serve one body of the largest size that service files allow.
constexpr std::int64_t kLargestBodyServed = 160'000'000;

/// Address space that the allocator reserves for each thread.
constexpr std::int64_t kArenaBytes = 64 * kMebibyte;

/// Part of a resource limit that is left for messages at least.
constexpr std::int64_t kSmallestPart = 8;

std::int64_t
PartOfShared(std::int64_t aBytes)
{
  return std::max(aBytes / kSharedPart, std::min(aBytes, kLargestBodyServed));
}

std::int64_t
WithoutReserved(std::int64_t aLimit, std::int64_t aReserved)
{
  return std::max(aLimit - aReserved, aLimit / kSmallestPart);
}

}

std::string_view
Name(MemorySource aSource)
{
  switch (aSource) {
    case MemorySource::Unknown:
      return "unknown";
    case MemorySource::Setting:
      return "setting";
    case MemorySource::ControlGroup:
      return "control_group";
    case MemorySource::SharedControlGroup:
      return "shared_control_group";
    case MemorySource::DataLimit:
      return "data_limit";
    case MemorySource::AddressSpaceLimit:
      return "address_space_limit";
    case MemorySource::Host:
      return "host";
  }
  return "";
}

ProcessMemoryLimit
MemoryLimitOf(const MemoryFacts& aFacts, std::int64_t aThreads)
{
  ProcessMemoryLimit limit;
  const auto consider = [&](std::int64_t aBytes, MemorySource aSource) {
    if (limit.source == MemorySource::Unknown || aBytes < limit.bytes) {
      limit = { aBytes, aSource };
    }
  };
  const std::int64_t stacks = aThreads * aFacts.stackBytes;
  if (aFacts.host) {
    consider(PartOfShared(*aFacts.host), MemorySource::Host);
  }
  if (aFacts.sharedControlGroup) {
    consider(PartOfShared(*aFacts.sharedControlGroup),
             MemorySource::SharedControlGroup);
  }
  if (aFacts.controlGroup) {
    consider(*aFacts.controlGroup, MemorySource::ControlGroup);
  }
  if (aFacts.data) {
    consider(WithoutReserved(*aFacts.data, stacks), MemorySource::DataLimit);
  }
  if (aFacts.addressSpace) {
    // The allocator maps twice an arena for a moment, to align it.
    const std::int64_t reserved =
      aFacts.addressSpaceInUse + stacks + (aThreads + 1) * kArenaBytes;
    consider(WithoutReserved(*aFacts.addressSpace, reserved),
             MemorySource::AddressSpaceLimit);
  }
  return limit;
}

}
