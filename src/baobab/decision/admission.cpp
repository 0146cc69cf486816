#include "baobab/decision/admission.hpp"

#include <algorithm>

namespace baobab {
namespace {

/// Weight of the newest sample in the moving average, as a divisor.
constexpr int kAverageSpan = 16;

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

AdmissionAnswer
Admission::Offer(const CallId& aId, TimePoint aDeadline, TimePoint aNow)
{
  if (auto refusal = this->RefusalForState()) {
    return *refusal;
  }
  if (aDeadline <= aNow) {
    return NotRun{ RefusalReason::Expired, "the deadline passed on the way" };
  }
  if (this->running < this->UsableSlots(aNow) && this->queue.empty()) {
    ++this->running;
    return StartNow{};
  }
  if (this->queue.size() >= this->limits.queueLength) {
    return NotRun{ RefusalReason::Overloaded, "the queue is full" };
  }
  const Duration wait = this->ExpectedWait(aNow);
  if (wait > this->limits.queueTime) {
    return NotRun{ RefusalReason::Overloaded, "the queue is too slow" };
  }
  if (aNow + wait + this->serviceTime > aDeadline) {
    return NotRun{ RefusalReason::Overloaded,
                   "the deadline would pass in the queue" };
  }
  this->queue.insert({ aDeadline, aNow + this->limits.queueTime, aId });
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
Admission::Abandon(TimePoint aNow)
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
Admission::Tick(TimePoint aNow)
{
  if (this->state != TargetState::None &&
      aNow - this->heardAt > this->limits.lapse) {
    this->state = TargetState::None;
    return this->RefuseAll();
  }
  return this->Drain(aNow);
}

LoadReport
Admission::Report() const
{
  return { this->running,
           static_cast<std::uint16_t>(this->queue.size()),
           this->slots };
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
Admission::ExpectedWait(TimePoint aNow) const
{
  const auto usable = std::max<std::uint16_t>(1, this->UsableSlots(aNow));
  return this->serviceTime * (this->queue.size() + 1) / usable;
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
  std::erase_if(this->queue, [&](const Waiting& aWaiting) {
    const bool late =
      aWaiting.leaveBy <= aNow || aNow + this->serviceTime > aWaiting.deadline;
    if (late) {
      leaving.push_back(
        { aWaiting.id,
          NotRun{ RefusalReason::Overloaded, "it waited too long" } });
    }
    return late;
  });
  while (this->state == TargetState::Ready && !this->queue.empty() &&
         this->running < this->UsableSlots(aNow)) {
    leaving.push_back({ this->queue.begin()->id, StartNow{} });
    this->queue.erase(this->queue.begin());
    ++this->running;
  }
  return leaving;
}

}
