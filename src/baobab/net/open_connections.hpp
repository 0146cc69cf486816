/// @file
/// Checks the deadlines of the connections of a server.
#pragma once

#include "baobab/core/time.hpp"
#include "baobab/decision/closing_order.hpp"
#include "baobab/net/clock.hpp"

#include <algorithm>
#include <boost/fiber/operations.hpp>
#include <memory>
#include <unordered_set>

namespace baobab {

/// Open connections of a server.
template<class Connection>
struct OpenConnections
{
  std::unordered_set<Connection*> open;
  ClosingOrder<Connection> closing;
  /// True while connections are accepted.
  bool accepting = true;
};

/// Checks the deadlines of all connections until the last one is closed. One
/// timer for all of them is cheaper than one for each request.
template<class Connection>
void
RunDeadlineChecks(
  const std::shared_ptr<const OpenConnections<Connection>>& aConnections)
{
  // A new connection may be checked late by the longest period.
  constexpr Duration kShortestPeriod = 50ms;
  constexpr Duration kLongestPeriod = 200ms;
  while (aConnections->accepting || !aConnections->open.empty()) {
    TimePoint next = TimePoint::max();
    for (const Connection* connection : aConnections->open) {
      next = std::min(next, connection->Deadline());
    }
    const TimePoint before = Now();
    boost::this_fiber::sleep_until(
      std::clamp(next, before + kShortestPeriod, before + kLongestPeriod));
    const TimePoint now = Now();
    std::ranges::for_each(aConnections->open, [&](Connection* aConnection) {
      aConnection->CheckDeadline(now);
    });
  }
}

}
