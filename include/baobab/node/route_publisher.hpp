/// @file
#pragma once

#include "baobab/core/settings.hpp"
#include "baobab/decision/membership.hpp"
#include "baobab/decision/quarantine.hpp"
#include "baobab/node/rcu_cell.hpp"
#include "baobab/node/route_table.hpp"

#include <memory>

namespace baobab {

/// Publishes a new routing table whenever one of its inputs has changed, and
/// divides the fleet's budgets among the daemons that spend them. Used only on
/// the control thread.
class RoutePublisher
{
public:
  RoutePublisher(Membership& aMembership,
                 Quarantine& aQuarantine,
                 RcuCell<RouteTable>& aRoutes,
                 const Settings& aSettings);

  /// Sets the configuration; it is in force on return.
  void SetConfiguration(std::shared_ptr<const Configuration> aConfiguration);

  const std::shared_ptr<const Configuration>& CurrentConfiguration() const
  {
    return this->configuration;
  }

  /// Sets changed settings; they are in force on return.
  void SetLiveSettings(const LiveSettings& aLive);

  /// Excludes the targets of these availability zones; in force on return.
  void SetEvacuatedZones(std::vector<std::string> aZones);

  /// Publishes a new table if any input has changed.
  void Refresh(TimePoint aNow);

  /// Logs, for each service, how many retries were denied since the last call.
  void LogDeniedRetries() const;

  /// Makes the next Refresh() publish a table in any case.
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
