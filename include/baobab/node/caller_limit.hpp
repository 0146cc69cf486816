/// @file
/// The number of connections that callers may open.
#pragma once

#include "baobab/core/settings.hpp"

#include <cstdint>

namespace baobab {

/// Returns the number of connections that callers may open: as many as are set,
/// as the process's descriptors leave, and as fit into half of the memory for
/// messages. Logs it if the descriptors leave less than is set.
std::int64_t MaxCallerConnections(const Settings& aSettings);

}
