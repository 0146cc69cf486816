#include "baobab/node/call_server.hpp"

#include "baobab/core/result.hpp"
#include "baobab/net/clock.hpp"
#include "baobab/net/http_server.hpp"
#include "baobab/net/log.hpp"
#include "baobab/net/log_events.hpp"
#include "baobab/net/worker.hpp"
#include "baobab/node/admission_log.hpp"

#include <algorithm>
#include <boost/fiber/operations.hpp>
#include <cstdlib>

namespace baobab {
namespace {

/// Largest expected size of an answer that is accepted from a sender.
constexpr std::uint64_t kMaxAnswerBytes = 64U << 20U;

/// Size of an answer from which on it is sent without a copy.
constexpr std::size_t kLargeAnswerBytes = 256U << 10U;

/// Time for which a target that did not say whether it is cold is not asked
/// again.
constexpr Duration kUnansweredWarmthPause = 200ms;

/// Time between checks whether the service of an announcement is known.
constexpr Duration kServicePeriod = 50ms;

/// Time since its last call for which a sender takes part in turns.
constexpr Duration kActiveSenderWindow = 5s;

AdmissionLimits
AdmissionLimitsOf(const ServiceSpec& aSpec, const Settings& aSettings)
{
  return { static_cast<std::size_t>(aSpec.limits.queueLength),
           aSpec.limits.queueTime,
           aSpec.ramp,
           aSettings.timeouts.announcement };
}

NotRun
EvacuationRefusal()
{
  return { RefusalReason::Evacuated,
           "the target's availability zone is evacuated" };
}

}

CallServer::CallServer(TargetClient& aTarget,
                       Quarantine& aQuarantine,
                       ServiceLookup aFindService,
                       const Settings& aSettings)
  : target(aTarget)
  , quarantine(aQuarantine)
  , findService(std::move(aFindService))
  , settings(aSettings)
  , crashDetector(aTarget,
                  aQuarantine,
                  [this] { return this->SuspicionLifetime(); })
  , announcements(aSettings.timeouts.announcement, Now())
{
  constexpr double kBytesPerMegabit = 1e6 / 8;
  this->admission.SetLinkRate(aSettings.linkMbps * kBytesPerMegabit);
  this->crashDetector.onSuspectsChanged = [this] {
    if (this->onSuspectsChanged) {
      this->onSuspectsChanged();
    }
  };
}

bool
CallServer::AddConnection(const SenderConnection& aConnection)
{
  const OpenedConnection opened =
    this->ledger.Open(aConnection.sender, aConnection.number);
  if (!opened.accepted) {
    return false;
  }
  SenderConnection& current = this->senders[aConnection.sender];
  if (opened.retired && current.frames) {
    // Messages that were received on the old connection and not yet read are
    // discarded.
    current.frames->Close();
    this->ledger.Close(aConnection.sender, *opened.retired, Now());
  }
  current = aConnection;
  return true;
}

void
CallServer::RemoveConnection(const SenderConnection& aConnection)
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
  if (SenderConnection* sender = FindConnection(this->senders, aCall.id)) {
    sender->lastCallAt = this->lastCallAt;
  }
  if (!this->ledger.RecordArrival(aCall.id, aConnection.number, deadline)) {
    return;
  }
  this->Admit(std::move(aCall), deadline);
}

void
CallServer::Admit(CallMessage aCall, TimePoint aDeadline)
{
  const TimePoint now = Now();
  if (auto refusal = this->EarlyRefusal(aCall)) {
    this->RefuseCall(aCall, std::move(*refusal), now, aDeadline);
    return;
  }
  const CallId id = aCall.id;
  AdmissionRequest admissionRequest(aDeadline);
  admissionRequest.objective = now + aCall.objective;
  admissionRequest.priority = aCall.priority;
  admissionRequest.work = aCall.work;
  admissionRequest.alternative = aCall.alternative;
  admissionRequest.answerBytes = static_cast<std::int64_t>(
    std::min<std::uint64_t>(aCall.answerBytes, kMaxAnswerBytes));
  const AdmissionDecision decision =
    this->admission.Offer(id, admissionRequest, now);
  std::visit(Overloaded{
               [&](const StartNow&) {
                 this->ApplyDequeued(
                   this->StartCall({ std::move(aCall), now, aDeadline }));
               },
               [&](const Queued&) {
                 if (aCall.traced) {
                   LogQueued(this->ToLoggedCall(aCall, now, aDeadline),
                             aCall.priority,
                             this->admission.Report(Now()));
                 }
                 this->waiting.emplace(
                   id, WaitingCall{ std::move(aCall), now, aDeadline });
                 this->SendLoadUpdates();
               },
               [&](const NotRun& aRefusal) {
                 this->RefuseCall(aCall, aRefusal, now, aDeadline);
               },
             },
             decision);
}

/// Returns why a call is refused without asking admission control; nothing if
/// it is not.
std::optional<NotRun>
CallServer::EarlyRefusal(const CallMessage& aCall)
{
  if (this->shuttingDown) {
    return NotRun{ RefusalReason::Leaving, "the daemon is shutting down" };
  }
  if (aCall.request.held.Refused()) {
    return NotRun{ RefusalReason::OutOfMemory,
                   "the host has no memory left for the request" };
  }
  if (this->evacuated) {
    return EvacuationRefusal();
  }
  if (aCall.request.service != this->admission.Service()) {
    return NotRun{ RefusalReason::WrongService,
                   "the target runs another service" };
  }
  if (aCall.targetLimit) {
    this->requestLimit.OnReport(*aCall.targetLimit, Now());
  }
  if (this->requestLimit.TimeUntilNext(Now()) > Duration::zero()) {
    return this->LimitRefusal();
  }
  const auto route = this->findService(aCall.request.service);
  if (!route) {
    return std::nullopt;
  }
  const ServiceSpec& spec = route->service->spec;
  this->admission.SetLimits(AdmissionLimitsOf(spec, this->settings));
  this->admission.Warmup().Configure(spec.warmup.ratePerSecond,
                                     this->IsAskedForWarmth(spec));
  if (this->quarantine.Size() == 0) {
    return std::nullopt;
  }
  const Verdict verdict = this->quarantine.Evaluate(
    FingerprintOf(aCall.request), spec.quarantine.threshold, Now());
  if (verdict == Verdict::Refuse) {
    return NotRun{ RefusalReason::Quarantined,
                   std::string(kQuarantinedDetail) };
  }
  if (verdict == Verdict::Isolate && this->IsSuspectRunning()) {
    return NotRun{ RefusalReason::Overloaded,
                   "another request suspected of crashing targets is running" };
  }
  return std::nullopt;
}

void
CallServer::OnOutcomeQuery(const SenderConnection& aConnection,
                           const OutcomeQueryMessage& aQuery)
{
  const CallStatus status = this->ledger.QueryStatus(aQuery.id, aQuery.sentOn);
  FrameConnection& frames = *aConnection.frames;
  std::visit(
    Overloaded{
      [&](const CallNotRun&) {
        Log(kCallFenced, aQuery.id);
        if (this->admission.Withdraw(aQuery.id)) {
          this->waiting.erase(aQuery.id);
        }
        frames.Send(RefusalMessage{
          aQuery.id,
          { RefusalReason::Fenced, "the call was lost with its connection" },
          std::nullopt });
      },
      [&](const CallRunning&) { frames.Send(RunningMessage{ aQuery.id }); },
      [&](const CallDone& aDone) {
        frames.Send(AnswerMessage{ aQuery.id, aDone.response, std::nullopt });
      },
      [&](const CallUnknown&) {
        frames.Send(OutcomeUnknownMessage{ aQuery.id });
      },
    },
    status);
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
CallServer::OnAnnouncement(const TargetAnnouncement& aAnnouncement)
{
  this->ApplyAnnouncement(aAnnouncement, std::nullopt);
  if (this->unproven && !this->proving) {
    this->proving = true;
    Spawn([this] {
      this->ProveAnnouncements();
      this->proving = false;
    });
  }
}

/// Asks the target about announcements that may be older than its departure.
void
CallServer::ProveAnnouncements()
{
  while (this->unproven) {
    const TimePoint end = Now() + this->settings.timeouts.announcement;
    auto route = this->findService(this->unproven->announcement.service);
    while (!route && Now() < end) {
      boost::this_fiber::sleep_for(kServicePeriod);
      route = this->findService(this->unproven->announcement.service);
    }
    const TargetAnnouncement announcement = *std::exchange(this->unproven, {});
    if (!route) {
      continue;
    }
    // Without a health path the target cannot be asked, and the announcement is
    // taken as one that the target confirms.
    const std::string& path = route->service->spec.healthPath;
    const auto proof =
      path.empty()
        ? TargetProof{ "", true, Now() }
        : AskTarget(this->target, announcement.address, path, this->settings)
            .value_or(TargetProof{});
    this->ApplyAnnouncement(announcement, proof);
  }
}

void
CallServer::ApplyAnnouncement(const TargetAnnouncement& aAnnouncement,
                              const std::optional<TargetProof>& aProof)
{
  const TargetState before = this->admission.State();
  const TargetAnnouncement current = this->announcements.Current();
  const std::string& instance = current.instance;
  switch (this->announcements.Accept(aAnnouncement, aProof, Now())) {
    case AnnouncementVerdict::Accepted:
      break;
    case AnnouncementVerdict::Outdated:
      Log(kAnnouncementOutdated,
          aAnnouncement.instance,
          aAnnouncement.sequence.value_or(0));
      return;
    case AnnouncementVerdict::Unproven:
      if (aProof) {
        Log(kAnnouncementUnproven, aAnnouncement.instance);
      } else {
        this->unproven = aAnnouncement;
      }
      return;
  }
  if (aAnnouncement.instance != instance) {
    this->admission.ForgetTarget();
    this->requestLimit.Reset();
  }
  this->ApplyWarmup(aAnnouncement, current);
  this->target.SetTarget(aAnnouncement.address, aAnnouncement.instance);
  this->ApplyDequeued(
    this->admission.Announce(aAnnouncement.announcement, Now()));
  if (this->admission.State() != before) {
    Log(kTargetState,
        aAnnouncement.instance,
        Name(this->admission.State()),
        aAnnouncement.announcement.slots);
  }
}

/// True if the target is asked whether it is cold, so that it does not get
/// more calls without an answer than a cold one may.
bool
CallServer::IsAskedForWarmth(const ServiceSpec& aSpec) const
{
  return this->settings.control.warmthProbePeriod > Duration::zero() &&
         !aSpec.healthPath.empty();
}

/// Applies what an announcement says about the warmth of the target. One that
/// has just started counts as cold until it says otherwise.
void
CallServer::ApplyWarmup(const TargetAnnouncement& aAnnouncement,
                        const TargetAnnouncement& aBefore)
{
  const auto route = this->findService(aAnnouncement.announcement.service);
  const WarmupSpec spec = route ? route->service->spec.warmup : WarmupSpec{};
  WarmupLimit& warmup = this->admission.Warmup();
  if (route) {
    warmup.Configure(spec.ratePerSecond,
                     this->IsAskedForWarmth(route->service->spec));
  }
  const bool wasCold = warmup.IsCold(Now());
  const bool restarted =
    !aBefore.instance.empty() &&
    (aAnnouncement.instance != aBefore.instance ||
     (aBefore.startedAtMs && aAnnouncement.startedAtMs != aBefore.startedAtMs));
  if (aAnnouncement.warmupLeft.value_or(0ms) > 0ms) {
    warmup.SetCold(*aAnnouncement.warmupLeft, Now());
  } else if (restarted && !aAnnouncement.warmupLeft) {
    warmup.SetCold(spec.time, Now());
  } else if (aAnnouncement.warmupLeft && !this->warmthReported) {
    // An announcement may be late. It counts as a proof of warmth only if the
    // target's health path gives none.
    warmup.OnReport(0ms, Now(), Now());
  }
  this->LogWarmth(wasCold);
}

void
CallServer::LogWarmth(bool aWasCold)
{
  const bool cold = this->admission.Warmup().IsCold(Now());
  if (cold != aWasCold) {
    Log(kTargetWarmth,
        this->announcements.Current().instance,
        std::string_view(cold ? "cold" : "warm"),
        this->admission.Warmup().Rate());
  }
}

void
CallServer::OnDeparture(std::string_view aInstance)
{
  if (!this->announcements.RecordDeparture(aInstance, std::nullopt, Now())) {
    return;
  }
  Announcement departed = this->announcements.Current().announcement;
  departed.state = TargetState::Leaving;
  this->ApplyDequeued(this->admission.Announce(departed, Now()));
  Log(kTargetDeparted, aInstance);
}

void
CallServer::Discover(std::string_view aService,
                     const Endpoint& aAddress,
                     std::string_view aHealthPath)
{
  this->target.SetTarget(aAddress, "");
  const TimePoint askedAt = Now();
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
  this->ApplyAnnouncement(found,
                          TargetProof{ probed->instance, true, askedAt });
}

void
CallServer::Tick()
{
  this->ApplyDequeued(this->admission.Tick(Now()));
  this->ProveWarmth();
  this->ledger.Expire(Now());
  this->quarantine.Expire(Now());
}

void
CallServer::StartShutdown()
{
  this->shuttingDown = true;
  this->RefuseAllWaiting(
    { RefusalReason::Leaving, "the daemon is shutting down" });
}

void
CallServer::SetEvacuated(bool aEvacuated)
{
  this->evacuated = aEvacuated;
  if (aEvacuated) {
    this->RefuseAllWaiting(EvacuationRefusal());
  }
}

void
CallServer::RefuseAllWaiting(const NotRun& aRefusal)
{
  std::vector<CallId> ids;
  std::ranges::transform(this->waiting,
                         std::back_inserter(ids),
                         [](const auto& aItem) { return aItem.first; });
  for (const CallId& id : ids) {
    this->admission.Withdraw(id);
    this->RefuseWaiting(id, aRefusal);
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
  return this->shuttingDown ? TargetState::Leaving : this->admission.State();
}

void
CallServer::ApplyDequeued(std::vector<DequeuedCall> aDequeued)
{
  // A call that cannot start after all makes room for the next one. Not
  // recursive, because the whole queue may have to be refused.
  for (std::size_t i = 0; i < aDequeued.size(); ++i) {
    const DequeuedCall dequeued = aDequeued[i];
    if (const auto* refusal = std::get_if<NotRun>(&dequeued.decision)) {
      this->RefuseWaiting(dequeued.id, *refusal);
    } else if (auto found = this->waiting.extract(dequeued.id)) {
      std::ranges::move(this->StartCall(std::move(found.mapped())),
                        std::back_inserter(aDequeued));
    }
  }
}

/// Refuses a call that was removed from the queue.
void
CallServer::RefuseWaiting(const CallId& aId, NotRun aRefusal)
{
  if (const auto found = this->waiting.extract(aId)) {
    const WaitingCall& waiting = found.mapped();
    this->RefuseCall(
      waiting.call, std::move(aRefusal), waiting.arrivedAt, waiting.deadline);
  }
}

/// Logs and counts the refusal of a call, and sends it to the call's sender.
void
CallServer::RefuseCall(const CallMessage& aCall,
                       NotRun aRefusal,
                       TimePoint aArrivedAt,
                       TimePoint aDeadline)
{
  ++this->stats.refusals[aRefusal.reason];
  LogRefused(this->ToLoggedCall(aCall, aArrivedAt, aDeadline),
             aRefusal,
             this->admission.Report(Now()));
  this->SendRefusal(aCall.id, std::move(aRefusal));
}

void
CallServer::SendRefusal(const CallId& aId, NotRun aRefusal)
{
  this->ledger.Refuse(aId);
  if (SenderConnection* connection = FindConnection(this->senders, aId)) {
    connection->frames->Send(
      RefusalMessage{ aId, std::move(aRefusal), this->LoadReportFor(aId) });
  }
}

/// Sends a call to the target. Returns the waiting calls to handle next if it
/// cannot start.
std::vector<DequeuedCall>
CallServer::StartCall(WaitingCall aWaiting)
{
  const CallId id = aWaiting.call.id;
  if (!this->requestLimit.TryStart(Now())) {
    this->RefuseCall(aWaiting.call,
                     this->LimitRefusal(),
                     aWaiting.arrivedAt,
                     aWaiting.deadline);
    return this->admission.ReleaseSlot(Now());
  }
  if (!this->ledger.Start(id)) {
    return this->admission.ReleaseSlot(Now());
  }
  // Added before the fiber runs, so that a cancel message that directly follows
  // the call finds the entry.
  constexpr double kPercent = 100;
  RunningCall& running = this->running.try_emplace(id).first->second;
  running.arrivedAt = aWaiting.arrivedAt;
  running.startedAt = Now();
  running.deadline = aWaiting.deadline;
  running.objective = aWaiting.arrivedAt + aWaiting.call.objective;
  const LoadReport load = this->admission.Report(Now());
  running.slowness = load.slowness / kPercent;
  running.concurrency = load.running;
  if (aWaiting.call.traced) {
    LogStarted(
      this->ToLoggedCall(aWaiting.call, aWaiting.arrivedAt, aWaiting.deadline),
      this->admission.Report(Now()));
  }
  this->SendLoadUpdates();
  this->ProveWarmth();
  Spawn([this, call = std::move(aWaiting.call), deadline = aWaiting.deadline] {
    this->RunCall(call, deadline);
  });
  return {};
}

void
CallServer::RunCall(const CallMessage& aCall, TimePoint aDeadline)
{
  const Fingerprint fingerprint = FingerprintOf(aCall.request);
  const auto route = this->findService(aCall.request.service);
  static const ServiceSpec defaults;
  const ServiceSpec& spec = route ? route->service->spec : defaults;
  RunningCall& state = this->running.at(aCall.id);
  state.suspect =
    this->quarantine.Size() > 0 &&
    this->quarantine.Evaluate(fingerprint, spec.quarantine.threshold, Now()) !=
      Verdict::Allow;
  const std::string instance = this->announcements.Current().instance;
  TargetResult result = this->target.Run(
    { aCall.id,
      aCall.request,
      aCall.idempotent,
      aDeadline,
      static_cast<std::size_t>(spec.limits.answerBytes) },
    state.control,
    SendPermit::ForArrivedCall(),
    [&]() -> std::optional<SendPermit> {
      // A repeat is an arrival at the target like any other.
      auto permit = route ? route->state->retryBudget.Spend() : std::nullopt;
      const bool allowed = permit && !this->evacuated &&
                           this->requestLimit.TryStart(Now()) &&
                           this->admission.Warmup().TryStart(Now());
      return allowed ? std::move(permit) : std::nullopt;
    });
  const RunningCall ended = state;
  this->running.erase(aCall.id);
  if (result.connectionBroken && !ended.control.cancelled) {
    this->RecordBrokenConnection(fingerprint);
  }
  if (result.load) {
    this->UpdateLoad(*result.load);
  }
  if (result.signals) {
    this->ApplySignals(*result.signals, instance);
  }
  const TimePoint now = Now();
  this->ApplyDequeued(this->ReleaseSlot(aCall, result, ended));
  if (const auto* answer = std::get_if<Answered>(&result.outcome);
      answer != nullptr && this->quarantine.Size() > 0) {
    this->quarantine.RecordCompletion(
      fingerprint, answer->response.status, now);
  }
  this->FinishCall(aCall, std::move(result), ended);
  this->SendLoadUpdates();
}

/// Frees the slot of a call. Returns the waiting calls that start or are
/// refused now.
std::vector<DequeuedCall>
CallServer::ReleaseSlot(const CallMessage& aCall,
                        const TargetResult& aResult,
                        const RunningCall& aRun)
{
  const TimePoint now = Now();
  if (std::holds_alternative<NotRun>(aResult.outcome)) {
    return this->admission.ReleaseSlot(now);
  }
  FinishedCall finished(now - aRun.startedAt);
  finished.concurrency = aRun.concurrency;
  finished.slowness = aRun.slowness;
  const auto* answer = std::get_if<Answered>(&aResult.outcome);
  if (answer != nullptr && IsSuccess(answer->response.status)) {
    finished.work = aCall.work;
  }
  return this->admission.Finish(finished, now);
}

/// Applies what a target said in an answer, unless another instance has taken
/// its place meanwhile.
void
CallServer::ApplySignals(const TargetSignals& aSignals,
                         std::string_view aInstance)
{
  if (this->announcements.Current().instance != aInstance) {
    return;
  }
  const auto before = this->requestLimit.Rate();
  this->requestLimit.OnAnswer(aSignals.requestLimit, Now());
  if (this->requestLimit.Rate() != before) {
    Log(kTargetLimit, this->requestLimit.Rate().value_or(0));
  }
  if (aSignals.leaving && this->admission.State() != TargetState::Leaving) {
    this->OnDeparture(aInstance);
  }
}

void
CallServer::UpdateLoad(const LoadReport& aLoad)
{
  this->lastLoadAt = Now();
  this->ApplyDequeued(this->admission.SetSlowness(aLoad.slowness, Now()));
}

void
CallServer::SendLoadUpdates()
{
  if (const auto route = this->findService(this->admission.Service())) {
    this->reporter.Broadcast(this->admission.Report(Now()), *route->state);
  }
}

void
CallServer::ApplyHealth(const HealthReport& aHealth)
{
  if (aHealth.load) {
    this->UpdateLoad(*aHealth.load);
  }
  WarmupLimit& warmup = this->admission.Warmup();
  const bool wasCold = warmup.IsCold(Now());
  this->warmthReported |= aHealth.warmupLeft.has_value();
  // A target that says nothing stays cold for as long as it announced.
  if (aHealth.warmupLeft || !wasCold) {
    warmup.OnReport(aHealth.warmupLeft.value_or(0ms), aHealth.askedAt, Now());
  }
  this->LogWarmth(wasCold);
  this->Tick();
  this->SendLoadUpdates();
}

/// Asks the target whether it is cold, if that must be known now. Not more
/// often than the settings allow.
void
CallServer::ProveWarmth()
{
  const Duration period = this->settings.control.warmthProbePeriod;
  if (period == Duration::zero() || this->provingWarmth ||
      Now() - this->warmthAskedAt < period ||
      !this->admission.Warmup().NeedsProof(Now())) {
    return;
  }
  const auto route = this->findService(this->admission.Service());
  if (!route || route->service->spec.healthPath.empty()) {
    return;
  }
  this->provingWarmth = true;
  this->warmthAskedAt = Now();
  Spawn([this, route] {
    const auto health = ProbeHealth(
      this->target, route->service->spec.healthPath, this->settings);
    this->provingWarmth = false;
    if (health) {
      this->ApplyHealth(*health);
    }
    if (!health || !health->warmupLeft) {
      this->warmthAskedAt = Now() + kUnansweredWarmthPause;
    }
  });
}

void
CallServer::RunLoadProbes()
{
  const Duration period = this->settings.control.loadProbeAge;
  if (period == Duration::zero()) {
    return;
  }
  while (true) {
    const TimePoint due = this->lastLoadAt + period;
    const bool busy = Now() - this->lastCallAt < kLoadUpdateWindow;
    if (Now() < due || !busy) {
      boost::this_fiber::sleep_for(busy ? std::max<Duration>(due - Now(), 1ms)
                                        : period);
      continue;
    }
    const auto route = this->findService(this->admission.Service());
    this->lastLoadAt = Now();
    if (!route || route->service->spec.healthPath.empty()) {
      continue;
    }
    const auto health = ProbeHealth(
      this->target, route->service->spec.healthPath, this->settings);
    if (health) {
      this->ApplyHealth(*health);
    }
  }
}

void
CallServer::FinishCall(const CallMessage& aCall,
                       TargetResult aResult,
                       const RunningCall& aRun)
{
  std::visit(Overloaded{
               [&](Answered& aAnswered) {
                 this->SendAnswer(aCall, std::move(aAnswered.response), aRun);
               },
               [&](NotRun& aRefusal) {
                 this->RefuseCall(
                   aCall, std::move(aRefusal), aRun.arrivedAt, aRun.deadline);
               },
               [&](OutcomeUnknown& aUnknown) {
                 this->SendOutcomeUnknown(aCall, aUnknown.cause, aRun);
               },
             },
             aResult.outcome);
}

/// Sends the target's answer to the sender of the call. The ledger keeps it
/// until the sender releases it.
void
CallServer::SendAnswer(const CallMessage& aCall,
                       Response aResponse,
                       const RunningCall& aRun)
{
  const CallId& id = aCall.id;
  const TimePoint now = Now();
  const Duration ran = now - aRun.startedAt;
  this->stats.queueWaits.Record(aRun.startedAt - aRun.arrivedAt);
  this->stats.targetTimes.Record(ran);
  if (aCall.traced || now > aRun.objective) {
    LogFinished(this->ToLoggedCall(aCall, aRun.arrivedAt, aRun.deadline),
                aResponse.status,
                aRun.startedAt,
                aRun.slowness);
  }
  SenderConnection* connection = FindConnection(this->senders, id);
  if (connection == nullptr) {
    this->ledger.Finish(id, std::move(aResponse));
    return;
  }
  AnswerMessage message{
    id,
    std::move(aResponse),
    this->LoadReportFor(id),
    std::chrono::duration_cast<Micros>(
      ran / (aRun.slowness * this->admission.Crowding(aRun.concurrency))),
    std::chrono::duration_cast<Micros>(now - aRun.arrivedAt)
  };
  if (message.response.body.size() < kLargeAnswerBytes) {
    connection->frames->Send(message);
    this->ledger.Finish(id, std::move(message.response));
    return;
  }
  // Without memory for a copy, a lost connection loses the answer too.
  HeldMemory copy(MemoryPart::Answers);
  if (copy.TryHold(message.response.body.size())) {
    copy.Release();
    this->ledger.Finish(id, message.response);
  } else {
    this->ledger.RecordLoss(id);
  }
  connection->frames->SendLarge(std::move(message));
}

/// Logs and counts a call whose outcome is unknown, and tells its sender.
void
CallServer::SendOutcomeUnknown(const CallMessage& aCall,
                               UnknownCause aCause,
                               const RunningCall& aRun)
{
  ++this->stats.lost;
  LogLost(this->ToLoggedCall(aCall, aRun.arrivedAt, aRun.deadline),
          aCause,
          aRun.startedAt,
          aRun.slowness);
  this->ledger.RecordLoss(aCall.id);
  if (SenderConnection* connection = FindConnection(this->senders, aCall.id)) {
    connection->frames->Send(OutcomeUnknownMessage{ aCall.id });
  }
}

/// Returns the refusal of a call beyond the target's limit. Its time to come
/// back lets the daemons that sent calls lately take turns.
NotRun
CallServer::LimitRefusal() const
{
  const TimePoint now = Now();
  const auto active =
    std::ranges::count_if(this->senders, [&](const auto& aItem) {
      return now - aItem.second.lastCallAt < kActiveSenderWindow;
    });
  NotRun refusal{ RefusalReason::RateLimited,
                  "the target takes no more requests a second" };
  refusal.retryAfter = std::chrono::duration_cast<Micros>(LimitPause(
    this->requestLimit.Rate().value_or(0), static_cast<std::size_t>(active)));
  return refusal;
}

bool
CallServer::IsSuspectRunning() const
{
  return std::ranges::any_of(
    this->running, [](const auto& aItem) { return aItem.second.suspect; });
}

void
CallServer::RecordBrokenConnection(Fingerprint aFingerprint)
{
  std::vector<CallId> concurrent;
  std::ranges::transform(this->running,
                         std::back_inserter(concurrent),
                         [](const auto& aItem) { return aItem.first; });
  this->crashDetector.OnConnectionLost(
    aFingerprint, std::move(concurrent), [this](const CallId& aId) {
      return this->running.contains(aId);
    });
}

Duration
CallServer::SuspicionLifetime() const
{
  const auto route = this->findService(this->admission.Service());
  return route ? route->service->spec.quarantine.lifetime
               : QuarantineSpec{}.lifetime;
}

/// Returns the load report to send with a message about a call, if one is due.
std::optional<LoadReport>
CallServer::LoadReportFor(const CallId& aId)
{
  SenderConnection* connection = FindConnection(this->senders, aId);
  const auto route = this->findService(this->admission.Service());
  if (connection == nullptr || !route) {
    return std::nullopt;
  }
  return this->reporter.PiggybackReport(
    *connection, this->admission.Report(Now()), *route->state);
}

LoggedCall
CallServer::ToLoggedCall(const CallMessage& aCall,
                         TimePoint aArrivedAt,
                         TimePoint aDeadline) const
{
  const std::string& header = this->settings.headers.requestId;
  return {
    FindHeader(aCall.request.headers, header), aCall.id, aArrivedAt, aDeadline
  };
}

}
