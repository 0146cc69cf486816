#include "baobab/node/metrics.hpp"

#include <cstdio>

namespace baobab {
namespace {

std::string
Number(double aValue)
{
  char text[32];
  std::snprintf(text, sizeof text, "%.9g", aValue);
  return text;
}

}

void
MetricsPage::Add(std::string_view aName,
                 std::string_view aLabels,
                 double aValue)
{
  this->text += "baobab_" + std::string(aName);
  if (!aLabels.empty()) {
    this->text += "{" + std::string(aLabels) + "}";
  }
  this->text += " " + Number(aValue) + "\n";
}

void
MetricsPage::AddService(std::string_view aService, const ServiceStats& aStats)
{
  const std::string label = "service=\"" + std::string(aService) + "\"";
  for (std::size_t i = 0; i < kCallClasses; ++i) {
    this->Add("calls_total",
              label + ",class=\"" +
                std::string(Name(static_cast<CallClass>(i))) + "\"",
              static_cast<double>(aStats.calls[i]));
  }
  for (std::size_t i = 0; i < ServiceStats::kBounds.size(); ++i) {
    this->Add("call_seconds_bucket",
              label + ",le=\"" + Number(ServiceStats::kBounds[i]) + "\"",
              static_cast<double>(aStats.buckets[i]));
  }
  const double count = aStats.Count();
  this->Add("call_seconds_bucket", label + ",le=\"+Inf\"", count);
  this->Add("call_seconds_sum", label, aStats.SecondsSum());
  this->Add("call_seconds_count", label, count);
  this->Add("attempts_total", label, static_cast<double>(aStats.attempts));
  this->Add("spilled_total", label, static_cast<double>(aStats.spilled));
}

void
MergeStats(WorkerStats& aInto, const WorkerStats& aFrom)
{
  for (const auto& [service, from] : aFrom) {
    aInto[service].Merge(from);
  }
}

}
