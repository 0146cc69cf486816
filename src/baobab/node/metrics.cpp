#include "baobab/node/metrics.hpp"

#include <cstdio>

namespace baobab {
namespace {

constexpr std::string_view kPrefix = "baobab_";

std::string
Number(double aValue)
{
  char text[32];
  std::snprintf(text, sizeof text, "%.9g", aValue);
  return text;
}

std::string
Label(std::string_view aName, std::string_view aValue)
{
  return std::string(aName) + "=\"" + std::string(aValue) + "\"";
}

std::string
Line(const std::string& aName, const std::string& aLabels, double aValue)
{
  return std::string(kPrefix) + aName +
         (aLabels.empty() ? "" : "{" + aLabels + "}") + " " + Number(aValue) +
         "\n";
}

}

void
MetricsPage::Add(std::string_view aName,
                 std::string_view aLabels,
                 double aValue)
{
  const bool isCounter = aName.ends_with("_total");
  this->FamilyOf(aName, isCounter ? "counter" : "gauge").lines +=
    Line(std::string(aName), std::string(aLabels), aValue);
}

void
MetricsPage::AddHistogram(std::string_view aName,
                          std::string_view aLabels,
                          const LatencyHistogram& aHistogram)
{
  const std::string name(aName);
  const std::string labels(aLabels);
  const std::string separator = labels.empty() ? "" : ",";
  std::string& lines = this->FamilyOf(aName, "histogram").lines;
  const auto bucket = [&](const std::string& aBound, double aCount) {
    lines +=
      Line(name + "_bucket", labels + separator + Label("le", aBound), aCount);
  };
  for (std::size_t i = 0; i < LatencyHistogram::kBoundsSeconds.size(); ++i) {
    bucket(Number(LatencyHistogram::kBoundsSeconds[i]),
           static_cast<double>(aHistogram.Buckets()[i]));
  }
  bucket("+Inf", aHistogram.Count());
  lines += Line(name + "_sum", labels, aHistogram.Sum());
  lines += Line(name + "_count", labels, aHistogram.Count());
}

void
MetricsPage::AddService(std::string_view aService, const ServiceStats& aStats)
{
  const std::string service = Label("service", aService);
  for (std::size_t i = 0; i < kCallClassCount; ++i) {
    const auto name = Name(static_cast<CallClass>(i));
    this->Add("calls_total",
              service + "," + Label("class", name),
              static_cast<double>(aStats.calls[i]));
  }
  for (const auto& [kind, histogram] : aStats.latencies) {
    const auto& [idempotent, callClass] = kind;
    this->AddHistogram("call_seconds",
                       service + "," +
                         Label("idempotent", idempotent ? "true" : "false") +
                         "," + Label("class", Name(callClass)),
                       histogram);
  }
  this->AddHistogram("hop_seconds", service, aStats.networkTimes);
  this->Add("attempts_total", service, static_cast<double>(aStats.attempts));
  this->Add(
    "spilled_total", service, static_cast<double>(aStats.crossRegionAttempts));
}

void
MetricsPage::AddTarget(std::string_view aService, const TargetStats& aStats)
{
  const std::string service = Label("service", aService);
  this->AddHistogram("queue_seconds", service, aStats.queueWaits);
  this->AddHistogram("target_seconds", service, aStats.targetTimes);
  this->Add("lost_total", service, static_cast<double>(aStats.lost));
  for (const auto& [reason, count] : aStats.refusals) {
    this->Add("refusals_total",
              service + "," + Label("reason", Name(reason)),
              static_cast<double>(count));
  }
}

std::string
MetricsPage::Text() const
{
  std::string text;
  for (const auto& [name, family] : this->families) {
    text += "# TYPE " + std::string(kPrefix) + name + " " +
            std::string(family.type) + "\n" + family.lines;
  }
  return text;
}

MetricsPage::Family&
MetricsPage::FamilyOf(std::string_view aName, std::string_view aType)
{
  return this->families.try_emplace(std::string(aName), Family{ aType, "" })
    .first->second;
}

void
MergeStats(WorkerStats& aInto, const WorkerStats& aFrom)
{
  for (const auto& [service, from] : aFrom) {
    aInto[service].Merge(from);
  }
}

}
