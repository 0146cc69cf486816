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

constexpr Duration kWatchTime = 20s;
constexpr Duration kRetryPause = 500ms;
constexpr Duration kRoleCheck = 500ms;

/// Silence of all peers after which a daemon reads the store itself.
constexpr Duration kSilence = 10s;

/// Mean time between reads of a daemon that is no reader and hears peers.
constexpr Duration kAuditTime = 300s;

/// Time for a peer to answer. Others may be asked meanwhile.
constexpr Duration kPullTime = 2s;

/// Bytes of a reply besides the files.
constexpr std::size_t kReplyOverhead = 128;

}

ConfigAgent::ConfigAgent(boost::asio::io_context& aContext,
                         std::unique_ptr<ConfigSource> aSource,
                         Membership& aMembership,
                         RoutePublisher& aPublisher,
                         ControlPacer& aPacer,
                         const Settings& aSettings)
  : context(aContext)
  , membership(aMembership)
  , publisher(aPublisher)
  , pacer(aPacer)
  , settings(aSettings)
  , source(std::move(aSource))
  , random(EntropySeed())
{
}

void
ConfigAgent::Run()
{
  this->ReadStore();
  this->askedStore = true;
  const auto jitter = [&] {
    return std::chrono::duration_cast<Duration>(kAuditTime *
                                                (0.5 + Fraction(this->random)));
  };
  TimePoint nextAudit = Now() + jitter();
  while (true) {
    if (this->IsReader()) {
      this->WatchStore();
      continue;
    }
    const bool silent = Now() - this->heardAt > kSilence;
    const bool due = silent && Fraction(this->random) < 0.1;
    if (due || Now() > nextAudit) {
      this->ReadStore();
      nextAudit = Now() + jitter();
    }
    boost::this_fiber::sleep_for(kRoleCheck);
  }
}

void
ConfigAgent::OnPeerGeneration(const Endpoint& aPeer, std::uint64_t aGeneration)
{
  this->heardAt = Now();
  if (this->pulls.OnHeard(aGeneration, this->Generation(), Now())) {
    Spawn([this, aPeer] {
      this->Pull(aPeer);
      this->pulls.OnEnded();
    });
  }
}

void
ConfigAgent::Reply(const std::shared_ptr<FrameConnection>& aFrames,
                   const ConfigRequestMessage& aRequest)
{
  const auto size = [](const ConfigDelta& aDelta) {
    // Service files shrink to about a fifth on the wire.
    constexpr std::size_t kPacked = 5;
    std::size_t bytes = kReplyOverhead;
    for (const std::string& text : aDelta.texts) {
      bytes += text.size() / kPacked + kReplyOverhead;
    }
    return bytes;
  };
  const std::uint64_t since = aRequest.generation;
  Spawn([this, aFrames, since, size] {
    this->pacer.SpendOnConfiguration(
      size(this->publisher.CurrentConfiguration()->Since(since)));
    // Made after the wait, so that it holds what came into force meanwhile.
    aFrames->Send(ConfigReplyMessage{
      this->publisher.CurrentConfiguration()->Since(since) });
  });
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
  // Held, since a peer's configuration may replace it during the read.
  const auto current = this->publisher.CurrentConfiguration();
  this->Take(this->source->Read(*current));
}

void
ConfigAgent::WatchStore()
{
  const TimePoint began = Now();
  const auto current = this->publisher.CurrentConfiguration();
  const auto changed = this->source->Watch(*current, kWatchTime);
  this->Take(changed);
  // A watch that ends at once must not become a busy loop.
  const bool useful = Succeeded(changed) && Value(changed);
  if (!useful && Now() - began < kRetryPause) {
    const double spread = 0.5 + Fraction(this->random);
    boost::this_fiber::sleep_for(
      std::chrono::duration_cast<Duration>(kRetryPause * spread));
  }
}

void
ConfigAgent::Take(const Result<std::optional<ConfigDelta>>& aRead)
{
  this->NoteStore(aRead);
  if (Succeeded(aRead) && Value(aRead)) {
    this->Adopt(*Value(aRead), "store");
  }
}

/// Logs when the store is lost and when it answers again.
void
ConfigAgent::NoteStore(const Result<std::optional<ConfigDelta>>& aRead)
{
  if (!Succeeded(aRead) && !this->storeLostAt) {
    this->storeLostAt = Now();
    Log(kStoreLost, Failure(aRead));
  } else if (Succeeded(aRead) && this->storeLostAt) {
    Log(kStoreRegained, Now() - *this->storeLostAt);
    this->storeLostAt.reset();
  }
}

void
ConfigAgent::Pull(const Endpoint& aPeer)
{
  auto delta = this->Request(aPeer, this->Generation());
  if (!Succeeded(delta)) {
    Log(kPullFailed, aPeer, Failure(delta));
    return;
  }
  const auto adopted = this->Adopt(Value(delta), "peer");
  if (Succeeded(adopted) || Failure(adopted).kind != ErrorKind::MissingKey) {
    return;
  }
  auto whole = this->Request(aPeer, 0);
  if (Succeeded(whole)) {
    this->Adopt(Value(whole), "peer");
  }
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
  const auto timer = frames->CloseAfter(kPullTime);
  frames->Send(ConfigRequestMessage{ aSince });
  auto reply = frames->Read();
  frames->Close();
  if (!Succeeded(reply)) {
    return Failure(reply);
  }
  auto* message = std::get_if<ConfigReplyMessage>(&Value(reply));
  if (message == nullptr) {
    return Error{ ErrorKind::BadMessage, "unexpected reply", "" };
  }
  return std::move(message->delta);
}

Result<Done>
ConfigAgent::Adopt(const ConfigDelta& aDelta, std::string_view aSource)
{
  auto next = this->publisher.CurrentConfiguration()->Apply(aDelta);
  if (!Succeeded(next)) {
    const bool stale = Failure(next).kind == ErrorKind::Conflict;
    if (!stale) {
      Log(kConfigurationRejected, aSource, Failure(next));
    }
    return Failure(next);
  }
  this->publisher.SetConfiguration(
    std::make_shared<const Configuration>(std::move(Value(next))));
  Log(kConfigurationAdopted, this->Generation(), aSource);
  if (this->onAdopted) {
    this->onAdopted(this->Generation());
  }
  return Done{};
}

}
