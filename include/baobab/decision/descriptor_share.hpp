/// @file
/// How the file descriptors of the process are divided.
#pragma once

#include <cstdint>
#include <optional>

namespace baobab {

/// Descriptors for files: the log, settings, records and libraries. Hosts may
/// count as many of the limit for files only.
constexpr std::int64_t kFileDescriptors = 200;

/// Descriptors for connections from and to other daemons, a link in each
/// direction to 256 of them.
constexpr std::int64_t kPeerDescriptors = 512;

/// Descriptors for listening sockets, event loops, datagrams, the store and
/// operators.
constexpr std::int64_t kControlDescriptors = 128;

/// Returns the number of connections that callers may open: what is set, and no
/// more than what the target, other daemons, the store and files leave. Of a
/// limit that is too small for all of them callers get half.
/// @param aSet `caller_connections`
/// @param aTarget connections to the target
/// @param aLimit descriptors that the process may open; nothing: any number
std::int64_t CallerShare(std::int64_t aSet,
                         std::int64_t aTarget,
                         std::optional<std::int64_t> aLimit);

}
