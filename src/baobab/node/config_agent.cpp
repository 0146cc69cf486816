#include "baobab/node/config_agent.hpp"

#include "baobab/decision/rendezvous.hpp"
#include "baobab/net/clock.hpp"
#include "baobab/net/log.hpp"
#include "baobab/net/log_events.hpp"
#include "baobab/net/timeout.hpp"
#include "baobab/net/worker.hpp"

#include <algorithm>
#include <boost/fiber/operations.hpp>

namespace baobab {
namespace {

constexpr std::string_view kReaderRole = "config-reader";

constexpr Duration kWatchTimeout = 20s;
constexpr Duration kRetryInterval = 500ms;
constexpr Duration kRoleCheckPeriod = 500ms;

constexpr Duration kAuditCheckPeriod = 100ms;

/// Wait of an audit, which wants to know only what has changed already.
constexpr Duration kAuditWait = 1ms;

/// Time limit for a peer's answer. Other peers may be asked meanwhile.
constexpr Duration kPullTimeout = 2s;

/// Bytes of a reply without the service files, and of each file without its
/// text.
constexpr std::size_t kReplyOverheadBytes = 128;

}

ConfigAgent::ConfigAgent(boost::asio::io_context& aContext,
                         ConfigSourceFactory aOpenSource,
                         Membership& aMembership,
                         StoreFreshness& aFreshness,
                         RoutePublisher& aPublisher,
                         ControlPacer& aPacer,
                         const Settings& aSettings)
  : context(aContext)
  , openSource(std::move(aOpenSource))
  , membership(aMembership)
  , freshness(aFreshness)
  , publisher(aPublisher)
  , pacer(aPacer)
  , settings(aSettings)
  , source(this->openSource())
  , random(EntropySeed())
{
}

void
ConfigAgent::Run()
{
  this->ReadStore();
  this->firstReadDone = true;
  while (true) {
    if (this->IsReader()) {
      this->WatchStore();
    } else {
      boost::this_fiber::sleep_for(kRoleCheckPeriod);
    }
  }
}

void
ConfigAgent::RunAudits()
{
  while (true) {
    boost::this_fiber::sleep_for(kAuditCheckPeriod);
    if (this->log.StateDue(Now())) {
      this->LogState();
    }
    this->CheckHistory();
    if (this->firstReadDone &&
        this->freshness.ShouldAsk(
          this->Generation(), this->membership.Size(), Now())) {
      this->Audit();
    }
  }
}

void
ConfigAgent::CheckHistory()
{
  const auto known = this->freshness.Current(this->Generation(), Now());
  const std::uint64_t next =
    known ? this->source->HistoryOf(known->position) : 0;
  if (next <= this->history) {
    return;
  }
  const bool lost = this->history != 0;
  this->history = next;
  if (lost && this->onStoreLoss) {
    this->onStoreLoss();
  }
}

/// Asks the store for changes since the last position known, on a connection of
/// its own, as an open one may have gone silent.
void
ConfigAgent::Audit()
{
  const TimePoint askedAt = Now();
  const auto current = this->publisher.CurrentConfiguration();
  const auto audit = this->openSource();
  if (const auto known = this->freshness.Current(this->Generation(), askedAt)) {
    audit->Resume(known->position);
  }
  const auto changed = ReadChanges(*audit, *current, kAuditWait);
  this->auditCalls += audit->Calls();
  this->HandleRead(changed, *audit, askedAt);
}

Result<std::optional<ConfigDelta>>
ConfigAgent::ReadChanges(ConfigSource& aSource,
                         const Configuration& aCurrent,
                         Duration aTime)
{
  auto changed = aSource.Watch(aCurrent, aTime);
  if (!Succeeded(changed) && Failure(changed).kind == ErrorKind::NotFound) {
    changed = aSource.Read(aCurrent);
  }
  return changed;
}

std::optional<LeaseProof>
ConfigAgent::Prove()
{
  const BootTime askedAt = BootNow();
  const TimePoint sentAt = Now();
  const auto current = this->publisher.CurrentConfiguration();
  const auto asked = this->openSource();
  if (!this->provenPosition.empty()) {
    asked->Resume(this->provenPosition);
  }
  const auto changed = ReadChanges(*asked, *current, kAuditWait);
  this->auditCalls += asked->Calls();
  if (!this->HandleRead(changed, *asked, sentAt)) {
    return std::nullopt;
  }
  this->provenPosition = asked->Position();
  return LeaseProof{ this->Generation(), askedAt };
}

void
ConfigAgent::OnPeerGeneration(const Endpoint& aPeer, std::uint64_t aGeneration)
{
  this->log.OnAdvertised(aGeneration, this->Generation(), Now());
  if (this->pulls.TryStartPull(aGeneration, this->Generation(), Now())) {
    Spawn([this, aPeer] {
      this->Pull(aPeer);
      this->pulls.EndPull();
    });
  }
}

void
ConfigAgent::Reply(const std::shared_ptr<FrameConnection>& aFrames,
                   const ConfigRequestMessage& aRequest)
{
  const auto size = [](const ConfigDelta& aDelta) {
    // Service files are compressed to about a fifth on the wire.
    constexpr std::size_t kCompressionRatio = 5;
    std::size_t bytes = kReplyOverheadBytes;
    for (const std::string& text : aDelta.texts) {
      bytes += text.size() / kCompressionRatio + kReplyOverheadBytes;
    }
    return bytes;
  };
  const std::uint64_t since = aRequest.generation;
  Spawn([this, aFrames, since, size] {
    this->pacer.SpendOnConfiguration(
      size(this->publisher.CurrentConfiguration()->DeltaSince(since)));
    // Computed again after the wait, so that the reply includes configurations
    // adopted meanwhile.
    aFrames->Send(ConfigReplyMessage{
      this->publisher.CurrentConfiguration()->DeltaSince(since) });
  });
}

std::vector<Endpoint>
ConfigAgent::RankedZone() const
{
  const auto zone = this->membership.ZoneMembers();
  return RendezvousPick(zone, kReaderRole, zone.size());
}

bool
ConfigAgent::IsReader() const
{
  const auto readers = RendezvousPick(
    this->membership.ZoneMembers(),
    kReaderRole,
    static_cast<std::size_t>(this->settings.control.readersPerZone));
  return std::ranges::find(readers, this->membership.Self().endpoint) !=
         readers.end();
}

void
ConfigAgent::ReadStore()
{
  // Kept alive here: a configuration pulled from a peer may replace the one in
  // force during the read.
  const auto current = this->publisher.CurrentConfiguration();
  const TimePoint askedAt = Now();
  this->HandleRead(this->source->Read(*current), *this->source, askedAt);
}

void
ConfigAgent::WatchStore()
{
  const TimePoint began = Now();
  const auto current = this->publisher.CurrentConfiguration();
  const auto changed = ReadChanges(*this->source, *current, kWatchTimeout);
  const bool read = Succeeded(changed) && Value(changed);
  // A watch that ends without a change has been answered after its wait.
  const bool waited =
    Succeeded(changed) && !read && Now() - began >= kWatchTimeout;
  const bool inForce = this->HandleRead(
    changed, *this->source, waited ? began + kWatchTimeout : began);
  // A watch that returns immediately must not cause a busy loop.
  if (!(read && inForce) && Now() - began < kRetryInterval) {
    const double jitter = 0.5 + UniformFraction(this->random);
    boost::this_fiber::sleep_for(
      std::chrono::duration_cast<Duration>(kRetryInterval * jitter));
  }
}

bool
ConfigAgent::HandleRead(const Result<std::optional<ConfigDelta>>& aRead,
                        ConfigSource& aSource,
                        TimePoint aAskedAt)
{
  this->RecordRead(aRead);
  if (!Succeeded(aRead)) {
    return false;
  }
  if (Value(aRead)) {
    const auto adopted = this->AdoptFromStore(*Value(aRead), aSource);
    if (!Succeeded(adopted) && Value(aRead)->generation > this->Generation()) {
      aSource.Rewind();
      return false;
    }
  }
  // The state was older than one seen before: it may lack later changes.
  if (aSource.Position().empty()) {
    return false;
  }
  this->freshness.Confirm({ this->Generation(), aAskedAt, aSource.Position() });
  return true;
}

void
ConfigAgent::RecordRead(const Result<std::optional<ConfigDelta>>& aRead)
{
  if (Succeeded(aRead)) {
    this->log.OnStoreRead(Value(aRead).has_value(), Now());
  } else {
    this->log.OnStoreFailed(Failure(aRead), Now());
  }
}

void
ConfigAgent::LogState()
{
  ConfigState state{ this->Generation(), this->IsReader(), {}, {} };
  if (const auto confirmed = this->freshness.Current(state.generation, Now())) {
    state.confirmedAge = confirmed->age;
    state.position = confirmed->position;
  }
  this->log.LogState(state, Now());
}

void
ConfigAgent::Pull(const Endpoint& aPeer)
{
  auto delta = this->Request(aPeer, this->Generation());
  if (!Succeeded(delta)) {
    this->log.OnPullFailed(aPeer, Failure(delta));
    return;
  }
  const auto adopted = this->AdoptFromPeer(Value(delta), aPeer);
  if (Succeeded(adopted) || Failure(adopted).kind != ErrorKind::MissingKey) {
    return;
  }
  // The delta does not fit the configuration in force: pull a full one.
  auto full = this->Request(aPeer, 0);
  if (!Succeeded(full)) {
    this->log.OnPullFailed(aPeer, Failure(full));
    return;
  }
  this->AdoptFromPeer(Value(full), aPeer);
}

Result<ConfigDelta>
ConfigAgent::Request(const Endpoint& aPeer, std::uint64_t aSince)
{
  auto socket = Connect(this->context,
                        aPeer,
                        this->settings.timeouts.connect,
                        this->settings.peers.address);
  if (!Succeeded(socket)) {
    return Failure(socket);
  }
  const auto frames =
    std::make_shared<FrameConnection>(std::move(Value(socket)));
  const auto timer = frames->CloseAfter(kPullTimeout);
  frames->Send(ConfigRequestMessage{ aSince });
  auto reply = frames->Read();
  frames->Close();
  if (!Succeeded(reply)) {
    return Failure(reply);
  }
  auto* message = std::get_if<ConfigReplyMessage>(&Value(reply));
  if (message == nullptr) {
    return Error{ ErrorKind::BadMessage,
                  "peer answered a configuration request with another message",
                  "" };
  }
  return std::move(message->delta);
}

Result<Done>
ConfigAgent::AdoptFromStore(const ConfigDelta& aDelta,
                            const ConfigSource& aSource)
{
  return this->Adopt(
    aDelta, { 0, 0, "store", this->settings.store, aSource.Position() });
}

Result<Done>
ConfigAgent::AdoptFromPeer(const ConfigDelta& aDelta, const Endpoint& aPeer)
{
  return this->Adopt(aDelta, { 0, 0, "peer", aPeer, "" });
}

Result<Done>
ConfigAgent::Adopt(const ConfigDelta& aDelta, Adoption aOrigin)
{
  aOrigin.previous = this->Generation();
  auto next = this->publisher.CurrentConfiguration()->Apply(aDelta);
  if (!Succeeded(next)) {
    // Conflict: a newer configuration is already in force.
    const bool stale = Failure(next).kind == ErrorKind::Conflict;
    if (!stale) {
      Log(kConfigurationRejected, aOrigin.source, Failure(next));
    }
    return Failure(next);
  }
  this->publisher.SetConfiguration(
    std::make_shared<const Configuration>(std::move(Value(next))));
  aOrigin.generation = this->Generation();
  this->log.OnAdopted(aOrigin, Now());
  if (this->onAdopted) {
    this->onAdopted(aOrigin.generation);
  }
  return Done{};
}

}
