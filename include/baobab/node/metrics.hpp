/// @file
#pragma once

#include "baobab/node/call_stats.hpp"

#include <string>
#include <string_view>

namespace baobab {

/// Builds a page in the Prometheus text format.
class MetricsPage
{
public:
  /// Adds one value. @param aLabels `name="value"` pairs, may be empty
  void Add(std::string_view aName, std::string_view aLabels, double aValue);

  /// Adds everything known about the calls of a service.
  void AddService(std::string_view aService, const ServiceStats& aStats);

  const std::string& Text() const { return this->text; }

private:
  std::string text;
};

/// Adds the statistics of one worker to those of others.
void MergeStats(WorkerStats& aInto, const WorkerStats& aFrom);

}
