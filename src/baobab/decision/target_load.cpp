#include "baobab/decision/target_load.hpp"

#include <algorithm>

namespace baobab {
namespace {

/// Age at which a report has lost half of its weight.
constexpr Duration kReportHalfLife = 50ms;

/// Age at which a measured latency has lost half of its weight.
constexpr Duration kLatencyHalfLife = 1s;

constexpr std::int64_t kLatencySpan = 8;

/// Weight of a value of this age: 1 when new, 1/2 at the half-life.
double
Weight(std::int64_t aFrom, TimePoint aNow, Duration aHalfLife)
{
  if (aFrom == 0) {
    return 0;
  }
  const double age =
    static_cast<double>(std::max<std::int64_t>(0, Nanos(aNow) - aFrom));
  return 1 / (1 + age / static_cast<double>(aHalfLife / 1ns));
}

}

TargetLoad::TargetLoad(std::uint16_t aSlots)
  : slots(std::max<std::int32_t>(1, aSlots))
{
}

void
TargetLoad::Began()
{
  this->own.fetch_add(1, std::memory_order_relaxed);
}

void
TargetLoad::Ended()
{
  this->own.fetch_sub(1, std::memory_order_relaxed);
}

void
TargetLoad::Measured(Duration aLatency, TimePoint aNow)
{
  const auto band = BandOf(this->Utilisation({}, aNow));
  const std::int64_t sample = aLatency / 1ns;
  const std::int64_t before =
    this->latencies[band].load(std::memory_order_relaxed);
  this->latencies[band].store(
    before == 0 ? sample : before + (sample - before) / kLatencySpan,
    std::memory_order_relaxed);
  this->measuredAt[band].store(Nanos(aNow), std::memory_order_relaxed);
}

void
TargetLoad::Report(const LoadReport& aReport, TimePoint aNow)
{
  const std::int32_t total = aReport.running + aReport.queued;
  const std::int32_t mine = this->own.load(std::memory_order_relaxed);
  this->others.store(std::max(0, total - mine), std::memory_order_relaxed);
  if (aReport.slots != 0) {
    this->slots.store(aReport.slots, std::memory_order_relaxed);
  }
  this->reportedAt.store(Nanos(aNow), std::memory_order_relaxed);
}

double
TargetLoad::Utilisation(const PeerPrior& aPrior, TimePoint aNow) const
{
  const double weight = Weight(
    this->reportedAt.load(std::memory_order_relaxed), aNow, kReportHalfLife);
  const double mine = this->own.load(std::memory_order_relaxed);
  const double capacity = this->slots.load(std::memory_order_relaxed);
  return mine / capacity + weight * this->OthersPerSlot() +
         (1 - weight) * aPrior.utilisation;
}

Duration
TargetLoad::Latency(double aUtilisation,
                    const PeerPrior& aPrior,
                    TimePoint aNow) const
{
  const auto band = BandOf(aUtilisation);
  const std::int64_t known =
    this->latencies[band].load(std::memory_order_relaxed);
  const double weight =
    Weight(this->measuredAt[band].load(std::memory_order_relaxed),
           aNow,
           kLatencyHalfLife);
  const double prior = static_cast<double>(aPrior.latency / 1ns);
  return std::chrono::nanoseconds(static_cast<std::int64_t>(
    weight * static_cast<double>(known) + (1 - weight) * prior));
}

double
TargetLoad::OthersPerSlot() const
{
  return static_cast<double>(this->others.load(std::memory_order_relaxed)) /
         this->slots.load(std::memory_order_relaxed);
}

std::size_t
TargetLoad::BandOf(double aUtilisation)
{
  const auto band =
    static_cast<std::size_t>(std::max(0.0, aUtilisation) * (kBands - 1));
  return std::min(band, kBands - 1);
}

}
