#include "baobab/decision/target_load.hpp"

#include <algorithm>

namespace baobab {
namespace {

/// Age at which a report has lost half of its weight.
constexpr Duration kReportHalfLife = 50ms;

/// Age at which a reported slowness has lost half of its weight. Changes are
/// reported at once, so an older report is probably still correct.
constexpr Duration kSlownessHalfLife = 1s;

/// Age at which a measured latency has lost half of its weight.
constexpr Duration kLatencyHalfLife = 1s;

/// The newest sample has a weight of 1/kAverageSpan in the moving averages.
constexpr std::int64_t kAverageSpan = 8;

/// Weight of a value by its age: 1 if new, 1/2 at the half-life, 0 if there is
/// no value (aFrom is 0).
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
TargetLoad::BeginAttempt()
{
  this->own.fetch_add(1, std::memory_order_relaxed);
}

void
TargetLoad::EndAttempt()
{
  this->own.fetch_sub(1, std::memory_order_relaxed);
}

void
TargetLoad::RecordLatency(Duration aLatency, TimePoint aNow)
{
  const auto band = BandOf(this->Utilisation({}, aNow));
  const std::int64_t sample = aLatency / 1ns;
  const std::int64_t before =
    this->latencies[band].load(std::memory_order_relaxed);
  this->latencies[band].store(
    before == 0 ? sample : before + (sample - before) / kAverageSpan,
    std::memory_order_relaxed);
  this->measuredAt[band].store(Nanos(aNow), std::memory_order_relaxed);
}

void
TargetLoad::ApplyReport(const LoadReport& aReport, TimePoint aNow)
{
  const std::int32_t total = aReport.running + aReport.queued;
  const std::int32_t ownCalls = this->own.load(std::memory_order_relaxed);
  this->others.store(std::max(0, total - ownCalls), std::memory_order_relaxed);
  if (aReport.slots != 0) {
    this->slots.store(aReport.slots, std::memory_order_relaxed);
  }
  this->slowness.store(aReport.slowness, std::memory_order_relaxed);
  this->reportedAt.store(Nanos(aNow), std::memory_order_relaxed);
}

void
TargetLoad::RecordRoundTrip(Duration aRoundTrip)
{
  const std::int64_t sample = std::max<std::int64_t>(1, aRoundTrip / 1ns);
  const std::int64_t before = this->roundTrip.load(std::memory_order_relaxed);
  this->roundTrip.store(before == 0 ? sample
                                    : before + (sample - before) / kAverageSpan,
                        std::memory_order_relaxed);
}

Duration
TargetLoad::RoundTrip(Duration aDefault) const
{
  const std::int64_t known = this->roundTrip.load(std::memory_order_relaxed);
  return known == 0 ? aDefault : Duration(std::chrono::nanoseconds(known));
}

double
TargetLoad::Slowness(const TargetPrior& aPrior, TimePoint aNow) const
{
  constexpr double kPercent = 100;
  const double weight = Weight(
    this->reportedAt.load(std::memory_order_relaxed), aNow, kSlownessHalfLife);
  const double reported =
    this->slowness.load(std::memory_order_relaxed) / kPercent;
  return weight * reported + (1 - weight) * aPrior.slowness;
}

Duration
TargetLoad::ExpectedFinish(Duration aWork,
                           const TargetPrior& aPrior,
                           TimePoint aNow) const
{
  // A nearly full target may be full by the time the call arrives; this is the
  // time added for it at full utilisation, in service times.
  constexpr double kCrowdingTime = 0.1;
  const double capacity = this->slots.load(std::memory_order_relaxed);
  const double calls = this->Utilisation(aPrior, aNow) * capacity;
  const double waiting = std::max(0.0, calls + 1 - capacity) / capacity;
  const double serviceTimes = this->Slowness(aPrior, aNow) * (1 + waiting) +
                              kCrowdingTime * calls / capacity;
  return std::chrono::duration_cast<Duration>(aWork * serviceTimes);
}

double
TargetLoad::Utilisation(const TargetPrior& aPrior, TimePoint aNow) const
{
  const double weight = Weight(
    this->reportedAt.load(std::memory_order_relaxed), aNow, kReportHalfLife);
  const double ownCalls = this->own.load(std::memory_order_relaxed);
  const double capacity = this->slots.load(std::memory_order_relaxed);
  return ownCalls / capacity + weight * this->OthersPerSlot() +
         (1 - weight) * aPrior.utilisation;
}

Duration
TargetLoad::Latency(double aUtilisation,
                    const TargetPrior& aPrior,
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

LoadSnapshot
TargetLoad::Snapshot(TimePoint aNow) const
{
  LoadSnapshot snapshot{ this->others, this->own, this->slots, this->slowness };
  const std::int64_t reported = this->reportedAt;
  if (reported != 0) {
    snapshot.age = Duration(Nanos(aNow) - reported);
  }
  return snapshot;
}

}
