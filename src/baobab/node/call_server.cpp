#include "baobab/node/call_server.hpp"

#include "baobab/core/result.hpp"
#include "baobab/net/clock.hpp"
#include "baobab/net/http_server.hpp"
#include "baobab/net/log.hpp"
#include "baobab/net/log_events.hpp"
#include "baobab/net/worker.hpp"
#include "baobab/node/admission_log.hpp"
#include "baobab/node/target_probe.hpp"

#include <algorithm>
#include <boost/fiber/operations.hpp>
#include <cstdlib>

namespace baobab {
namespace {

AdmissionLimits
LimitsOf(const ServiceSpec& aSpec, const Settings& aSettings)
{
  return { static_cast<std::size_t>(aSpec.limits.queueLength),
           aSpec.limits.queueTime,
           aSpec.ramp,
           aSettings.timeouts.announcement };
}

}

CallServer::CallServer(TargetClient& aTarget,
                       Quarantine& aQuarantine,
                       RouteLookup aLookup,
                       const Settings& aSettings)
  : target(aTarget)
  , quarantine(aQuarantine)
  , lookup(std::move(aLookup))
  , settings(aSettings)
  , crashes(aTarget, aQuarantine, [this] { return this->SuspicionLifetime(); })
{
  this->crashes.onSuspectsChanged = [this] {
    if (this->onSuspects) {
      this->onSuspects();
    }
  };
}

bool
CallServer::Open(const SenderConnection& aConnection)
{
  const OpenedConnection opened =
    this->ledger.Open(aConnection.sender, aConnection.number);
  if (!opened.accepted) {
    return false;
  }
  SenderConnection& current = this->senders[aConnection.sender];
  if (opened.retired && current.frames) {
    // Closing discards what the retired connection may still hold.
    current.frames->Close();
    this->ledger.Close(aConnection.sender, *opened.retired, Now());
  }
  current = aConnection;
  return true;
}

void
CallServer::Close(const SenderConnection& aConnection)
{
  this->ledger.Close(aConnection.sender, aConnection.number, Now());
  const auto found = this->senders.find(aConnection.sender);
  if (found != this->senders.end() &&
      found->second.number == aConnection.number) {
    this->senders.erase(found);
  }
}

void
CallServer::OnCall(const SenderConnection& aConnection, CallMessage aCall)
{
  const TimePoint deadline = Now() + aCall.remaining;
  this->lastCallAt = Now();
  if (SenderConnection* sender = ConnectionOf(this->senders, aCall.id)) {
    sender->lastCall = this->lastCallAt;
  }
  if (!this->ledger.Admit(aCall.id, aConnection.number, deadline)) {
    return;
  }
  this->Decide(std::move(aCall), deadline);
}

void
CallServer::Decide(CallMessage aCall, TimePoint aDeadline)
{
  const TimePoint now = Now();
  if (auto refusal = this->RefusalOf(aCall)) {
    this->RefuseCall(aCall, std::move(*refusal), now, aDeadline);
    return;
  }
  const CallId id = aCall.id;
  WaitTerms terms(aDeadline);
  terms.objective = now + aCall.objective;
  terms.priority = aCall.priority;
  terms.work = aCall.work;
  terms.alternative = aCall.alternative;
  const AdmissionAnswer answer = this->admission.Offer(id, terms, now);
  std::visit(
    Overloaded{
      [&](const StartNow&) {
        this->Start({ std::move(aCall), now, aDeadline });
      },
      [&](const Queued&) {
        if (aCall.traced) {
          LogQueued(this->Logged(aCall, now, aDeadline),
                    aCall.priority,
                    this->admission.Report());
        }
        this->waiting.emplace(id, Waiting{ std::move(aCall), now, aDeadline });
        this->SpreadLoad();
      },
      [&](const NotRun& aRefusal) {
        this->RefuseCall(aCall, aRefusal, now, aDeadline);
      },
    },
    answer);
}

/// Why a call may not even wait; nothing if it may.
std::optional<NotRun>
CallServer::RefusalOf(const CallMessage& aCall)
{
  if (this->leaving) {
    return NotRun{ RefusalReason::Leaving, "the daemon shuts down" };
  }
  if (aCall.request.service != this->admission.Service()) {
    return NotRun{ RefusalReason::WrongService, "another service runs here" };
  }
  const auto route = this->lookup(aCall.request.service);
  if (!route) {
    return std::nullopt;
  }
  const ServiceSpec& spec = route->service->spec;
  this->admission.SetLimits(LimitsOf(spec, this->settings));
  if (this->quarantine.Size() == 0) {
    return std::nullopt;
  }
  const Verdict verdict = this->quarantine.Judge(
    FingerprintOf(aCall.request), spec.quarantine.threshold, Now());
  if (verdict == Verdict::Refuse) {
    return NotRun{ RefusalReason::Quarantined,
                   "requests like this one crash the targets" };
  }
  if (verdict == Verdict::Isolate && this->AnotherSuspectRuns()) {
    return NotRun{ RefusalReason::Overloaded,
                   "another request under suspicion is running" };
  }
  return std::nullopt;
}

void
CallServer::OnAsk(const SenderConnection& aConnection, const AskMessage& aAsk)
{
  const Fate fate = this->ledger.Ask(aAsk.id, aAsk.sentOn);
  FrameConnection& frames = *aConnection.frames;
  std::visit(
    Overloaded{
      [&](const FateNotRun&) {
        Log(kCallFenced, aAsk.id);
        if (this->admission.Withdraw(aAsk.id)) {
          this->waiting.erase(aAsk.id);
        }
        frames.Send(RefusalMessage{
          aAsk.id,
          { RefusalReason::Fenced, "the call was lost on the way" },
          std::nullopt });
      },
      [&](const FateRunning&) { frames.Send(RunningMessage{ aAsk.id }); },
      [&](const FateDone& aDone) {
        frames.Send(AnswerMessage{ aAsk.id, aDone.response, std::nullopt });
      },
      [&](const FateUnknown&) { frames.Send(LostMessage{ aAsk.id }); },
    },
    fate);
}

void
CallServer::OnRelease(const ReleaseMessage& aRelease)
{
  this->ledger.Release(aRelease.id);
}

void
CallServer::OnCancel(const CancelMessage& aCancel)
{
  if (this->admission.Withdraw(aCancel.id)) {
    this->RefuseWaiting(aCancel.id, { RefusalReason::Cancelled, "cancelled" });
    return;
  }
  const auto found = this->running.find(aCancel.id);
  if (found != this->running.end() && !aCancel.waitingOnly) {
    found->second.control.Cancel();
  }
}

void
CallServer::Announce(const TargetAnnouncement& aAnnouncement)
{
  const TargetState before = this->admission.State();
  if (!this->targets.Accept(aAnnouncement)) {
    Log(kAnnouncementOutdated, aAnnouncement.instance, aAnnouncement.sequence);
    return;
  }
  this->target.SetTarget(aAnnouncement.address, aAnnouncement.instance);
  this->Settle(this->admission.Announce(aAnnouncement.announcement, Now()));
  if (this->admission.State() != before) {
    Log(kTargetState,
        aAnnouncement.instance,
        Name(this->admission.State()),
        aAnnouncement.announcement.slots);
  }
}

void
CallServer::Depart(std::string_view aInstance)
{
  if (!this->targets.Depart(aInstance)) {
    return;
  }
  Announcement gone = this->targets.Current().announcement;
  gone.state = TargetState::Leaving;
  this->Settle(this->admission.Announce(gone, Now()));
  Log(kTargetDeparted, aInstance);
}

void
CallServer::Discover(std::string_view aService,
                     const Endpoint& aAddress,
                     std::string_view aHealthPath)
{
  this->target.SetTarget(aAddress, "");
  const auto probed = ProbeTarget(this->target, aHealthPath, this->settings);
  if (!probed || this->admission.State() != TargetState::None) {
    return;
  }
  TargetAnnouncement found;
  found.instance = probed->instance;
  found.address = aAddress;
  found.announcement = { std::string(aService),
                         probed->load.slots,
                         TargetState::Ready };
  this->Announce(found);
}

void
CallServer::Tick()
{
  this->Settle(this->admission.Tick(Now()));
  this->ledger.Expire(Now());
  this->quarantine.Expire(Now());
}

void
CallServer::StartLeaving()
{
  this->leaving = true;
  std::vector<CallId> ids;
  std::ranges::transform(this->waiting,
                         std::back_inserter(ids),
                         [](const auto& aItem) { return aItem.first; });
  for (const CallId& id : ids) {
    this->admission.Withdraw(id);
    this->RefuseWaiting(id,
                        { RefusalReason::Leaving, "the daemon shuts down" });
  }
}

std::size_t
CallServer::InFlight() const
{
  return this->running.size() + this->waiting.size();
}

TargetState
CallServer::State() const
{
  return this->leaving ? TargetState::Leaving : this->admission.State();
}

void
CallServer::Settle(const std::vector<Dequeued>& aDequeued)
{
  for (const Dequeued& dequeued : aDequeued) {
    if (const auto* refusal = std::get_if<NotRun>(&dequeued.answer)) {
      this->RefuseWaiting(dequeued.id, *refusal);
    } else if (auto found = this->waiting.extract(dequeued.id)) {
      this->Start(std::move(found.mapped()));
    }
  }
}

/// Refuses a call that has left the queue.
void
CallServer::RefuseWaiting(const CallId& aId, NotRun aRefusal)
{
  if (const auto found = this->waiting.extract(aId)) {
    const Waiting& waiting = found.mapped();
    this->RefuseCall(
      waiting.call, std::move(aRefusal), waiting.arrived, waiting.deadline);
  }
}

/// Refuses a call and logs what decided it.
void
CallServer::RefuseCall(const CallMessage& aCall,
                       NotRun aRefusal,
                       TimePoint aArrived,
                       TimePoint aDeadline)
{
  ++this->stats.refusals[aRefusal.reason];
  LogRefused(this->Logged(aCall, aArrived, aDeadline),
             aRefusal,
             this->admission.Report());
  this->Refuse(aCall.id, std::move(aRefusal));
}

void
CallServer::Refuse(const CallId& aId, NotRun aRefusal)
{
  this->ledger.Refuse(aId);
  if (SenderConnection* connection = ConnectionOf(this->senders, aId)) {
    connection->frames->Send(
      RefusalMessage{ aId, std::move(aRefusal), this->ReportFor(aId) });
  }
}

void
CallServer::Start(Waiting aWaiting)
{
  const CallId id = aWaiting.call.id;
  if (!this->ledger.Start(id)) {
    this->Settle(this->admission.Abandon(Now()));
    return;
  }
  // The entry stands before the fiber runs, so that a cancel that follows the
  // call at once finds it.
  constexpr double kPercent = 100;
  Running& running = this->running.try_emplace(id).first->second;
  running.arrived = aWaiting.arrived;
  running.began = Now();
  running.deadline = aWaiting.deadline;
  running.objective = aWaiting.arrived + aWaiting.call.objective;
  running.slowness = this->admission.Report().slowness / kPercent;
  if (aWaiting.call.traced) {
    LogStarted(this->Logged(aWaiting.call, aWaiting.arrived, aWaiting.deadline),
               this->admission.Report());
  }
  this->SpreadLoad();
  Spawn([this, call = std::move(aWaiting.call), deadline = aWaiting.deadline] {
    this->RunCall(call, deadline);
  });
}

void
CallServer::RunCall(const CallMessage& aCall, TimePoint aDeadline)
{
  const Fingerprint fingerprint = FingerprintOf(aCall.request);
  const auto route = this->lookup(aCall.request.service);
  static const ServiceSpec defaults;
  const ServiceSpec& spec = route ? route->service->spec : defaults;
  Running& state = this->running.at(aCall.id);
  state.suspect =
    this->quarantine.Size() > 0 &&
    this->quarantine.Judge(fingerprint, spec.quarantine.threshold, Now()) !=
      Verdict::Allow;
  TargetResult result =
    this->target.Run({ aCall.id,
                       aCall.request,
                       aCall.idempotent,
                       aDeadline,
                       static_cast<std::size_t>(spec.limits.answerBytes) },
                     state.control);
  const Running ended = state;
  this->running.erase(aCall.id);
  if (result.broken && !ended.control.cancelled) {
    this->NoteBroken(fingerprint);
  }
  if (result.load) {
    this->TakeLoad(*result.load);
  }
  const TimePoint now = Now();
  this->Settle(std::holds_alternative<NotRun>(result.outcome)
                 ? this->admission.Abandon(now)
                 : this->admission.Finish(now - ended.began, now));
  if (std::holds_alternative<Answered>(result.outcome) &&
      this->quarantine.Size() > 0) {
    this->quarantine.Completed(fingerprint, now);
  }
  this->Conclude(aCall, std::move(result), ended);
  this->SpreadLoad();
}

void
CallServer::TakeLoad(const LoadReport& aLoad)
{
  this->loadKnownAt = Now();
  this->Settle(this->admission.SetSlowness(aLoad.slowness, Now()));
}

void
CallServer::SpreadLoad()
{
  if (const auto route = this->lookup(this->admission.Service())) {
    this->reporter.Broadcast(this->admission.Report(), *route->state);
  }
}

void
CallServer::RunLoadProbes()
{
  const Duration period = this->settings.control.loadProbe;
  if (period == Duration::zero()) {
    return;
  }
  while (true) {
    const TimePoint due = this->loadKnownAt + period;
    const bool busy = Now() - this->lastCallAt < kLoadUpdateWindow;
    if (Now() < due || !busy) {
      boost::this_fiber::sleep_for(busy ? std::max<Duration>(due - Now(), 1ms)
                                        : period);
      continue;
    }
    const auto route = this->lookup(this->admission.Service());
    this->loadKnownAt = Now();
    if (!route || route->service->spec.healthPath.empty()) {
      continue;
    }
    const auto load =
      ProbeLoad(this->target, route->service->spec.healthPath, this->settings);
    if (load) {
      this->TakeLoad(*load);
      this->SpreadLoad();
    }
  }
}

void
CallServer::Conclude(const CallMessage& aCall,
                     TargetResult aResult,
                     const Running& aRun)
{
  std::visit(Overloaded{
               [&](Answered& aAnswered) {
                 this->Answer(aCall, std::move(aAnswered.response), aRun);
               },
               [&](NotRun& aRefusal) {
                 this->RefuseCall(
                   aCall, std::move(aRefusal), aRun.arrived, aRun.deadline);
               },
               [&](OutcomeUnknown& aUnknown) {
                 this->Lose(aCall, aUnknown.cause, aRun);
               },
             },
             aResult.outcome);
}

/// Hands the target's answer to the sender of the call. It is kept until the
/// sender has it.
void
CallServer::Answer(const CallMessage& aCall,
                   Response aResponse,
                   const Running& aRun)
{
  const CallId& id = aCall.id;
  const TimePoint now = Now();
  const Duration ran = now - aRun.began;
  this->stats.queueWaits.Record(aRun.began - aRun.arrived);
  this->stats.targetTimes.Record(ran);
  if (aCall.traced || now > aRun.objective) {
    LogFinished(this->Logged(aCall, aRun.arrived, aRun.deadline),
                aResponse.status,
                aRun.began,
                aRun.slowness);
  }
  SenderConnection* connection = ConnectionOf(this->senders, id);
  if (connection == nullptr) {
    this->ledger.Finish(id, std::move(aResponse));
    return;
  }
  AnswerMessage message{
    id,
    std::move(aResponse),
    this->ReportFor(id),
    std::chrono::duration_cast<Micros>(ran / aRun.slowness),
    std::chrono::duration_cast<Micros>(now - aRun.arrived)
  };
  connection->frames->Send(message);
  this->ledger.Finish(id, std::move(message.response));
}

/// Tells the sender of a call that its outcome is unknown.
void
CallServer::Lose(const CallMessage& aCall,
                 UnknownCause aCause,
                 const Running& aRun)
{
  ++this->stats.lost;
  LogLost(this->Logged(aCall, aRun.arrived, aRun.deadline),
          aCause,
          aRun.began,
          aRun.slowness);
  this->ledger.Lose(aCall.id);
  if (SenderConnection* connection = ConnectionOf(this->senders, aCall.id)) {
    connection->frames->Send(LostMessage{ aCall.id });
  }
}

bool
CallServer::AnotherSuspectRuns() const
{
  return std::ranges::any_of(
    this->running, [](const auto& aItem) { return aItem.second.suspect; });
}

void
CallServer::NoteBroken(Fingerprint aFingerprint)
{
  std::vector<CallId> together;
  std::ranges::transform(this->running,
                         std::back_inserter(together),
                         [](const auto& aItem) { return aItem.first; });
  this->crashes.OnConnectionLost(
    aFingerprint, std::move(together), [this](const CallId& aId) {
      return this->running.contains(aId);
    });
}

Duration
CallServer::SuspicionLifetime() const
{
  const auto route = this->lookup(this->admission.Service());
  return route ? route->service->spec.quarantine.lifetime
               : QuarantineSpec{}.lifetime;
}

/// Load report that travels with a message about a call.
std::optional<LoadReport>
CallServer::ReportFor(const CallId& aId)
{
  SenderConnection* connection = ConnectionOf(this->senders, aId);
  const auto route = this->lookup(this->admission.Service());
  if (connection == nullptr || !route) {
    return std::nullopt;
  }
  return this->reporter.PiggybackReport(
    *connection, this->admission.Report(), *route->state);
}

LoggedCall
CallServer::Logged(const CallMessage& aCall,
                   TimePoint aArrived,
                   TimePoint aDeadline) const
{
  const std::string& header = this->settings.headers.requestId;
  return {
    FindHeader(aCall.request.headers, header), aCall.id, aArrived, aDeadline
  };
}

}
