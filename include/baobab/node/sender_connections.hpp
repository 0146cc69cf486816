/// @file
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

/// A connection from another daemon after its Hello.
struct SenderConnection
{
  std::uint64_t sender = 0;
  ConnectionNumber number = 0;
  /// True if the other daemon is in another region.
  bool crossRegion = false;
  std::shared_ptr<FrameConnection> frames;
  /// Last load report on this connection.
  LoadReport lastReport;
  TimePoint lastReportAt;
  TimePoint lastCallAt;
};

/// The newest connection of each sender.
using SenderConnections = std::unordered_map<std::uint64_t, SenderConnection>;

/// The connection of a call's sender, or null if it is gone.
inline SenderConnection*
FindConnection(SenderConnections& aConnections, const CallId& aId)
{
  const auto found = aConnections.find(aId.sender);
  return found == aConnections.end() ? nullptr : &found->second;
}

}
