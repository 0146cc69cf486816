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
#include <string>
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
  Duration announcementTimeout = 3500ms;
};

/// What decides about a call's turn.
struct AdmissionRequest
{
  AdmissionRequest(TimePoint aDeadline)
    : deadline(aDeadline)
  {
  }

  TimePoint deadline;
  /// Time until which an answer has its full worth.
  TimePoint objective = TimePoint::max();
  /// Rank; 0 goes first.
  std::uint8_t priority = 0;
  /// Usual time on an unhurried host; 0: as other calls.
  Duration work = Duration::zero();
  /// Time in which another target is believed to finish the call; 0 if there
  /// is none.
  Duration alternative = Duration::zero();
};

/// The call starts now.
struct StartNow
{};

/// The call waits; it is started or refused by a later event.
struct Queued
{};

using AdmissionDecision = std::variant<StartNow, Queued, NotRun>;

/// A call that leaves the queue, to start or to be refused.
struct Dequeued
{
  CallId id;
  AdmissionDecision decision;
};

/// Decides which calls run at the local target, which wait and which are
/// refused. It never runs more at once than the target announced.
///
/// Waiting calls start by priority, then those that can still be answered
/// within their objective, then by objective and deadline. While the host is
/// slow, a call waits for it to recover if it would otherwise be late. A call
/// that another target is believed to finish sooner is refused at once, so
/// that it can be placed there.
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
  AdmissionDecision Offer(const CallId& aId,
                          const AdmissionRequest& aTerms,
                          TimePoint aNow);

  /// A call that was started is over.
  /// @param aServiceTime time the target took for it
  std::vector<Dequeued> Finish(Duration aServiceTime, TimePoint aNow);

  /// Takes over how slow the target's host is now. Waiting calls may start, or
  /// be refused so that they are placed elsewhere.
  /// @param aPercent time that work takes, in percent of the usual
  std::vector<Dequeued> SetSlowness(std::uint16_t aPercent, TimePoint aNow);

  /// A call that was started is over without having reached the target.
  std::vector<Dequeued> ReleaseSlot(TimePoint aNow);

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
    AdmissionRequest terms;
    TimePoint leaveBy;
    CallId id;
  };

  std::optional<NotRun> RefusalForState() const;
  /// Time that a call takes once it starts.
  Duration RunTime(const AdmissionRequest& aTerms) const;
  Duration ExpectedWait(const AdmissionRequest& aTerms, TimePoint aNow) const;
  bool FasterElsewhere(const AdmissionRequest& aTerms, TimePoint aNow) const;
  bool AwaitsRecovery(const AdmissionRequest& aTerms, TimePoint aNow) const;
  bool GoesFirst(const Waiting& aLeft,
                 const Waiting& aRight,
                 TimePoint aNow) const;
  NotRun Overload(std::string aDetail, Duration aWait) const;
  std::vector<Dequeued> RefuseAll();
  std::vector<Dequeued> Drain(TimePoint aNow);
  void DropLate(TimePoint aNow, std::vector<Dequeued>& aLeaving);

  AdmissionLimits limits;
  std::string service;
  TargetState state = TargetState::None;
  std::uint16_t slots = 0;
  std::uint16_t running = 0;
  TimePoint readySince;
  TimePoint heardAt;
  /// Moving average of the target's time for a call.
  Duration serviceTime = Duration::zero();
  /// Slowness of the host; 1 is the usual.
  double slowness = 1;
  std::vector<Waiting> queue;
};

}
