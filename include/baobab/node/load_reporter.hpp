/// @file
#pragma once

#include "baobab/node/sender_connections.hpp"
#include "baobab/node/service_state.hpp"

#include <optional>

namespace baobab {

/// Tells senders of calls about the load of the local target, within the
/// measuring budgets of its service.
class LoadReporter
{
public:
  explicit LoadReporter(SenderConnections& aSenders)
    : senders(aSenders)
  {
  }

  /// The report that travels with a message, unless the last one on the
  /// connection still says about the same.
  std::optional<LoadReport> PiggybackReport(SenderConnection& aConnection,
                                            const LoadReport& aReport,
                                            ServiceState& aState);

  /// Tells senders of a change that matters to their choices.
  void Broadcast(const LoadReport& aReport, ServiceState& aState);

private:
  SenderConnections& senders;
};

/// Time after its last call for which a sender is told of changes.
constexpr Duration kLoadUpdateWindow = 2s;

}
