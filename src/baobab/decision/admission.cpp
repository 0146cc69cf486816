#include "baobab/decision/admission.hpp"

#include <algorithm>
#include <tuple>

namespace baobab {
namespace {

/// The newest sample has a weight of 1/kAverageSpan in the moving average.
constexpr int kAverageSpan = 16;

/// Highest ratio of service time to estimate that is averaged.
constexpr double kMaxCrowdedFactor = 4;

/// Slowness of the host up to which service times are compared.
constexpr double kNormalSpeed = 1.1;

/// Slowness of the host from which calls may wait for it to recover.
constexpr double kSlow = 2;

/// Time in which a slow host has usually recovered: the load of noisy
/// neighbours on the same machine comes and goes within half a second.
constexpr Duration kRecovery = 300ms;

/// A call is refused in favour of another target only if its expected time here
/// exceeds the other's by this factor and margin, because estimates are
/// inaccurate and another placement takes time.
constexpr double kFasterFactor = 1.2;
constexpr Duration kFasterMargin = 10ms;

/// A call that cannot meet its objective any more waits for this part of the
/// time that it had on arrival at most. If it has to wait longer, its caller is
/// told to come back instead.
constexpr int kLateWaitDivisor = 4;

/// A call counts as late if it would miss its objective when it took longer
/// than estimated by this factor.
constexpr double kRunTimeMargin = 1.3;

/// Answers of at least this size wait for the link; smaller ones fit between
/// them.
constexpr std::int64_t kLargeAnswer = 8192;

/// Time that the link may need for the answers of calls that run. Longer queues
/// on the link delay all traffic of the host.
constexpr Duration kMaxLinkBacklog = 150ms;

/// Shortest time after which a refused call is advised to retry.
constexpr Duration kShortestRetryAfter = 100ms;

/// Fraction of the slots that is usable when a target becomes ready.
constexpr double kRampStart = 0.1;

}

Admission::Admission(AdmissionLimits aLimits)
  : limits(aLimits)
{
}

std::vector<DequeuedCall>
Admission::Announce(const Announcement& aAnnouncement, TimePoint aNow)
{
  const bool becameReady = aAnnouncement.state == TargetState::Ready &&
                           this->state != TargetState::Ready;
  const bool announcedBefore = this->announcedAt != TimePoint{};
  // No ramp after the first announcement: if only the daemon was restarted, the
  // target has been running for some time.
  if (becameReady && announcedBefore) {
    this->readySince = aNow;
  }
  this->service = aAnnouncement.service;
  this->slots = aAnnouncement.slots;
  this->concurrency.SetSlots(aAnnouncement.slots);
  this->state = aAnnouncement.state;
  this->announcedAt = aNow;
  return this->state == TargetState::Ready ? this->ProcessQueue(aNow)
                                           : this->RefuseAll();
}

AdmissionDecision
Admission::Offer(const CallId& aId,
                 const AdmissionRequest& aRequest,
                 TimePoint aNow)
{
  if (auto refusal = this->RefusalForState()) {
    return *refusal;
  }
  if (aRequest.deadline <= aNow) {
    return NotRun{ RefusalReason::Expired,
                   "the deadline passed before the call arrived" };
  }
  if (this->IsOtherTargetFaster(aRequest, aNow)) {
    return this->OverloadRefusal("another target is expected to finish sooner",
                                 Duration::zero());
  }
  const bool awaitsRecovery = this->ShouldAwaitRecovery(aRequest, aNow);
  const bool otherMayStart =
    std::ranges::any_of(this->queue, [&](const WaitingCall& aWaiting) {
      return this->MayStart(aWaiting.request, aNow);
    });
  if (this->running < this->UsableSlots(aNow) && !otherMayStart &&
      this->MayStart(aRequest, aNow) && this->warmup.TryStart(aNow)) {
    ++this->running;
    this->link.Add(aRequest.answerBytes, aNow);
    return StartNow{};
  }
  if (this->queue.size() >= this->limits.queueLength) {
    return this->OverloadRefusal("the queue is full", this->serviceTime);
  }
  const Duration wait = std::max(this->ExpectedWait(aRequest, aNow),
                                 this->ShouldAwaitLink(aRequest, aNow)
                                   ? this->link.Backlog(aNow) - kMaxLinkBacklog
                                   : Duration::zero());
  if (this->warmup.IsCold(aNow) &&
      (wait > this->limits.queueTime || this->IsLate(aRequest, wait, aNow))) {
    return this->WarmupRefusal(wait);
  }
  if (wait > this->limits.queueTime) {
    return this->OverloadRefusal("the expected wait in the queue is too long",
                                 wait);
  }
  const Duration finish =
    awaitsRecovery ? kRecovery + aRequest.work : wait + this->RunTime(aRequest);
  if (aNow + finish > aRequest.deadline) {
    return this->OverloadRefusal("the call cannot finish before its deadline",
                                 wait);
  }
  WaitingCall waiting{ aRequest,
                       aNow + this->limits.queueTime,
                       aNow + (aRequest.deadline - aNow) / kLateWaitDivisor,
                       aId };
  if (!awaitsRecovery && this->WaitsTooLongForLate(waiting, wait, aNow)) {
    return this->OverloadRefusal(
      "the call cannot meet its objective and would wait long", wait);
  }
  this->queue.push_back(waiting);
  return Queued{};
}

std::vector<DequeuedCall>
Admission::Finish(const FinishedCall& aCall, TimePoint aNow)
{
  --this->running;
  const bool first = this->serviceTime == Duration::zero();
  this->serviceTime +=
    (aCall.serviceTime - this->serviceTime) / (first ? 1 : kAverageSpan);
  const bool normalSpeed =
    aCall.slowness <= kNormalSpeed && this->slowness <= kNormalSpeed;
  if (aCall.work > Duration::zero() && normalSpeed && !this->IsRamping(aNow)) {
    const double ratio =
      std::chrono::duration<double>(aCall.serviceTime) / aCall.work;
    this->concurrency.Record(aCall.concurrency, ratio);
    this->crowdedFactor +=
      (std::min(ratio, kMaxCrowdedFactor) - this->crowdedFactor) / kAverageSpan;
  }
  return this->ProcessQueue(aNow);
}

std::vector<DequeuedCall>
Admission::ReleaseSlot(TimePoint aNow)
{
  --this->running;
  return this->ProcessQueue(aNow);
}

bool
Admission::Withdraw(const CallId& aId)
{
  const auto found = std::ranges::find(this->queue, aId, &WaitingCall::id);
  if (found == this->queue.end()) {
    return false;
  }
  this->queue.erase(found);
  return true;
}

std::vector<DequeuedCall>
Admission::SetSlowness(std::uint16_t aPercent, TimePoint aNow)
{
  constexpr double kPercent = 100;
  const double before = this->slowness;
  this->slowness = std::max(1.0, aPercent / kPercent);
  std::vector<DequeuedCall> dequeued;
  if (this->slowness > before) {
    std::erase_if(this->queue, [&](const WaitingCall& aWaiting) {
      const bool refused = this->IsOtherTargetFaster(aWaiting.request, aNow);
      if (refused) {
        dequeued.push_back({ aWaiting.id,
                             this->OverloadRefusal(
                               "the host became slow; another target is faster",
                               Duration::zero()) });
      }
      return refused;
    });
  }
  std::ranges::move(this->ProcessQueue(aNow), std::back_inserter(dequeued));
  return dequeued;
}

std::vector<DequeuedCall>
Admission::Tick(TimePoint aNow)
{
  if (this->state != TargetState::None &&
      aNow - this->announcedAt > this->limits.announcementTimeout) {
    this->state = TargetState::None;
    return this->RefuseAll();
  }
  return this->ProcessQueue(aNow);
}

LoadReport
Admission::Report(TimePoint aNow) const
{
  constexpr double kPercent = 100;
  std::uint16_t usable = this->concurrency.Limit();
  if (this->warmup.IsCold(aNow)) {
    const double used =
      this->warmup.Rate() *
      std::chrono::duration<double>(this->serviceTime).count();
    usable = static_cast<std::uint16_t>(
      std::clamp<double>(used, 1, std::max<std::uint16_t>(1, usable)));
  }
  return { this->running,
           static_cast<std::uint16_t>(this->queue.size()),
           usable,
           static_cast<std::uint16_t>(this->slowness * kPercent) };
}

std::uint16_t
Admission::UsableSlots(TimePoint aNow) const
{
  if (!this->IsRamping(aNow)) {
    return this->concurrency.Limit();
  }
  const Duration age = aNow - this->readySince;
  const double usableFraction =
    std::max(kRampStart,
             static_cast<double>(age.count()) /
               static_cast<double>(this->limits.ramp.count()));
  return std::max<std::uint16_t>(
    1, static_cast<std::uint16_t>(usableFraction * this->slots));
}

bool
Admission::IsRamping(TimePoint aNow) const
{
  return this->readySince != TimePoint{} &&
         aNow - this->readySince < this->limits.ramp;
}

std::optional<NotRun>
Admission::RefusalForState() const
{
  switch (this->state) {
    case TargetState::Ready:
      return std::nullopt;
    case TargetState::Leaving:
      return NotRun{ RefusalReason::Leaving, "the target is leaving" };
    case TargetState::Starting:
      return NotRun{ RefusalReason::NotReady, "the target is starting" };
    case TargetState::None:
      break;
  }
  return NotRun{ RefusalReason::NotReady,
                 "no target has announced itself here" };
}

Duration
Admission::UncrowdedTime(const AdmissionRequest& aRequest) const
{
  return aRequest.work == Duration::zero()
           ? this->serviceTime
           : std::chrono::duration_cast<Duration>(aRequest.work *
                                                  this->slowness);
}

Duration
Admission::RunTime(const AdmissionRequest& aRequest) const
{
  return aRequest.work == Duration::zero()
           ? this->serviceTime
           : std::chrono::duration_cast<Duration>(
               this->UncrowdedTime(aRequest) *
               std::max(1.0, this->crowdedFactor));
}

Duration
Admission::ExpectedWait(const AdmissionRequest& aRequest, TimePoint aNow) const
{
  const auto usable = std::max<std::uint16_t>(1, this->UsableSlots(aNow));
  if (this->running < usable && this->queue.empty()) {
    return this->warmup.TimeUntilStart(0, aNow);
  }
  const WaitingCall entry{ aRequest, TimePoint::max(), TimePoint::max(), {} };
  Duration ahead = this->serviceTime;
  std::size_t callsAhead = 0;
  for (const WaitingCall& waiting : this->queue) {
    if (!this->StartsBefore(entry, waiting, aNow)) {
      ahead += this->RunTime(waiting.request);
      ++callsAhead;
    }
  }
  return std::max<Duration>(ahead / usable,
                            this->warmup.TimeUntilStart(callsAhead, aNow));
}

bool
Admission::IsLate(const AdmissionRequest& aRequest,
                  Duration aWait,
                  TimePoint aNow) const
{
  return aRequest.objective != TimePoint::max() &&
         aNow + aWait + this->RunTime(aRequest) * kRunTimeMargin >
           aRequest.objective;
}

/// True if a call that has to wait would miss its objective, and would wait
/// longer than such calls may.
bool
Admission::WaitsTooLongForLate(const WaitingCall& aWaiting,
                               Duration aWait,
                               TimePoint aNow) const
{
  return this->IsLate(aWaiting.request, aWait, aNow) &&
         aNow + aWait > aWaiting.lateUntil;
}

bool
Admission::IsOtherTargetFaster(const AdmissionRequest& aRequest,
                               TimePoint aNow) const
{
  if (aRequest.alternative == Duration::zero()) {
    return false;
  }
  // The sender's estimate for the other target does not know how crowded that
  // is, so both are compared without it.
  const double factor = std::max(1.0, this->crowdedFactor);
  const auto here = std::chrono::duration_cast<Duration>(
    this->ExpectedWait(aRequest, aNow) / factor +
    this->UncrowdedTime(aRequest));
  return here > aRequest.alternative * kFasterFactor + kFasterMargin;
}

bool
Admission::MayStart(const AdmissionRequest& aRequest, TimePoint aNow) const
{
  return !this->ShouldAwaitRecovery(aRequest, aNow) &&
         !this->ShouldAwaitLink(aRequest, aNow);
}

bool
Admission::ShouldAwaitLink(const AdmissionRequest& aRequest,
                           TimePoint aNow) const
{
  return aRequest.answerBytes >= kLargeAnswer &&
         this->link.Backlog(aNow) > kMaxLinkBacklog;
}

/// True if a call that starts now would miss its objective or its deadline, and
/// one that starts when the host has recovered would probably meet it.
bool
Admission::ShouldAwaitRecovery(const AdmissionRequest& aRequest,
                               TimePoint aNow) const
{
  if (this->slowness < kSlow || aRequest.work == Duration::zero()) {
    return false;
  }
  const TimePoint finishIfNow = aNow + this->RunTime(aRequest);
  const TimePoint finishIfRecovered = aNow + kRecovery + aRequest.work;
  const auto onlyWaitingMeets = [&](TimePoint aBound) {
    return finishIfNow > aBound && finishIfRecovered <= aBound;
  };
  return onlyWaitingMeets(aRequest.objective) ||
         (finishIfNow > aRequest.objective &&
          onlyWaitingMeets(aRequest.deadline));
}

bool
Admission::StartsBefore(const WaitingCall& aLeft,
                        const WaitingCall& aRight,
                        TimePoint aNow) const
{
  const auto rank = [&](const WaitingCall& aWaiting) {
    const AdmissionRequest& request = aWaiting.request;
    const bool late = this->IsLate(request, Duration::zero(), aNow);
    return std::tuple(request.priority,
                      late,
                      late ? request.deadline : request.objective,
                      request.deadline);
  };
  return rank(aLeft) < rank(aRight);
}

NotRun
Admission::WarmupRefusal(Duration aWait) const
{
  NotRun refusal{ RefusalReason::WarmingUp,
                  "the target is cold and the call would wait too long" };
  refusal.retryAfter = std::chrono::duration_cast<Micros>(
    std::max<Duration>(kShortestRetryAfter, aWait));
  return refusal;
}

NotRun
Admission::OverloadRefusal(std::string aDetail, Duration aWait) const
{
  NotRun refusal{ RefusalReason::Overloaded, std::move(aDetail) };
  refusal.retryAfter = std::chrono::duration_cast<Micros>(
    std::max<Duration>(kShortestRetryAfter, aWait));
  return refusal;
}

std::vector<DequeuedCall>
Admission::RefuseAll()
{
  std::vector<DequeuedCall> refused;
  refused.reserve(this->queue.size());
  const NotRun refusal = *this->RefusalForState();
  for (const WaitingCall& waiting : this->queue) {
    refused.push_back({ waiting.id, refusal });
  }
  this->queue.clear();
  return refused;
}

std::vector<DequeuedCall>
Admission::ProcessQueue(TimePoint aNow)
{
  std::vector<DequeuedCall> dequeued;
  this->RefuseLate(aNow, dequeued);
  while (this->state == TargetState::Ready &&
         this->running < this->UsableSlots(aNow)) {
    auto best = this->queue.end();
    for (auto waiting = this->queue.begin(); waiting != this->queue.end();
         ++waiting) {
      const bool better =
        best == this->queue.end() || this->StartsBefore(*waiting, *best, aNow);
      if (better && this->MayStart(waiting->request, aNow)) {
        best = waiting;
      }
    }
    if (best == this->queue.end() || !this->warmup.TryStart(aNow)) {
      break;
    }
    dequeued.push_back({ best->id, StartNow{} });
    this->link.Add(best->request.answerBytes, aNow);
    this->queue.erase(best);
    ++this->running;
  }
  return dequeued;
}

/// Refuses calls that have waited for too long or can no longer meet their
/// deadline.
void
Admission::RefuseLate(TimePoint aNow, std::vector<DequeuedCall>& aDequeued)
{
  std::erase_if(this->queue, [&](const WaitingCall& aWaiting) {
    const AdmissionRequest& request = aWaiting.request;
    const Duration minimum = this->ShouldAwaitRecovery(request, aNow)
                               ? request.work
                               : this->RunTime(request);
    const bool refused = aWaiting.waitUntil <= aNow ||
                         aNow + minimum > request.deadline ||
                         (aWaiting.lateUntil <= aNow &&
                          this->IsLate(request, Duration::zero(), aNow) &&
                          !this->ShouldAwaitRecovery(request, aNow));
    if (refused) {
      aDequeued.push_back(
        { aWaiting.id,
          this->warmup.IsCold(aNow)
            ? this->WarmupRefusal(minimum)
            : this->OverloadRefusal(
                "the call waited too long or cannot finish before its deadline",
                minimum) });
    }
    return refused;
  });
}

}
