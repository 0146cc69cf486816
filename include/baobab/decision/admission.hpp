/// @file
/// Admission control in front of the local target.
#pragma once

#include "baobab/core/call_id.hpp"
#include "baobab/core/load_report.hpp"
#include "baobab/core/outcome.hpp"
#include "baobab/core/target_state.hpp"
#include "baobab/core/time.hpp"
#include "baobab/decision/link_load.hpp"
#include "baobab/decision/useful_concurrency.hpp"
#include "baobab/decision/warmup_limit.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace baobab {

/// The target's announced service, capacity and state.
struct Announcement
{
  std::string service;
  /// Calls that the target runs at the same time at most.
  std::uint16_t slots = 0;
  TargetState state = TargetState::None;
};

struct AdmissionLimits
{
  /// Calls that wait at most.
  std::size_t queueLength = 64;
  /// Longest time that a call waits.
  Duration queueTime = 100ms;
  /// Time over which the usable slots of a target that became ready grow to
  /// all of its slots.
  Duration ramp = 10s;
  /// Time without an announcement after which the target counts as absent.
  Duration announcementTimeout = 3500ms;
};

/// The properties of a call that determine whether and when it starts.
struct AdmissionRequest
{
  AdmissionRequest(TimePoint aDeadline)
    : deadline(aDeadline)
  {
  }

  TimePoint deadline;
  /// Time by which the answer must arrive to meet the latency objective.
  TimePoint objective = TimePoint::max();
  /// 0 is the most urgent.
  std::uint8_t priority = 0;
  /// Usual service time on a host at normal speed; 0 if not known, in which
  /// case the average of all calls is used.
  Duration work = Duration::zero();
  /// Estimated time in which the best other target would finish the call; 0 if
  /// there is none.
  Duration alternative = Duration::zero();
  /// Expected size of the answer; 0 if not known.
  std::int64_t answerBytes = 0;
};

/// A call that the target has run.
struct FinishedCall
{
  explicit FinishedCall(Duration aServiceTime)
    : serviceTime(aServiceTime)
  {
  }

  Duration serviceTime;
  /// Estimated service time on a host at normal speed; 0 if it is not known or
  /// must not be compared, because the target failed.
  Duration work = Duration::zero();
  /// Calls that ran when this one started, including itself.
  std::uint16_t concurrency = 0;
  /// Slowness of the host when the call started; 1 is normal speed.
  double slowness = 1;
};

/// The call starts now.
struct StartNow
{};

/// The call waits. A later event starts or refuses it.
struct Queued
{};

using AdmissionDecision = std::variant<StartNow, Queued, NotRun>;

/// A call that left the queue, either started or refused.
struct DequeuedCall
{
  CallId id;
  AdmissionDecision decision;
};

/// Decides which calls run at the local target, which wait and which are
/// refused. It never runs more calls at the same time than the target
/// announced, and fewer if the target finishes more calls per second with some
/// slots free.
///
/// Waiting calls start in this order: by priority; then calls that can still
/// meet their objective before those that cannot; then by objective and
/// deadline. A call that cannot meet its objective any more waits for a part of
/// its time only, so that its caller learns early that it has to come back.
/// While the host is slow, a call that would be late if it started now, but not
/// after the host has recovered, waits. A call that another target is expected
/// to finish clearly sooner is refused at once, so that the sender can place it
/// there.
class Admission
{
public:
  explicit Admission(AdmissionLimits aLimits = {});

  /// Sets the rate of the host's link, in bytes per second; 0: not known.
  void SetLinkRate(double aBytesPerSecond)
  {
    this->link.SetRate(aBytesPerSecond);
  }

  void SetLimits(AdmissionLimits aLimits) { this->limits = aLimits; }

  /// Applies an announcement. Refuses the waiting calls if the target is not
  /// ready.
  std::vector<DequeuedCall> Announce(const Announcement& aAnnouncement,
                                     TimePoint aNow);

  /// Starts, queues or refuses a call that arrived.
  AdmissionDecision Offer(const CallId& aId,
                          const AdmissionRequest& aRequest,
                          TimePoint aNow);

  /// Frees the slot of a call that the target ran.
  std::vector<DequeuedCall> Finish(const FinishedCall& aCall, TimePoint aNow);

  /// Sets the current slowness of the target's host. Waiting calls may
  /// start, or be refused so that their senders place them at other targets.
  /// @param aPercent time that work takes, in percent of the usual time
  std::vector<DequeuedCall> SetSlowness(std::uint16_t aPercent, TimePoint aNow);

  /// Frees the slot of a call that was started but did not reach the target.
  std::vector<DequeuedCall> ReleaseSlot(TimePoint aNow);

  /// The limit on calls while the target is cold. After a change, the next
  /// Tick() starts the calls that may start now.
  WarmupLimit& Warmup() { return this->warmup; }
  const WarmupLimit& Warmup() const { return this->warmup; }

  /// Removes a call from the queue. Returns false if it does not wait.
  bool Withdraw(const CallId& aId);

  /// Runs the timers: the announcement timeout, the time limits of waiting
  /// calls, and the growth of the usable slots.
  std::vector<DequeuedCall> Tick(TimePoint aNow);

  /// The load. Its slots are the useful concurrency, or as many as a cold
  /// target can use with the calls that it takes.
  LoadReport Report(TimePoint aNow) const;

  /// Slots that the target announced.
  std::uint16_t AnnouncedSlots() const { return this->slots; }

  /// Factor by which the service time grows at this concurrency.
  double Crowding(std::uint16_t aConcurrency) const
  {
    return this->concurrency.Crowding(aConcurrency);
  }

  /// Forgets what was learned about the target, because another instance of it
  /// has started.
  void ForgetTarget() { this->concurrency.Reset(); }

  /// The announced state, or None after the announcement timeout.
  TargetState State() const { return this->state; }
  const std::string& Service() const { return this->service; }

  /// Calls that may run at the same time now: a growing part of the slots
  /// during the ramp, then the useful concurrency.
  std::uint16_t UsableSlots(TimePoint aNow) const;

private:
  struct WaitingCall
  {
    AdmissionRequest request;
    TimePoint waitUntil;
    /// End of the wait if the call cannot meet its objective any more.
    TimePoint lateUntil;
    CallId id;
  };

  bool IsRamping(TimePoint aNow) const;
  std::optional<NotRun> RefusalForState() const;
  /// Time that a call takes if it starts now, unless the target is crowded.
  Duration UncrowdedTime(const AdmissionRequest& aRequest) const;
  /// Expected time that a call takes if it starts now.
  Duration RunTime(const AdmissionRequest& aRequest) const;
  Duration ExpectedWait(const AdmissionRequest& aRequest, TimePoint aNow) const;
  /// True if a call that starts after this wait misses its objective.
  bool IsLate(const AdmissionRequest& aRequest,
              Duration aWait,
              TimePoint aNow) const;
  bool WaitsTooLongForLate(const WaitingCall& aWaiting,
                           Duration aWait,
                           TimePoint aNow) const;
  bool IsOtherTargetFaster(const AdmissionRequest& aRequest,
                           TimePoint aNow) const;
  /// True if the call need not wait for anything but a free slot.
  bool MayStart(const AdmissionRequest& aRequest, TimePoint aNow) const;
  /// True if the answer is large and has to wait for the link.
  bool ShouldAwaitLink(const AdmissionRequest& aRequest, TimePoint aNow) const;
  bool ShouldAwaitRecovery(const AdmissionRequest& aRequest,
                           TimePoint aNow) const;
  bool StartsBefore(const WaitingCall& aLeft,
                    const WaitingCall& aRight,
                    TimePoint aNow) const;
  NotRun WarmupRefusal(Duration aWait) const;
  NotRun OverloadRefusal(std::string aDetail, Duration aWait) const;
  std::vector<DequeuedCall> RefuseAll();
  std::vector<DequeuedCall> ProcessQueue(TimePoint aNow);
  void RefuseLate(TimePoint aNow, std::vector<DequeuedCall>& aDequeued);

  AdmissionLimits limits;
  std::string service;
  TargetState state = TargetState::None;
  std::uint16_t slots = 0;
  std::uint16_t running = 0;
  TimePoint readySince;
  TimePoint announcedAt;
  /// Moving average of the target's service time.
  Duration serviceTime = Duration::zero();
  /// Slowness of the host; 1 is normal speed.
  double slowness = 1;
  UsefulConcurrency concurrency;
  /// Moving average of the ratio of service time to estimate at normal speed.
  double crowdedFactor = 1;
  LinkLoad link;
  WarmupLimit warmup;
  std::vector<WaitingCall> queue;
};

}
