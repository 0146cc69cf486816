#include "baobab/node/memory_limit.hpp"

#include "baobab/core/settings.hpp"
#include "baobab/decision/memory_bounds.hpp"
#include "baobab/net/log.hpp"
#include "baobab/net/log_events.hpp"
#include "baobab/node/memory_facts.hpp"
#include "baobab/node/metrics.hpp"

#include <malloc.h>
#include <string>

namespace baobab {
namespace {

/// Size of a block from which on it is returned to the system when it is freed.
/// By default the threshold rises with the blocks that are freed, and a burst
/// of large messages would stay in the heap.
constexpr int kLargeBlockBytes = 256 << 10;

/// Threads beside the workers that the process starts.
constexpr std::int64_t kOtherThreads = 1;

ProcessMemoryLimit
LimitFor(const Settings& aSettings)
{
  constexpr double kMegabyte = 1e6;
  const auto bytes =
    static_cast<std::int64_t>(aSettings.memoryLimitMb * kMegabyte);
  if (bytes > 0) {
    return { bytes, MemorySource::Setting };
  }
  MemoryFacts facts = ReadMemoryFacts();
  AddResourceLimits(facts);
  return MemoryLimitOf(facts, aSettings.workers + kOtherThreads);
}

}

void
LimitMemory(const Settings& aSettings)
{
  const ProcessMemoryLimit limit = LimitFor(aSettings);
  MemoryBounds bounds = MemoryBoundsOf(limit.bytes);
  bounds.reservedCounts = limit.source == MemorySource::DataLimit ||
                          limit.source == MemorySource::AddressSpaceLimit;
  Log(kMemoryBound,
      Name(limit.source),
      limit.bytes,
      bounds.Bounded() ? bounds.total : 0);
  if (!bounds.Bounded()) {
    return;
  }
  ProcessMemory().SetBounds(bounds);
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
