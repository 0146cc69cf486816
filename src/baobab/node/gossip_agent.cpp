#include "baobab/node/gossip_agent.hpp"

#include "baobab/decision/rendezvous.hpp"
#include "baobab/net/clock.hpp"
#include "baobab/net/log.hpp"
#include "baobab/net/log_events.hpp"
#include "baobab/net/manifest_json.hpp"
#include "baobab/net/worker.hpp"
#include "baobab/wire/gossip_codec.hpp"
#include "baobab/wire/quota_codec.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/fiber/operations.hpp>
#include <ranges>
#include <sstream>

namespace baobab {
namespace {

namespace asio = boost::asio;

constexpr std::string_view kSeedRole = "seed-writer";

constexpr Duration kTimerPeriod = 50ms;
constexpr Duration kExchangeTimeout = 10s;

/// Minimum time between full exchanges while the digests differ, for a settled
/// daemon and for a joining one.
constexpr Duration kExchangePeriod = 30s;
constexpr Duration kJoinPeriod = 1s;

/// Table size below which a daemon counts as joining.
constexpr std::size_t kJoiningSize = 4;

constexpr Duration kSeedPeriod = 30s;
constexpr Duration kSeedRetryPeriod = 1s;

/// Upper bound of the random delay before the first read of the seeds.
constexpr Duration kMaxSeedDelay = 400ms;
constexpr std::size_t kSeedWriters = 2;
constexpr std::size_t kMaxSeeds = 16;

constexpr std::size_t kMaxSuspicionsPerDatagram = 8;

/// Members in one message of a full exchange, and the size charged for each.
constexpr std::size_t kMembersPerMessage = 32;
constexpr std::size_t kMemberBytes = 64;

}

GossipAgent::GossipAgent(asio::io_context& aContext,
                         std::unique_ptr<Store> aStore,
                         Membership& aMembership,
                         Quarantine& aQuarantine,
                         StoreFreshness& aFreshness,
                         ControlPacer& aPacer,
                         const Settings& aSettings)
  : context(aContext)
  , membership(aMembership)
  , quarantine(aQuarantine)
  , freshness(aFreshness)
  , pacer(aPacer)
  , settings(aSettings)
  , socket(aContext)
  , store(std::move(aStore))
  , random(EntropySeed())
{
}

Result<Done>
GossipAgent::Open()
{
  boost::system::error_code error;
  this->socket.open(Udp::v4(), error);
  this->socket.bind(ToUdp(this->settings.peers), error);
  if (error) {
    return Error{ ErrorKind::System,
                  "cannot open UDP socket on " +
                    ToString(this->settings.peers) + ": " + error.message(),
                  "free the address or change 'listen.peers'" };
  }
  this->socket.non_blocking(true, error);
  return Done{};
}

void
GossipAgent::Receive()
{
  alignas(std::uint64_t) std::array<std::uint8_t, kMaxDatagramBytes> buffer;
  while (true) {
    Udp::endpoint from;
    const IoResult received = Await([&](auto aHandler) {
      this->socket.async_receive_from(asio::buffer(buffer), from, aHandler);
    });
    if (!received) {
      continue;
    }
    const std::span<const std::uint8_t> bytes(buffer.data(), received.bytes);
    if (this->onQuota && IsQuotaDatagram(bytes)) {
      this->onQuota(bytes, { from.address().to_v4().to_uint(), from.port() });
    } else {
      this->Handle(bytes);
    }
  }
}

void
GossipAgent::Handle(std::span<const std::uint8_t> aBytes)
{
  ++this->counts.received;
  this->counts.receivedBytes += aBytes.size();
  if (const auto lease = DecodeLease(aBytes)) {
    if (this->onLease) {
      this->onLease(*lease);
    }
    return;
  }
  auto message = DecodeGossip(aBytes);
  if (!Succeeded(message)) {
    this->counts.refused.Record(Failure(message).message, Now());
    return;
  }
  const GossipMessage& gossip = Value(message);
  if (gossip.confirmation) {
    this->freshness.Merge(gossip.generation, *gossip.confirmation, Now());
  }
  for (const Suspicion& suspicion : gossip.suspicions) {
    this->quarantine.Merge(suspicion, Now());
  }
  this->Send(this->membership.Handle(gossip, Now()),
             gossip.suspicionDigest != this->quarantine.Digest());
  this->digestsDiffer = gossip.digest != this->membership.Digest();
  if (this->onGeneration) {
    this->onGeneration(gossip.sender.endpoint, gossip.generation);
  }
  if (gossip.evacuated && this->onEvacuatedZones) {
    this->onEvacuatedZones(*gossip.evacuated);
  }
  if (!gossip.suspicions.empty() && this->onSuspicions) {
    this->onSuspicions();
  }
}

void
GossipAgent::RunTimers()
{
  while (true) {
    this->Send(this->membership.Tick(Now()));
    boost::this_fiber::sleep_for(kTimerPeriod);
  }
}

void
GossipAgent::Send(std::vector<GossipSend> aSends, bool aSuspicionsDiffer)
{
  const auto evacuated =
    this->evacuatedZones ? this->evacuatedZones() : std::nullopt;
  for (GossipSend& send : aSends) {
    send.message.evacuated = evacuated;
    send.message.confirmation =
      this->freshness.Current(send.message.generation, Now());
    send.message.suspicionDigest = this->quarantine.Digest();
    send.message.suspicions = this->quarantine.SelectForDatagram(
      kMaxSuspicionsPerDatagram, Now(), aSuspicionsDiffer);
    std::string bytes = EncodeGossip(send.message);
    if (bytes.size() > kMaxDatagramBytes) {
      this->counts.unsent.Record("updates do not fit into a datagram", Now());
    }
    while (bytes.size() > kMaxDatagramBytes && !send.message.updates.empty()) {
      send.message.updates.resize(send.message.updates.size() / 2);
      bytes = EncodeGossip(send.message);
    }
    if (!this->pacer.TrySpend(bytes.size())) {
      this->counts.unsent.Record("exceeds the control budget", Now());
      continue;
    }
    boost::system::error_code error;
    this->socket.send_to(asio::buffer(bytes), ToUdp(send.to), 0, error);
    if (error) {
      this->counts.unsent.Record(error.message(), Now());
      continue;
    }
    ++this->counts.sent;
    this->counts.sentBytes += bytes.size();
  }
}

void
GossipAgent::SendDatagram(const Endpoint& aTo, std::string_view aBytes)
{
  boost::system::error_code error;
  this->socket.send_to(asio::buffer(aBytes), ToUdp(aTo), 0, error);
  if (error) {
    this->counts.unsent.Record(error.message(), Now());
  }
}

void
GossipAgent::SendLease(const Endpoint& aTo, const LeaseMessage& aMessage)
{
  const std::string bytes = EncodeLease(aMessage);
  // Charged, but never dropped: it is small, and without it calls are refused.
  static_cast<void>(this->pacer.TrySpend(bytes.size()));
  boost::system::error_code error;
  this->socket.send_to(asio::buffer(bytes), ToUdp(aTo), 0, error);
  if (error) {
    this->counts.unsent.Record(error.message(), Now());
    return;
  }
  ++this->counts.sent;
  this->counts.sentBytes += bytes.size();
}

void
GossipAgent::RunExchanges()
{
  TimePoint last;
  while (true) {
    boost::this_fiber::sleep_for(kJoinPeriod);
    const bool joining = this->membership.Size() < kJoiningSize ||
                         !this->membership.IsSettled(Now());
    const Duration period = joining ? kJoinPeriod : kExchangePeriod;
    if (!this->digestsDiffer || Now() - last < period) {
      continue;
    }
    last = Now();
    if (const auto peer = this->membership.PickExchangePeer()) {
      if (const auto done = this->Exchange(*peer); !Succeeded(done)) {
        Log(kExchangeFailed, *peer, Failure(done));
      }
    }
  }
}

/// Requests the records of a peer in which its table differs from this one.
Result<Done>
GossipAgent::Exchange(const Endpoint& aPeer)
{
  auto opened = Connect(this->context,
                        aPeer,
                        this->settings.timeouts.connect,
                        this->settings.peers.address);
  if (!Succeeded(opened)) {
    return Failure(opened);
  }
  ++this->counts.exchanges;
  const auto frames =
    std::make_shared<FrameConnection>(std::move(Value(opened)));
  const auto timer = frames->CloseAfter(kExchangeTimeout);
  const auto& digests = this->membership.Digests();
  this->pacer.Spend(sizeof digests);
  frames->Send(TableRequestMessage{ { digests.begin(), digests.end() } });
  while (true) {
    auto reply = frames->Read();
    if (!Succeeded(reply)) {
      return Failure(reply);
    }
    const auto* list = std::get_if<MemberListMessage>(&Value(reply));
    if (list == nullptr) {
      frames->Close();
      return Error{ ErrorKind::BadMessage,
                    "peer answered a table request with another message",
                    "" };
    }
    if (list->members.empty()) {
      break;
    }
    for (const MemberRecord& member : list->members) {
      this->membership.Merge(member, Now());
    }
  }
  frames->Close();
  return Done{};
}

void
GossipAgent::Reply(const std::shared_ptr<FrameConnection>& aFrames,
                   const TableRequestMessage& aRequest)
{
  std::vector<MemberRecord> members;
  const auto& digests = this->membership.Digests();
  for (std::size_t bucket = 0; bucket < Membership::kBuckets; ++bucket) {
    if (bucket >= aRequest.digests.size() ||
        aRequest.digests[bucket] != digests[bucket]) {
      std::ranges::move(this->membership.Bucket(bucket),
                        std::back_inserter(members));
    }
  }
  Spawn([this, aFrames, members = std::move(members)] {
    for (std::size_t i = 0; i < members.size() && aFrames->IsOpen();
         i += kMembersPerMessage) {
      const std::size_t end = std::min(members.size(), i + kMembersPerMessage);
      this->pacer.Spend((end - i) * kMemberBytes);
      aFrames->Send(MemberListMessage{
        { members.begin() + static_cast<std::ptrdiff_t>(i),
          members.begin() + static_cast<std::ptrdiff_t>(end) } });
    }
    aFrames->Send(MemberListMessage{});
  });
}

void
GossipAgent::MaintainSeeds()
{
  // When a whole fleet starts, no daemon knows any other and all would write
  // the seeds. With the delay, later ones find those written by earlier ones.
  boost::this_fiber::sleep_for(std::chrono::duration_cast<Duration>(
    kMaxSeedDelay * UniformFraction(this->random)));
  bool found = this->ReadSeeds();
  while (true) {
    if (this->IsSeedWriter() && !found) {
      this->WriteSeeds();
    }
    found = false;
    const bool alone = this->membership.Size() == 1;
    const double jitter = 0.5 + UniformFraction(this->random);
    boost::this_fiber::sleep_for(std::chrono::duration_cast<Duration>(
      (alone ? kSeedRetryPeriod : kSeedPeriod) * jitter));
    if (this->membership.Size() == 1) {
      this->ReadSeeds();
    }
  }
}

/// Reads the seed lists of all zones and contacts their peers. Returns true if
/// there is any list.
bool
GossipAgent::ReadSeeds()
{
  const auto lists = this->store->ReadAll(kSeedPrefix);
  if (!Succeeded(lists)) {
    Log(kPeersMissing, Failure(lists));
    return false;
  }
  for (const StoredObject& list : Value(lists)) {
    this->ContactSeeds(list.value);
  }
  return !Value(lists).empty();
}

bool
GossipAgent::IsSeedWriter() const
{
  const auto writers =
    RendezvousPick(this->membership.ZoneMembers(), kSeedRole, kSeedWriters);
  return std::ranges::find(writers, this->membership.Self().endpoint) !=
         writers.end();
}

void
GossipAgent::WriteSeeds()
{
  const Locality& locality = this->settings.locality;
  const std::string key = SeedKey(locality.region, locality.zone);
  auto object = this->store->Get(key);
  if (!Succeeded(object)) {
    Log(kSeedsNotWritten, Failure(object));
    return;
  }
  PutCondition condition;
  if (Value(object)) {
    this->ContactSeeds(Value(object)->value);
    condition.version = Value(object)->version;
  }
  // Sorted, so that all writers of a zone produce the same text.
  auto zone = this->membership.ZoneMembers();
  std::ranges::sort(zone);
  std::string text;
  for (const Endpoint& member : zone | std::views::take(kMaxSeeds)) {
    text += ToString(member) + "\n";
  }
  if (!Value(object) || Value(object)->value != text) {
    const auto written = this->store->Put(key, text, condition);
    // Conflict: another writer of the zone was faster.
    if (!Succeeded(written) && Failure(written).kind != ErrorKind::Conflict) {
      Log(kSeedsNotWritten, Failure(written));
    }
  }
}

void
GossipAgent::ContactSeeds(std::string_view aText)
{
  std::istringstream lines{ std::string(aText) };
  for (std::string line; std::getline(lines, line);) {
    const auto endpoint = ParseEndpoint(line);
    if (!Succeeded(endpoint)) {
      Log(kSeedInvalid, Failure(endpoint));
      continue;
    }
    if (!this->membership.Knows(Value(endpoint))) {
      this->membership.AddSeed(Value(endpoint));
      this->Send({ this->membership.MakePing(Value(endpoint)) });
    }
  }
}

}
