/// @file
#pragma once

#include "baobab/core/load_report.hpp"
#include "baobab/core/time.hpp"

#include <array>
#include <atomic>
#include <cstdint>
#include <optional>

namespace baobab {

/// Prior for the estimates of a single target: typical values of the service's
/// targets. They are used as far as recent values of the target are missing.
struct TargetPrior
{
  /// Calls of other daemons per slot.
  double utilisation = 0;
  Duration latency = Duration::zero();
  /// Slowness of a host; 1 is normal speed.
  double slowness = 1;
};

/// The newest load report of a target and this daemon's own calls there.
struct LoadSnapshot
{
  /// Calls of other daemons there, as last reported.
  std::int32_t others = 0;
  /// Calls of this daemon that are in flight there.
  std::int32_t own = 0;
  std::int32_t slots = 0;
  /// Time that work takes on the host, in percent of the usual time, as last
  /// reported.
  std::uint16_t slowness = 100;
  /// Age of the report; nothing if there is none.
  std::optional<Duration> age;
};

/// One daemon's estimate of the load of one target. Lock-free.
class TargetLoad
{
public:
  explicit TargetLoad(std::uint16_t aSlots = 1);

  /// Counts an attempt that this daemon sends.
  void BeginAttempt();

  /// Ends the count of an attempt of this daemon.
  void EndAttempt();

  /// Records the latency of an attempt that was answered.
  void RecordLatency(Duration aLatency, TimePoint aNow);

  /// Applies a load report that was just received.
  void ApplyReport(const LoadReport& aReport, TimePoint aNow);

  /// Estimate of the running and waiting calls per slot: this daemon's own
  /// calls, and those of other daemons from the last report. The report loses
  /// weight to the prior as it ages.
  double Utilisation(const TargetPrior& aPrior, TimePoint aNow) const;

  /// Average of the recent latencies at about this utilisation. It loses weight
  /// to the prior as it ages.
  Duration Latency(double aUtilisation,
                   const TargetPrior& aPrior,
                   TimePoint aNow) const;

  /// Records the time that an attempt spent on the network.
  void RecordRoundTrip(Duration aRoundTrip);

  /// Average round trip to the target's daemon; the default if none has been
  /// recorded.
  Duration RoundTrip(Duration aDefault) const;

  /// Estimate of the slowness of the target's host; 1 is normal speed. The
  /// report loses weight to the prior as it ages.
  double Slowness(const TargetPrior& aPrior, TimePoint aNow) const;

  /// Expected time at the target of a call that is sent now: its wait in the
  /// queue and its service time.
  /// @param aWork service time of the call on a host at normal speed
  Duration ExpectedFinish(Duration aWork,
                          const TargetPrior& aPrior,
                          TimePoint aNow) const;

  /// Calls of other daemons per slot, as last reported.
  double OthersPerSlot() const;

  /// Returns the values behind the estimates, for logs.
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
  std::atomic<std::int64_t> roundTrip{ 0 };
  /// Moving averages in nanoseconds by band of utilisation; 0 if unknown.
  std::array<std::atomic<std::int64_t>, kBands> latencies{};
  std::array<std::atomic<std::int64_t>, kBands> measuredAt{};
};

}
