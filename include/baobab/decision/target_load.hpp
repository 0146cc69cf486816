/// @file
#pragma once

#include "baobab/core/load_report.hpp"
#include "baobab/core/time.hpp"

#include <array>
#include <atomic>
#include <cstdint>
#include <optional>

namespace baobab {

/// Typical values of a service's targets, for what is not known of one.
struct TargetPrior
{
  /// Calls of other daemons in flight per slot.
  double utilisation = 0;
  Duration latency = Duration::zero();
  /// Slowness of a host, in parts of the usual time.
  double slowness = 1;
};

/// The newest report on a target and what this daemon has added to it since.
struct LoadSnapshot
{
  /// Calls of other daemons there, as last reported.
  std::int32_t others = 0;
  /// Calls of this daemon that are in flight there.
  std::int32_t own = 0;
  std::int32_t slots = 0;
  /// Slowness of the host in percent, as last reported.
  std::uint16_t slowness = 100;
  /// Age of the report; nothing without one.
  std::optional<Duration> age;
};

/// What one daemon knows about the load of one target. Lock-free.
class TargetLoad
{
public:
  explicit TargetLoad(std::uint16_t aSlots = 1);

  /// An attempt of this daemon was sent.
  void BeginAttempt();

  /// An attempt of this daemon is over without a measured latency.
  void EndAttempt();

  /// Records the latency of an attempt that was answered.
  void RecordLatency(Duration aLatency, TimePoint aNow);

  /// Takes over a load report that just arrived.
  void ApplyReport(const LoadReport& aReport, TimePoint aNow);

  /// Calls that run or wait there, per slot, as estimated for now. A report
  /// loses weight with its age and the prior takes its place.
  double Utilisation(const TargetPrior& aPrior, TimePoint aNow) const;

  /// Latency lately seen at about this utilisation; the prior's as it ages.
  Duration Latency(double aUtilisation,
                   const TargetPrior& aPrior,
                   TimePoint aNow) const;

  /// Records the time that an attempt spent on the way.
  void RecordRoundTrip(Duration aRoundTrip);

  /// Round trip to the target's daemon; the default while none is measured.
  Duration RoundTrip(Duration aDefault) const;

  /// Slowness of the target's host as estimated for now; the prior's as the
  /// report ages.
  double Slowness(const TargetPrior& aPrior, TimePoint aNow) const;

  /// Time that a call which is sent now takes at the target: its turn in the
  /// queue, then its work.
  /// @param aWork time of the call on an unhurried host
  Duration ExpectedFinish(Duration aWork,
                          const TargetPrior& aPrior,
                          TimePoint aNow) const;

  /// Calls of other daemons per slot, as last reported.
  double OthersPerSlot() const;

  /// Returns the figures behind the estimates, for logs.
  LoadSnapshot Snapshot(TimePoint aNow) const;

  std::int32_t OwnInFlight() const { return this->own.load(); }

private:
  static constexpr std::size_t kBands = 4;

  static std::size_t BandOf(double aUtilisation);

  std::atomic<std::int32_t> own{ 0 };
  std::atomic<std::int32_t> others{ 0 };
  std::atomic<std::int32_t> slots;
  std::atomic<std::int64_t> reportedAt{ 0 };
  std::atomic<std::uint16_t> slowness{ 100 };
  /// Moving average in nanoseconds; 0 if unknown.
  std::atomic<std::int64_t> way{ 0 };
  /// Moving averages in nanoseconds by band of utilisation; 0 if unknown.
  std::array<std::atomic<std::int64_t>, kBands> latencies{};
  std::array<std::atomic<std::int64_t>, kBands> measuredAt{};
};

}
