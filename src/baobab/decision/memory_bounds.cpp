#include "baobab/decision/memory_bounds.hpp"

#include <algorithm>

namespace baobab {
namespace {

constexpr std::int64_t kMegabyte = 1 << 20;

/// Memory for code, routes, fibers and what the allocator keeps.
constexpr std::int64_t kUncounted = 20 * kMegabyte;

/// Share of the process's memory that the ledger has at least.
constexpr std::int64_t kSmallestShare = 4;

constexpr std::int64_t kReserve = 4 * kMegabyte;

}

MemoryBounds
MemoryBoundsOf(std::int64_t aProcessBytes)
{
  if (aProcessBytes <= 0) {
    return {};
  }
  const std::int64_t counted =
    std::max(aProcessBytes - kUncounted, aProcessBytes / kSmallestShare);
  MemoryBounds bounds;
  bounds.reserve = std::min(kReserve, counted / kSmallestShare);
  bounds.total = counted - bounds.reserve;
  bounds.parts = {
    bounds.total, bounds.total / 2, bounds.total / 2, bounds.total / 2
  };
  return bounds;
}

}
