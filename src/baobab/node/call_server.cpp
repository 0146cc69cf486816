#include "baobab/node/call_server.hpp"

#include "baobab/core/random.hpp"
#include "baobab/core/result.hpp"
#include "baobab/net/clock.hpp"
#include "baobab/net/http_server.hpp"
#include "baobab/net/log.hpp"
#include "baobab/net/worker.hpp"

#include <algorithm>
#include <boost/fiber/operations.hpp>
#include <cstdlib>

namespace baobab {
namespace {

constexpr std::string_view kChannel = "admission";

/// Bytes that a load report adds to a message, and of one on its own.
constexpr std::int64_t kReportBytes = 12;
constexpr std::int64_t kNewsBytes = 72;

/// Time after its last call for which a sender is told news of the load.
constexpr Duration kNewsInterest = 2s;

/// Shortest time between two pieces of news on a connection.
constexpr Duration kNewsPause = 20ms;

/// Change of the load that is news on its own, as a part of the slots.
constexpr int kNewsChange = 4;

/// Change of the host's slowness that is news, in percent of itself.
constexpr int kSlownessChange = 30;

/// Time for which a report is not repeated while it is about true.
constexpr Duration kReportPause = 100ms;

/// Change of the load that is reported at once, as a part of the slots.
constexpr int kReportedChange = 10;

/// Time in which broken connections are taken for one crash.
constexpr Duration kCrashWindow = 20ms;

/// True if the host has turned notably slower or faster.
bool
SlownessChanged(const LoadReport& aBefore, const LoadReport& aReport)
{
  constexpr int kPercent = 100;
  const int change = std::abs(aReport.slowness - aBefore.slowness);
  return change * kPercent >
         kSlownessChange * std::min(aReport.slowness, aBefore.slowness);
}

/// True if a change of the load is worth a message of its own.
bool
IsNews(const SenderConnection& aConnection, const LoadReport& aReport)
{
  const LoadReport& before = aConnection.reported;
  const int change =
    (aReport.running + aReport.queued) - (before.running + before.queued);
  return SlownessChanged(before, aReport) ||
         std::abs(change) * kNewsChange > aReport.slots;
}

/// True if the last report on a connection still says about the same.
bool
IsStillTrue(const SenderConnection& aConnection, const LoadReport& aReport)
{
  const LoadReport& before = aConnection.reported;
  const int change =
    (aReport.running + aReport.queued) - (before.running + before.queued);
  return Now() - aConnection.reportedAt < kReportPause &&
         aReport.slots == before.slots && !SlownessChanged(before, aReport) &&
         std::abs(change) * kReportedChange <= aReport.slots;
}

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
{
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
  if (SenderConnection* sender = this->ConnectionOf(aCall.id)) {
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
  const CallId id = aCall.id;
  if (this->leaving) {
    this->Refuse(id, { RefusalReason::Leaving, "the daemon shuts down" });
    return;
  }
  if (aCall.request.service != this->admission.Service()) {
    this->Refuse(id,
                 { RefusalReason::WrongService, "another service runs here" });
    return;
  }
  const auto route = this->lookup(aCall.request.service);
  if (route && this->quarantine.Size() > 0) {
    const Verdict verdict =
      this->quarantine.Judge(FingerprintOf(aCall.request),
                             route->service->spec.quarantine.threshold,
                             Now());
    if (verdict == Verdict::Refuse) {
      this->Refuse(id,
                   { RefusalReason::Quarantined,
                     "requests like this one crash the targets" });
      return;
    }
    if (verdict == Verdict::Isolate && this->AnotherSuspectRuns()) {
      this->Refuse(id,
                   { RefusalReason::Overloaded,
                     "another request under suspicion is running" });
      return;
    }
  }
  if (route) {
    this->admission.SetLimits(LimitsOf(route->service->spec, this->settings));
  }
  const TimePoint now = Now();
  WaitTerms terms(aDeadline);
  terms.objective = now + aCall.objective;
  terms.priority = aCall.priority;
  terms.work = aCall.work;
  terms.alternative = aCall.alternative;
  const AdmissionAnswer answer = this->admission.Offer(id, terms, now);
  std::visit(
    Overloaded{
      [&](const StartNow&) { this->Start(std::move(aCall), now, aDeadline); },
      [&](const Queued&) {
        this->waiting.emplace(id, Waiting{ std::move(aCall), now, aDeadline });
        this->SpreadLoad();
      },
      [&](const NotRun& aRefusal) { this->Refuse(id, aRefusal); },
    },
    answer);
}

void
CallServer::OnAsk(const SenderConnection& aConnection, const AskMessage& aAsk)
{
  const Fate fate = this->ledger.Ask(aAsk.id, aAsk.sentOn);
  FrameConnection& frames = *aConnection.frames;
  std::visit(
    Overloaded{
      [&](const FateNotRun&) {
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
    this->waiting.erase(aCancel.id);
    this->Refuse(aCancel.id, { RefusalReason::Cancelled, "cancelled" });
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
    Log(kChannel,
        LogLevel::Debug,
        "outdated announcement",
        { { "instance", aAnnouncement.instance } });
    return;
  }
  this->target.SetTarget(aAnnouncement.address, aAnnouncement.instance);
  this->Settle(this->admission.Announce(aAnnouncement.announcement, Now()));
  if (this->admission.State() != before) {
    Log(kChannel,
        LogLevel::Info,
        "target state",
        { { "instance", aAnnouncement.instance },
          { "state", std::string(Name(this->admission.State())) } });
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
  Log(kChannel,
      LogLevel::Info,
      "target is gone",
      { { "instance", std::string(aInstance) } });
}

void
CallServer::Discover(std::string_view aService,
                     const Endpoint& aAddress,
                     std::string_view aHealthPath)
{
  const HeaderNames& names = this->settings.headers;
  this->target.SetTarget(aAddress, "");
  const auto health =
    this->target.AskHealth(aHealthPath, this->settings.timeouts.connect);
  constexpr unsigned kOk = 200;
  const bool unannounced = this->admission.State() == TargetState::None;
  if (!unannounced || !Succeeded(health) || Value(health).status != kOk) {
    return;
  }
  const auto load = ParseLoad(FindHeader(Value(health).headers, names.load));
  TargetAnnouncement found;
  found.instance = FindHeader(Value(health).headers, names.instance);
  if (!load || load->slots == 0 || found.instance.empty()) {
    return;
  }
  found.announcement = { std::string(aService),
                         load->slots,
                         TargetState::Ready };
  found.address = aAddress;
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
    this->waiting.erase(id);
    this->Refuse(id, { RefusalReason::Leaving, "the daemon shuts down" });
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
    const auto found = this->waiting.find(dequeued.id);
    if (found == this->waiting.end()) {
      continue;
    }
    Waiting waiting = std::move(found->second);
    this->waiting.erase(found);
    if (const auto* refusal = std::get_if<NotRun>(&dequeued.answer)) {
      this->Refuse(dequeued.id, *refusal);
    } else {
      this->Start(std::move(waiting.call), waiting.arrived, waiting.deadline);
    }
  }
}

void
CallServer::Refuse(const CallId& aId, NotRun aRefusal)
{
  this->ledger.Refuse(aId);
  if (SenderConnection* connection = this->ConnectionOf(aId)) {
    connection->frames->Send(
      RefusalMessage{ aId, std::move(aRefusal), this->ChargedReport(aId) });
  }
}

void
CallServer::Start(CallMessage aCall, TimePoint aArrived, TimePoint aDeadline)
{
  if (!this->ledger.Start(aCall.id)) {
    this->Settle(this->admission.Abandon(Now()));
    return;
  }
  // The entry stands before the fiber runs, so that a cancel that follows the
  // call at once finds it.
  constexpr double kPercent = 100;
  Running& running = this->running.try_emplace(aCall.id).first->second;
  running.arrived = aArrived;
  running.slowness = this->admission.Report().slowness / kPercent;
  this->SpreadLoad();
  Spawn([this, call = std::move(aCall), aDeadline] {
    this->RunCall(call, aDeadline);
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
  const TimePoint began = Now();
  TargetResult result =
    this->target.Run({ aCall.id,
                       aCall.request,
                       aCall.idempotent,
                       aDeadline,
                       static_cast<std::size_t>(spec.limits.answerBytes) },
                     state.control);
  const bool cancelled = state.control.cancelled;
  const TimePoint ended = Now();
  const auto work =
    std::chrono::duration_cast<Micros>((ended - began) / state.slowness);
  const auto held = std::chrono::duration_cast<Micros>(ended - state.arrived);
  if (result.broken && !cancelled) {
    this->NoteBroken(fingerprint);
  }
  this->running.erase(aCall.id);
  if (result.load) {
    this->TakeLoad(*result.load);
  }
  this->Settle(std::holds_alternative<NotRun>(result.outcome)
                 ? this->admission.Abandon(Now())
                 : this->admission.Finish(Now() - began, Now()));
  if (std::holds_alternative<Answered>(result.outcome) &&
      this->quarantine.Size() > 0) {
    this->quarantine.Completed(fingerprint, Now());
  }
  this->Conclude(aCall, std::move(result), work, held);
  this->SpreadLoad();
}

void
CallServer::TakeLoad(const LoadReport& aLoad)
{
  this->loadKnownAt = Now();
  this->Settle(this->admission.SetSlowness(aLoad.slowness, Now()));
}

/// Tells senders of a change that matters to their choices.
void
CallServer::SpreadLoad()
{
  const LoadReport report = this->admission.Report();
  const TimePoint now = Now();
  for (auto& [sender, connection] : this->senders) {
    const bool due = now - connection.lastCall < kNewsInterest &&
                     now - connection.reportedAt >= kNewsPause;
    if (!due || !IsNews(connection, report) ||
        !this->Charge(connection, kNewsBytes)) {
      continue;
    }
    connection.reported = report;
    connection.reportedAt = now;
    connection.frames->Send(LoadNewsMessage{ report });
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
    const bool busy = Now() - this->lastCallAt < kNewsInterest;
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
    const auto health = this->target.AskHealth(route->service->spec.healthPath,
                                               this->settings.timeouts.connect);
    if (!Succeeded(health)) {
      continue;
    }
    const auto load =
      ParseLoad(FindHeader(Value(health).headers, this->settings.headers.load));
    if (load) {
      this->TakeLoad(*load);
      this->SpreadLoad();
    }
  }
}

void
CallServer::Conclude(const CallMessage& aCall,
                     TargetResult aResult,
                     Micros aWork,
                     Micros aHeld)
{
  const CallId& id = aCall.id;
  SenderConnection* connection = this->ConnectionOf(id);
  std::visit(Overloaded{
               [&](Answered& aAnswered) {
                 if (connection == nullptr) {
                   this->ledger.Finish(id, std::move(aAnswered.response));
                   return;
                 }
                 AnswerMessage message{ id,
                                        std::move(aAnswered.response),
                                        this->ChargedReport(id),
                                        aWork,
                                        aHeld };
                 connection->frames->Send(message);
                 this->ledger.Finish(id, std::move(message.response));
               },
               [&](NotRun& aRefusal) { this->Refuse(id, std::move(aRefusal)); },
               [&](OutcomeUnknown& aUnknown) {
                 Log(kChannel,
                     LogLevel::Info,
                     "call lost at the target",
                     { { "call", ToString(id) },
                       { "why", std::string(Describe(aUnknown.cause)) } });
                 this->ledger.Lose(id);
                 if (connection != nullptr) {
                   connection->frames->Send(LostMessage{ id });
                 }
               },
             },
             aResult.outcome);
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
  this->broken.push_back(aFingerprint);
  if (this->broken.size() == 1) {
    std::vector<CallId> together;
    std::ranges::transform(this->running,
                           std::back_inserter(together),
                           [](const auto& aItem) { return aItem.first; });
    Spawn([this, together = std::move(together)] {
      this->CheckForCrash(together);
    });
  }
}

void
CallServer::CheckForCrash(const std::vector<CallId>& aTogether)
{
  boost::this_fiber::sleep_for(kCrashWindow);
  const std::vector<Fingerprint> suspects = std::move(this->broken);
  this->broken.clear();
  // A target that was restarted at once listens already; it has crashed if
  // none of the calls that ran together goes on.
  const bool goesOn = std::ranges::any_of(aTogether, [this](const CallId& aId) {
    return this->running.contains(aId);
  });
  if (goesOn && this->target.IsListening()) {
    return;
  }
  const auto route = this->lookup(this->admission.Service());
  const Duration lifetime =
    route ? Duration(route->service->spec.quarantine.lifetime)
          : Duration(QuarantineSpec{}.lifetime);
  this->quarantine.Crashed(EntropySeed(), suspects, lifetime, Now());
  Log(kChannel,
      LogLevel::Warning,
      "the target crashed",
      { { "running", std::to_string(suspects.size()) } });
  if (this->onSuspects) {
    this->onSuspects();
  }
}

std::optional<LoadReport>
CallServer::ChargedReport(const CallId& aId)
{
  SenderConnection* connection = this->ConnectionOf(aId);
  const LoadReport report = this->admission.Report();
  if (connection == nullptr || IsStillTrue(*connection, report) ||
      !this->Charge(*connection, kReportBytes)) {
    return std::nullopt;
  }
  connection->reported = report;
  connection->reportedAt = Now();
  return report;
}

/// Charges a report to the service's measuring budgets.
bool
CallServer::Charge(const SenderConnection& aConnection, std::int64_t aBytes)
{
  const auto route = this->lookup(this->admission.Service());
  if (!route) {
    return false;
  }
  ServiceState& state = *route->state;
  const bool crosses = aConnection.across;
  if (crosses && !state.measuringAcross.Charge(aBytes, Now())) {
    return false;
  }
  return state.measuring.Charge(aBytes, Now());
}

SenderConnection*
CallServer::ConnectionOf(const CallId& aId)
{
  const auto found = this->senders.find(aId.sender);
  return found == this->senders.end() ? nullptr : &found->second;
}

}
