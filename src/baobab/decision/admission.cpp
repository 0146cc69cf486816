#include "baobab/decision/admission.hpp"

#include <algorithm>
#include <tuple>

namespace baobab {
namespace {

/// Weight of the newest sample in the moving average, as a divisor.
constexpr int kAverageSpan = 16;

/// Slowness from which it is worth waiting for the host to recover.
constexpr double kSlow = 2;

/// Time in which a slow host has usually recovered: neighbours that slow a
/// host down come and go within half a second.
constexpr Duration kRecovery = 300ms;

/// By how much another target must be believed faster before a call is refused
/// for its sake: estimates err, and the way there takes time.
constexpr double kFasterFactor = 1.2;
constexpr Duration kFasterMargin = 10ms;

/// Shortest advice when to come back.
constexpr Duration kShortestReturn = 100ms;

/// First usable fraction of the slots of a target that became ready.
constexpr double kRampStart = 0.1;

}

Admission::Admission(AdmissionLimits aLimits)
  : limits(aLimits)
{
}

std::vector<Dequeued>
Admission::Announce(const Announcement& aAnnouncement, TimePoint aNow)
{
  const bool becameReady = aAnnouncement.state == TargetState::Ready &&
                           this->state != TargetState::Ready;
  const bool seenBefore = this->heardAt != TimePoint{};
  if (becameReady && seenBefore) {
    this->readySince = aNow;
  }
  this->service = aAnnouncement.service;
  this->slots = aAnnouncement.slots;
  this->state = aAnnouncement.state;
  this->heardAt = aNow;
  return this->state == TargetState::Ready ? this->Drain(aNow)
                                           : this->RefuseAll();
}

AdmissionDecision
Admission::Offer(const CallId& aId,
                 const AdmissionRequest& aTerms,
                 TimePoint aNow)
{
  if (auto refusal = this->RefusalForState()) {
    return *refusal;
  }
  if (aTerms.deadline <= aNow) {
    return NotRun{ RefusalReason::Expired, "the deadline passed on the way" };
  }
  if (this->FasterElsewhere(aTerms, aNow)) {
    return this->Overload("another target is believed to finish sooner",
                          Duration::zero());
  }
  const bool recovers = this->AwaitsRecovery(aTerms, aNow);
  if (this->running < this->UsableSlots(aNow) && this->queue.empty() &&
      !recovers) {
    ++this->running;
    return StartNow{};
  }
  if (this->queue.size() >= this->limits.queueLength) {
    return this->Overload("the queue is full", this->serviceTime);
  }
  const Duration wait = this->ExpectedWait(aTerms, aNow);
  if (wait > this->limits.queueTime) {
    return this->Overload("the queue is too slow", wait);
  }
  const Duration finish =
    recovers ? kRecovery + aTerms.work : wait + this->RunTime(aTerms);
  if (aNow + finish > aTerms.deadline) {
    return this->Overload("the deadline would pass in the queue", wait);
  }
  this->queue.push_back({ aTerms, aNow + this->limits.queueTime, aId });
  return Queued{};
}

std::vector<Dequeued>
Admission::Finish(Duration aServiceTime, TimePoint aNow)
{
  --this->running;
  const bool first = this->serviceTime == Duration::zero();
  this->serviceTime +=
    (aServiceTime - this->serviceTime) / (first ? 1 : kAverageSpan);
  return this->Drain(aNow);
}

std::vector<Dequeued>
Admission::ReleaseSlot(TimePoint aNow)
{
  --this->running;
  return this->Drain(aNow);
}

bool
Admission::Withdraw(const CallId& aId)
{
  const auto found = std::ranges::find(this->queue, aId, &Waiting::id);
  if (found == this->queue.end()) {
    return false;
  }
  this->queue.erase(found);
  return true;
}

std::vector<Dequeued>
Admission::SetSlowness(std::uint16_t aPercent, TimePoint aNow)
{
  constexpr double kPercent = 100;
  const double before = this->slowness;
  this->slowness = std::max(1.0, aPercent / kPercent);
  std::vector<Dequeued> leaving;
  if (this->slowness > before) {
    std::erase_if(this->queue, [&](const Waiting& aWaiting) {
      const bool leaves = this->FasterElsewhere(aWaiting.terms, aNow);
      if (leaves) {
        leaving.push_back(
          { aWaiting.id,
            this->Overload("the host has turned slow", Duration::zero()) });
      }
      return leaves;
    });
  }
  std::ranges::move(this->Drain(aNow), std::back_inserter(leaving));
  return leaving;
}

std::vector<Dequeued>
Admission::Tick(TimePoint aNow)
{
  if (this->state != TargetState::None &&
      aNow - this->heardAt > this->limits.announcementTimeout) {
    this->state = TargetState::None;
    return this->RefuseAll();
  }
  return this->Drain(aNow);
}

LoadReport
Admission::Report() const
{
  constexpr double kPercent = 100;
  return { this->running,
           static_cast<std::uint16_t>(this->queue.size()),
           this->slots,
           static_cast<std::uint16_t>(this->slowness * kPercent) };
}

std::uint16_t
Admission::UsableSlots(TimePoint aNow) const
{
  const Duration age = aNow - this->readySince;
  if (this->readySince == TimePoint{} || age >= this->limits.ramp) {
    return this->slots;
  }
  const double part =
    std::max(kRampStart,
             static_cast<double>(age.count()) /
               static_cast<double>(this->limits.ramp.count()));
  return std::max<std::uint16_t>(
    1, static_cast<std::uint16_t>(part * this->slots));
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
  return NotRun{ RefusalReason::NotReady, "no target is announced here" };
}

Duration
Admission::RunTime(const AdmissionRequest& aTerms) const
{
  return aTerms.work == Duration::zero()
           ? this->serviceTime
           : std::chrono::duration_cast<Duration>(aTerms.work * this->slowness);
}

Duration
Admission::ExpectedWait(const AdmissionRequest& aTerms, TimePoint aNow) const
{
  const auto usable = std::max<std::uint16_t>(1, this->UsableSlots(aNow));
  if (this->running < usable && this->queue.empty()) {
    return Duration::zero();
  }
  const Waiting entry{ aTerms, TimePoint::max(), {} };
  const auto ahead =
    std::ranges::count_if(this->queue, [&](const Waiting& aWaiting) {
      return !this->GoesFirst(entry, aWaiting, aNow);
    });
  return this->serviceTime * (ahead + 1) / usable;
}

bool
Admission::FasterElsewhere(const AdmissionRequest& aTerms, TimePoint aNow) const
{
  if (aTerms.alternative == Duration::zero()) {
    return false;
  }
  const Duration here =
    this->ExpectedWait(aTerms, aNow) + this->RunTime(aTerms);
  return here > aTerms.alternative * kFasterFactor + kFasterMargin;
}

/// True if a call that starts now would be late, and one that waits for the
/// host to recover would probably not.
bool
Admission::AwaitsRecovery(const AdmissionRequest& aTerms, TimePoint aNow) const
{
  if (this->slowness < kSlow || aTerms.work == Duration::zero()) {
    return false;
  }
  const TimePoint now = aNow + this->RunTime(aTerms);
  const TimePoint later = aNow + kRecovery + aTerms.work;
  const auto helps = [&](TimePoint aBound) {
    return now > aBound && later <= aBound;
  };
  return helps(aTerms.objective) ||
         (now > aTerms.objective && helps(aTerms.deadline));
}

bool
Admission::GoesFirst(const Waiting& aLeft,
                     const Waiting& aRight,
                     TimePoint aNow) const
{
  const auto rank = [&](const Waiting& aWaiting) {
    const AdmissionRequest& terms = aWaiting.terms;
    const bool hopeless = terms.objective != TimePoint::max() &&
                          aNow + this->RunTime(terms) > terms.objective;
    return std::tuple(terms.priority,
                      hopeless,
                      hopeless ? terms.deadline : terms.objective,
                      terms.deadline);
  };
  return rank(aLeft) < rank(aRight);
}

NotRun
Admission::Overload(std::string aDetail, Duration aWait) const
{
  NotRun refusal{ RefusalReason::Overloaded, std::move(aDetail) };
  refusal.retryAfter = std::chrono::duration_cast<Micros>(
    std::max<Duration>(kShortestReturn, aWait / 2));
  return refusal;
}

std::vector<Dequeued>
Admission::RefuseAll()
{
  std::vector<Dequeued> refused;
  refused.reserve(this->queue.size());
  const NotRun refusal = *this->RefusalForState();
  for (const Waiting& waiting : this->queue) {
    refused.push_back({ waiting.id, refusal });
  }
  this->queue.clear();
  return refused;
}

std::vector<Dequeued>
Admission::Drain(TimePoint aNow)
{
  std::vector<Dequeued> leaving;
  this->DropLate(aNow, leaving);
  while (this->state == TargetState::Ready &&
         this->running < this->UsableSlots(aNow)) {
    auto best = this->queue.end();
    for (auto waiting = this->queue.begin(); waiting != this->queue.end();
         ++waiting) {
      const bool better =
        best == this->queue.end() || this->GoesFirst(*waiting, *best, aNow);
      if (better && !this->AwaitsRecovery(waiting->terms, aNow)) {
        best = waiting;
      }
    }
    if (best == this->queue.end()) {
      break;
    }
    leaving.push_back({ best->id, StartNow{} });
    this->queue.erase(best);
    ++this->running;
  }
  return leaving;
}

/// Refuses what has waited too long, or can no longer be answered in time.
void
Admission::DropLate(TimePoint aNow, std::vector<Dequeued>& aLeaving)
{
  std::erase_if(this->queue, [&](const Waiting& aWaiting) {
    const AdmissionRequest& terms = aWaiting.terms;
    const Duration least =
      terms.work == Duration::zero() ? this->serviceTime : terms.work;
    const bool late = aWaiting.leaveBy <= aNow || aNow + least > terms.deadline;
    if (late) {
      aLeaving.push_back(
        { aWaiting.id, this->Overload("it waited too long", least) });
    }
    return late;
  });
}

}
