#include "baobab/node/memory_limit.hpp"

#include "baobab/decision/memory_bounds.hpp"
#include "baobab/node/metrics.hpp"

#include <malloc.h>
#include <string>

namespace baobab {
namespace {

/// Size of a block from which on it is returned to the system when it is freed.
/// By default the threshold rises with the blocks that are freed, and a burst
/// of large messages would stay in the heap.
constexpr int kLargeBlockBytes = 256 << 10;

}

void
LimitMemory(double aMegabytes)
{
  constexpr double kMegabyte = 1e6;
  const auto bytes = static_cast<std::int64_t>(aMegabytes * kMegabyte);
  if (bytes <= 0) {
    return;
  }
  ProcessMemory().SetBounds(MemoryBoundsOf(bytes));
  mallopt(M_MMAP_THRESHOLD, kLargeBlockBytes);
  mallopt(M_TRIM_THRESHOLD, kLargeBlockBytes);
}

void
AddMemoryMetrics(MetricsPage& aPage, const MemoryLedger& aLedger)
{
  for (std::size_t i = 0; i < kMemoryParts; ++i) {
    const auto part = static_cast<MemoryPart>(i);
    const std::string label = "part=\"" + std::string(Name(part)) + "\"";
    aPage.Add("memory_bytes", label, static_cast<double>(aLedger.Held(part)));
    aPage.Add("memory_refusals_total",
              label,
              static_cast<double>(aLedger.Refusals(part)));
  }
  if (aLedger.Bounds().Bounded()) {
    aPage.Add(
      "memory_bound_bytes", "", static_cast<double>(aLedger.Bounds().total));
  }
}

}
