#include "baobab/node/caller_limit.hpp"

#include "baobab/core/memory_ledger.hpp"
#include "baobab/decision/descriptor_share.hpp"
#include "baobab/net/http_server.hpp"
#include "baobab/net/log.hpp"
#include "baobab/net/log_events.hpp"

#include <algorithm>
#include <optional>
#include <sys/resource.h>

namespace baobab {
namespace {

/// Returns the number of descriptors that the process may open; nothing if it
/// is not limited.
std::optional<std::int64_t>
DescriptorLimit()
{
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0 ||
      limit.rlim_cur == RLIM_INFINITY) {
    return std::nullopt;
  }
  return static_cast<std::int64_t>(limit.rlim_cur);
}

}

std::int64_t
MaxCallerConnections(const Settings& aSettings)
{
  const auto descriptors = DescriptorLimit();
  const std::int64_t share = CallerShare(
    aSettings.callerConnections, aSettings.targetConnections, descriptors);
  if (share < aSettings.callerConnections) {
    Log(kCallerConnectionsLowered,
        share,
        aSettings.callerConnections,
        descriptors.value_or(0));
  }
  const auto bytes = static_cast<std::int64_t>(kConnectionBytes);
  return std::min(share, ProcessMemory().Bounds().total / 2 / bytes);
}

}
