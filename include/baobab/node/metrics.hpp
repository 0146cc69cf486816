/// @file
#pragma once

#include "baobab/node/call_stats.hpp"

#include <map>
#include <string>
#include <string_view>

namespace baobab {

/// Builds a page in the Prometheus text format. Values may be added in any
/// order; the page groups them by name.
class MetricsPage
{
public:
  /// Adds one value; names that end in `_total` are counters, others gauges.
  /// @param aName name without the prefix `baobab_`
  /// @param aLabels `name="value"` pairs separated by commas, may be empty
  void Add(std::string_view aName, std::string_view aLabels, double aValue);

  /// Adds a histogram with bounds in seconds.
  void AddHistogram(std::string_view aName,
                    std::string_view aLabels,
                    const LatencyHistogram& aHistogram);

  /// Adds the statistics of a service's calls at the ingress.
  void AddService(std::string_view aService, const ServiceStats& aStats);

  /// Adds the statistics of the calls at the local target.
  void AddTarget(std::string_view aService, const TargetStats& aStats);

  /// Returns the page.
  std::string Text() const;

private:
  /// The values of one metric name.
  struct Family
  {
    std::string_view type;
    std::string lines;
  };

  Family& FamilyOf(std::string_view aName, std::string_view aType);

  std::map<std::string, Family, std::less<>> families;
};

/// Adds the statistics of one worker to a sum.
void MergeStats(WorkerStats& aInto, const WorkerStats& aFrom);

}
