/// @file
/// Bounds what runs at the local target.
#pragma once

#include "baobab/core/call_id.hpp"
#include "baobab/core/load_report.hpp"
#include "baobab/core/outcome.hpp"
#include "baobab/core/target_state.hpp"
#include "baobab/core/time.hpp"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <variant>
#include <vector>

namespace baobab {

/// What the target says about itself.
struct Announcement
{
  std::string service;
  std::uint16_t slots = 0;
  TargetState state = TargetState::None;
};

struct AdmissionLimits
{
  std::size_t queueLength = 64;
  Duration queueTime = 100ms;
  Duration ramp = 10s;
  /// Silence of the target after which it has lapsed.
  Duration lapse = 3500ms;
};

/// The call starts now.
struct StartNow
{};

/// The call waits; it is started or refused by a later event.
struct Queued
{};

using AdmissionAnswer = std::variant<StartNow, Queued, NotRun>;

/// A call that leaves the queue, to start or to be refused.
struct Dequeued
{
  CallId id;
  AdmissionAnswer answer;
};

/// Decides which calls run at the local target, which wait and which are
/// refused. It never runs more at once than the target announced.
class Admission
{
public:
  explicit Admission(AdmissionLimits aLimits = {});

  void SetLimits(AdmissionLimits aLimits) { this->limits = aLimits; }

  /// Takes over what the target announced. Calls that wait are refused when
  /// it is no longer ready.
  std::vector<Dequeued> Announce(const Announcement& aAnnouncement,
                                 TimePoint aNow);

  /// Decides about a call that arrived.
  AdmissionAnswer Offer(const CallId& aId, TimePoint aDeadline, TimePoint aNow);

  /// A call that was started is over.
  /// @param aServiceTime time the target took for it
  std::vector<Dequeued> Finish(Duration aServiceTime, TimePoint aNow);

  /// A call that was started is over without having reached the target.
  std::vector<Dequeued> Abandon(TimePoint aNow);

  /// Removes a call from the queue. Returns false if it does not wait.
  bool Withdraw(const CallId& aId);

  /// Applies the passage of time: lapse, expiry in the queue, ramp.
  std::vector<Dequeued> Tick(TimePoint aNow);

  LoadReport Report() const;
  /// State in effect: what was announced, or None after a lapse.
  TargetState State() const { return this->state; }
  const std::string& Service() const { return this->service; }

  /// Slots usable now: all of them once the ramp is over.
  std::uint16_t UsableSlots(TimePoint aNow) const;

private:
  struct Waiting
  {
    TimePoint deadline;
    TimePoint leaveBy;
    CallId id;

    bool operator<(const Waiting& aOther) const
    {
      return std::tie(this->deadline, this->id) <
             std::tie(aOther.deadline, aOther.id);
    }
  };

  std::optional<NotRun> RefusalForState() const;
  Duration ExpectedWait(TimePoint aNow) const;
  std::vector<Dequeued> RefuseAll();
  std::vector<Dequeued> Drain(TimePoint aNow);

  AdmissionLimits limits;
  std::string service;
  TargetState state = TargetState::None;
  std::uint16_t slots = 0;
  std::uint16_t running = 0;
  TimePoint readySince;
  TimePoint heardAt;
  /// Moving average of the target's time for a call.
  Duration serviceTime = Duration::zero();
  std::set<Waiting> queue;
};

}
