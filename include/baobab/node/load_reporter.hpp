/// @file
#pragma once

#include "baobab/node/sender_connections.hpp"
#include "baobab/node/service_state.hpp"

#include <optional>

namespace baobab {

/// Reports the load of the local target to the daemons that send it calls,
/// within the measuring budgets of its service.
class LoadReporter
{
public:
  explicit LoadReporter(SenderConnections& aSenders)
    : senders(aSenders)
  {
  }

  /// Returns the report to send along with a message on the connection, and
  /// charges its bytes. Returns nothing if the last report is still accurate
  /// enough or the budget is spent.
  std::optional<LoadReport> PiggybackReport(SenderConnection& aConnection,
                                            const LoadReport& aReport,
                                            ServiceState& aState);

  /// Sends the report to every sender with a recent call whose last report
  /// differs enough to affect its choice of target.
  void Broadcast(const LoadReport& aReport, ServiceState& aState);

private:
  SenderConnections& senders;
};

/// Time after its last call during which a sender receives load updates.
constexpr Duration kLoadUpdateWindow = 2s;

}
