/// @file
#pragma once

#include "baobab/node/call_stats.hpp"

#include <map>
#include <string>
#include <string_view>

namespace baobab {

/// Builds a page in the Prometheus text format. Values may be added in any
/// order; those of one name stand together.
class MetricsPage
{
public:
  /// Adds one value; names that end in `_total` are counters, others gauges.
  /// @param aLabels `name="value"` pairs, may be empty
  void Add(std::string_view aName, std::string_view aLabels, double aValue);

  /// Adds a histogram of seconds.
  void AddHistogram(std::string_view aName,
                    std::string_view aLabels,
                    const LatencyHistogram& aHistogram);

  /// Adds everything known about the calls of a service.
  void AddService(std::string_view aService, const ServiceStats& aStats);

  /// Adds everything known about the calls at the local target.
  void AddTarget(std::string_view aService, const TargetStats& aStats);

  std::string Text() const;

private:
  struct Family
  {
    std::string_view type;
    std::string lines;
  };

  Family& FamilyOf(std::string_view aName, std::string_view aType);

  std::map<std::string, Family, std::less<>> families;
};

/// Adds the statistics of one worker to those of others.
void MergeStats(WorkerStats& aInto, const WorkerStats& aFrom);

}
