/// @file
#pragma once

#include "baobab/core/settings.hpp"
#include "baobab/decision/membership.hpp"
#include "baobab/decision/quarantine.hpp"
#include "baobab/node/rcu_cell.hpp"
#include "baobab/node/route_table.hpp"

#include <memory>

namespace baobab {

/// Builds the routing table whenever its sources changed, and divides the
/// fleet's budgets by the daemons that spend them. It belongs to the control
/// thread.
class RoutePublisher
{
public:
  RoutePublisher(Membership& aMembership,
                 Quarantine& aQuarantine,
                 RcuCell<RouteTable>& aRoutes,
                 const Settings& aSettings);

  /// Takes over a configuration; it is in force when this returns.
  void SetConfiguration(std::shared_ptr<const Configuration> aConfiguration);

  const std::shared_ptr<const Configuration>& CurrentConfiguration() const
  {
    return this->configuration;
  }

  /// Takes over settings that changed; they are in force when this returns.
  void SetLiveSettings(const LiveSettings& aLive);

  /// Publishes a new table if something changed.
  void Refresh(TimePoint aNow);

  /// Logs for which services retries were denied since the last call.
  void LogDeniedRetries() const;

  /// Makes the next Refresh publish whatever changed.
  void MarkChanged() { this->changed = true; }

private:
  void DivideBudgets(const RouteTable& aTable, TimePoint aNow);

  Membership& membership;
  Quarantine& quarantine;
  RcuCell<RouteTable>& routes;
  LiveSettings live;
  RouteTableBuilder builder;
  std::shared_ptr<const Configuration> configuration;
  std::uint64_t publishedVersion = 0;
  std::vector<std::string> silentRegions;
  bool changed = true;
};

}
