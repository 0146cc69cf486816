/// @file
/// Connections on which other daemons send calls.
#pragma once

#include "baobab/core/call_id.hpp"
#include "baobab/core/load_report.hpp"
#include "baobab/core/time.hpp"
#include "baobab/decision/call_ledger.hpp"
#include "baobab/net/frame_connection.hpp"

#include <cstdint>
#include <memory>
#include <unordered_map>

namespace baobab {

/// A connection from a worker of another daemon, after its Hello message.
struct SenderConnection
{
  /// ID of the worker.
  std::uint64_t sender = 0;
  /// Number that the sender gives to its connections in order; 0 before Hello.
  ConnectionNumber number = 0;
  /// True if the other daemon is in another region.
  bool crossRegion = false;
  std::shared_ptr<FrameConnection> frames;
  /// Last load report that was sent on this connection.
  LoadReport lastReport;
  TimePoint lastReportAt;
  /// Time at which the last call arrived on this connection.
  TimePoint lastCallAt;
};

/// The newest connection of each sender, by sender ID.
using SenderConnections = std::unordered_map<std::uint64_t, SenderConnection>;

/// Returns the connection of a call's sender, or null if it has none.
inline SenderConnection*
FindConnection(SenderConnections& aConnections, const CallId& aId)
{
  const auto found = aConnections.find(aId.sender);
  return found == aConnections.end() ? nullptr : &found->second;
}

}
