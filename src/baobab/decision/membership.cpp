#include "baobab/decision/membership.hpp"

#include <algorithm>
#include <bit>
#include <ranges>
#include <xxhash.h>

namespace baobab {
namespace {

/// Members that are asked to probe on behalf of this daemon.
constexpr std::size_t kIndirectProbes = 3;

/// Members of this region to which updates are pushed.
constexpr std::size_t kPushFanout = 4;

/// Repeated pushes of a new generation, and the time between them. The first
/// push reaches most members; those that missed it must not wait for a probe.
constexpr int kGenerationPushes = 3;
constexpr Duration kGenerationPushPeriod = 200ms;

/// While a daemon is selected to send to other regions (see below), one in this
/// many of its full exchanges goes to another region, and one in this many of
/// its probes goes to each other region.
constexpr std::uint64_t kCrossRegionInterval = 8;

/// Average number of daemons of a region that are selected to send to other
/// regions at a time. It does not depend on the size of the region, so that the
/// traffic between regions does not grow with it.
constexpr std::size_t kCrossRegionSenders = 3;

/// Transmissions of one update per binary logarithm of the number of members.
constexpr std::size_t kTransmissionFactor = 2;

/// Time between removals of expired records of dead members.
constexpr Duration kSweepPeriod = 5s;

/// Encoded size of a record without its strings.
constexpr std::size_t kRecordBytes = 44;

std::uint64_t
HashOf(const MemberRecord& aRecord)
{
  const std::array<std::uint64_t, 3> fields = {
    (std::uint64_t{ aRecord.endpoint.address } << 16U) | aRecord.endpoint.port,
    aRecord.incarnation,
    static_cast<std::uint64_t>(aRecord.state),
  };
  return XXH3_64bits(fields.data(), sizeof fields);
}

std::size_t
EncodedSize(const MemberRecord& aRecord)
{
  return kRecordBytes + aRecord.service.size();
}

bool
Overrides(const MemberRecord& aNew, const MemberRecord& aOld)
{
  return std::pair{ aNew.incarnation, aNew.state } >
         std::pair{ aOld.incarnation, aOld.state };
}

}

Membership::Membership(MemberRecord aSelf,
                       MembershipOptions aOptions,
                       std::uint64_t aSeed,
                       TimePoint aNow)
  : self(std::move(aSelf))
  , options(aOptions)
  , random(aSeed)
  , startedAt(aNow)
  , nextProbe(aNow)
  , nextSweep(aNow + kSweepPeriod)
  , peers(this->self.locality.region)
{
  this->digests[BucketOf(this->self.endpoint)] ^= HashOf(this->self);
}

void
Membership::UpdateSelf(std::string_view aService,
                       TargetState aState,
                       std::uint16_t aSlots)
{
  if (this->self.service == aService && this->self.targetState == aState &&
      this->self.slots == aSlots) {
    return;
  }
  std::uint64_t& digest = this->digests[BucketOf(this->self.endpoint)];
  digest ^= HashOf(this->self);
  this->self.service = aService;
  this->self.targetState = aState;
  this->self.slots = aSlots;
  ++this->self.incarnation;
  digest ^= HashOf(this->self);
  this->RecordChange(this->self.endpoint);
  this->updates.Add(this->self.endpoint);
}

void
Membership::SetGeneration(std::uint64_t aGeneration)
{
  this->generation = aGeneration;
  this->generationPushes = kGenerationPushes;
  this->nextGenerationPush = this->lastTick + kGenerationPushPeriod;
}

void
Membership::AddSeed(const Endpoint& aEndpoint)
{
  if (aEndpoint != this->self.endpoint &&
      std::ranges::find(this->seeds, aEndpoint) == this->seeds.end()) {
    this->seeds.push_back(aEndpoint);
  }
}

GossipSend
Membership::MakePing(const Endpoint& aEndpoint)
{
  return { aEndpoint, this->MakeMessage(GossipKind::Ping, this->nextNonce++) };
}

std::uint64_t
Membership::Digest() const
{
  return XXH3_64bits(this->digests.data(), sizeof this->digests);
}

std::vector<GossipSend>
Membership::Leave()
{
  this->self.state = MemberState::Dead;
  this->updates.Add(this->self.endpoint);
  return this->PushUpdates();
}

std::vector<GossipSend>
Membership::Tick(TimePoint aNow)
{
  this->lastTick = aNow;
  std::vector<GossipSend> sends;
  this->CheckProbes(aNow, sends);
  this->CheckSuspects(aNow);
  if (aNow >= this->nextSweep) {
    this->nextSweep = aNow + kSweepPeriod;
    this->DropTombstones(aNow);
  }
  if (aNow >= this->nextProbe) {
    this->nextProbe = std::max(this->nextProbe + this->options.probePeriod,
                               aNow + this->options.probePeriod / 2);
    this->StartProbe(aNow, sends);
  }
  if (this->generationPushes > 0 && aNow >= this->nextGenerationPush) {
    --this->generationPushes;
    this->nextGenerationPush = aNow + kGenerationPushPeriod;
    std::ranges::move(this->PushUpdates(), std::back_inserter(sends));
  }
  return sends;
}

std::vector<GossipSend>
Membership::Handle(const GossipMessage& aMessage, TimePoint aNow)
{
  this->MergeMessage(aMessage, aNow);
  // Replies go to the endpoint in the sender's record, because network address
  // translation may have changed the datagram's source address.
  const Endpoint from = aMessage.sender.endpoint;
  std::vector<GossipSend> sends;
  switch (aMessage.kind) {
    case GossipKind::Ping:
      sends.push_back(
        { from, this->MakeMessage(GossipKind::Ack, aMessage.nonce) });
      break;
    case GossipKind::PingRequest:
      if (aMessage.subject) {
        const std::uint32_t nonce = this->nextNonce++;
        this->relays[nonce] = { from, aMessage.nonce, aNow };
        sends.push_back(
          { *aMessage.subject, this->MakeMessage(GossipKind::Ping, nonce) });
      }
      break;
    case GossipKind::Ack:
      this->probes.erase(aMessage.nonce);
      if (const auto relay = this->relays.find(aMessage.nonce);
          relay != this->relays.end()) {
        GossipMessage ack =
          this->MakeMessage(GossipKind::Ack, relay->second.nonce);
        sends.push_back({ relay->second.requester, std::move(ack) });
        this->relays.erase(relay);
      }
      break;
    case GossipKind::Update:
      break;
  }
  return sends;
}

void
Membership::Merge(const MemberRecord& aRecord, TimePoint aNow)
{
  if (aRecord.endpoint == this->self.endpoint) {
    this->Refute(aRecord);
    return;
  }
  const auto found = this->members.find(aRecord.endpoint);
  if (found != this->members.end()) {
    if (Overrides(aRecord, found->second.record)) {
      this->Store(found->second, aRecord, aNow);
    }
    return;
  }
  if (aRecord.state == MemberState::Dead) {
    return;
  }
  Entry& entry = this->members[aRecord.endpoint];
  // Store removes the hash of the old record from the digest, so that of the
  // empty record is added first.
  entry.record.endpoint = aRecord.endpoint;
  this->digests[BucketOf(aRecord.endpoint)] ^= HashOf(entry.record);
  this->Store(entry, aRecord, aNow);
  this->peers.Add(aRecord.endpoint, aRecord.locality.region, this->random);
}

std::vector<GossipSend>
Membership::PushUpdates()
{
  std::vector<GossipSend> sends;
  const auto push = [&](const std::optional<Endpoint>& aPeer) {
    if (aPeer) {
      sends.push_back({ *aPeer, this->MakeMessage(GossipKind::Update, 0) });
    }
  };
  for (std::size_t i = 0; i < kPushFanout; ++i) {
    push(this->RandomPeer());
  }
  for (const std::string& region : this->peers.OtherRegions()) {
    if (this->IsCrossRegionSender()) {
      push(this->peers.RandomInRegion(region, this->random));
    }
  }
  return sends;
}

std::optional<Endpoint>
Membership::PickExchangePeer()
{
  const auto others = this->peers.OtherRegions();
  if (!others.empty() &&
      UniformBelow(this->random, kCrossRegionInterval) == 0 &&
      this->IsCrossRegionSender()) {
    return this->RandomPeerOf(others);
  }
  return this->RandomPeer();
}

std::vector<MemberRecord>
Membership::Bucket(std::size_t aBucket) const
{
  std::vector<MemberRecord> records;
  if (BucketOf(this->self.endpoint) == aBucket) {
    records.push_back(this->self);
  }
  for (const auto& [endpoint, entry] : this->members) {
    if (BucketOf(endpoint) == aBucket) {
      records.push_back(entry.record);
    }
  }
  return records;
}

std::size_t
Membership::BucketOf(const Endpoint& aEndpoint)
{
  return (std::hash<Endpoint>{}(aEndpoint) >> 32U) % kBuckets;
}

std::vector<MemberRecord>
Membership::LiveMembers(TimePoint aNow) const
{
  std::vector<MemberRecord> live{ this->self };
  live.reserve(this->Size());
  const auto silent = this->SilentRegions(aNow);
  for (const auto& [endpoint, entry] : this->members) {
    if (entry.record.state == MemberState::Dead) {
      continue;
    }
    live.push_back(entry.record);
    if (std::ranges::find(silent, entry.record.locality.region) !=
        silent.end()) {
      live.back().state = MemberState::Unreachable;
    }
  }
  return live;
}

std::vector<Endpoint>
Membership::TakeChanged()
{
  std::ranges::sort(this->changed);
  const auto repeated = std::ranges::unique(this->changed);
  this->changed.erase(repeated.begin(), repeated.end());
  return std::exchange(this->changed, {});
}

const MemberRecord*
Membership::Find(const Endpoint& aEndpoint) const
{
  if (aEndpoint == this->self.endpoint) {
    return &this->self;
  }
  const auto found = this->members.find(aEndpoint);
  return found == this->members.end() ? nullptr : &found->second.record;
}

std::vector<std::string>
Membership::SilentRegions(TimePoint aNow) const
{
  std::vector<std::string> silent = this->peers.OtherRegions();
  std::erase_if(silent, [&](const std::string& aRegion) {
    return !this->contacts.IsSilent(aRegion, aNow);
  });
  return silent;
}

std::vector<Endpoint>
Membership::ZoneMembers() const
{
  std::vector<Endpoint> zone{ this->self.endpoint };
  for (const auto& [endpoint, entry] : this->members) {
    if (entry.record.state != MemberState::Dead &&
        entry.record.locality == this->self.locality) {
      zone.push_back(endpoint);
    }
  }
  return zone;
}

std::int64_t
Membership::SpenderCount(TimePoint aNow) const
{
  const auto maySpend = [&](const auto& aItem) {
    const Entry& entry = aItem.second;
    return entry.record.state != MemberState::Dead ||
           aNow - entry.changedAt < this->options.settlingTime;
  };
  return std::ranges::count_if(this->members, maySpend) + 1;
}

bool
Membership::IsSettled(TimePoint aNow) const
{
  return aNow - this->startedAt >= this->options.settlingTime;
}

std::optional<Endpoint>
Membership::RandomPeer()
{
  constexpr int kTries = 8;
  for (int tries = 0; tries < kTries; ++tries) {
    const auto peer =
      this->peers.RandomInRegion(this->self.locality.region, this->random);
    if (peer && this->members.at(*peer).record.state != MemberState::Dead) {
      return peer;
    }
  }
  return this->RandomPeerOf(this->peers.OtherRegions());
}

bool
Membership::IsCrossRegionSender()
{
  return UniformBelow(this->random, this->peers.OwnRegionSize() + 1) <
         kCrossRegionSenders;
}

GossipMessage
Membership::MakeMessage(GossipKind aKind, std::uint32_t aNonce)
{
  GossipMessage message;
  message.kind = aKind;
  message.nonce = aNonce;
  message.generation = this->generation;
  message.digest = this->Digest();
  message.sender = this->self;
  message.contacts = this->contacts.Ages(this->lastTick);
  message.updates = this->SelectUpdates();
  return message;
}

std::vector<MemberRecord>
Membership::SelectUpdates()
{
  const auto limit = static_cast<std::uint32_t>(
    kTransmissionFactor * std::bit_width(this->Size()) + 1);
  const auto endpoints = this->updates.SelectForDatagram(
    [&](const Endpoint& aEndpoint) {
      return EncodedSize(*this->Find(aEndpoint));
    },
    this->options.maxUpdateBytes,
    limit);
  std::vector<MemberRecord> records;
  std::ranges::transform(
    endpoints, std::back_inserter(records), [&](const Endpoint& aEndpoint) {
      return *this->Find(aEndpoint);
    });
  return records;
}

void
Membership::Store(Entry& aEntry, MemberRecord aRecord, TimePoint aNow)
{
  std::uint64_t& digest = this->digests[BucketOf(aRecord.endpoint)];
  digest ^= HashOf(aEntry.record);
  digest ^= HashOf(aRecord);
  aEntry.record = std::move(aRecord);
  aEntry.changedAt = aNow;
  const Endpoint& endpoint = aEntry.record.endpoint;
  this->RecordChange(endpoint);
  if (aEntry.record.state == MemberState::Suspect) {
    this->suspects.emplace(endpoint, aNow);
  } else {
    this->suspects.erase(endpoint);
  }
  this->updates.Add(endpoint);
}

void
Membership::RecordChange(const Endpoint& aEndpoint)
{
  ++this->version;
  this->changed.push_back(aEndpoint);
}

void
Membership::Refute(const MemberRecord& aRecord)
{
  if (!Overrides(aRecord, this->self) ||
      this->self.state == MemberState::Dead) {
    return;
  }
  if (aRecord.incarnation > this->self.incarnation) {
    ++this->addressConflicts;
  }
  std::uint64_t& digest = this->digests[BucketOf(this->self.endpoint)];
  digest ^= HashOf(this->self);
  this->self.incarnation = aRecord.incarnation + 1;
  digest ^= HashOf(this->self);
  this->RecordChange(this->self.endpoint);
  this->updates.Add(this->self.endpoint);
}

void
Membership::MergeMessage(const GossipMessage& aMessage, TimePoint aNow)
{
  this->contacts.RecordContact(aMessage.sender.locality.region, aNow);
  for (const RegionAge& contact : aMessage.contacts) {
    this->contacts.Merge(contact, aNow);
  }
  this->Merge(aMessage.sender, aNow);
  for (const MemberRecord& record : aMessage.updates) {
    this->Merge(record, aNow);
  }
  // Send a member that is considered suspect or dead its record, so that it can
  // refute it.
  const auto found = this->members.find(aMessage.sender.endpoint);
  if (found != this->members.end() &&
      found->second.record.state != MemberState::Alive) {
    this->updates.Add(aMessage.sender.endpoint);
  }
}

void
Membership::SetState(const Endpoint& aEndpoint,
                     MemberState aState,
                     TimePoint aNow)
{
  const auto found = this->members.find(aEndpoint);
  if (found == this->members.end() || found->second.record.state >= aState) {
    return;
  }
  MemberRecord record = found->second.record;
  record.state = aState;
  this->Store(found->second, std::move(record), aNow);
}

void
Membership::CheckProbes(TimePoint aNow, std::vector<GossipSend>& aSends)
{
  std::vector<Endpoint> missed;
  for (auto& [nonce, probe] : this->probes) {
    if (aNow - probe.sentAt >= this->options.probePeriod) {
      missed.push_back(probe.subject);
      continue;
    }
    if (probe.indirect || aNow - probe.sentAt < this->options.ackTimeout) {
      continue;
    }
    probe.indirect = true;
    for (std::size_t i = 0; i < kIndirectProbes; ++i) {
      const auto peer = this->RandomPeer();
      if (peer && *peer != probe.subject) {
        GossipMessage request =
          this->MakeMessage(GossipKind::PingRequest, nonce);
        request.subject = probe.subject;
        aSends.push_back({ *peer, std::move(request) });
      }
    }
  }
  std::erase_if(this->probes, [&](const auto& aItem) {
    return aNow - aItem.second.sentAt >= this->options.probePeriod;
  });
  std::erase_if(this->relays, [&](const auto& aItem) {
    return aNow - aItem.second.sentAt >= this->options.probePeriod;
  });
  for (const Endpoint& subject : missed) {
    this->SetState(subject, MemberState::Suspect, aNow);
  }
}

void
Membership::CheckSuspects(TimePoint aNow)
{
  std::vector<std::pair<Endpoint, TimePoint>> expired;
  std::ranges::copy_if(
    this->suspects, std::back_inserter(expired), [&](const auto& aItem) {
      return aNow - aItem.second >= this->options.suspicionTimeout;
    });
  for (const auto& [endpoint, since] : expired) {
    // Members of a disconnected region stay suspects. After contact is restored
    // they have time to refute the suspicion.
    const std::string& region =
      this->members.at(endpoint).record.locality.region;
    if (region == this->self.locality.region ||
        this->contacts.HadContactSince(region, since, aNow)) {
      this->SetState(endpoint, MemberState::Dead, aNow);
    }
  }
}

void
Membership::DropTombstones(TimePoint aNow)
{
  std::vector<Endpoint> expired;
  for (const auto& [endpoint, entry] : this->members) {
    if (entry.record.state == MemberState::Dead &&
        aNow - entry.changedAt > this->options.tombstoneRetention) {
      expired.push_back(endpoint);
    }
  }
  for (const Endpoint& endpoint : expired) {
    const MemberRecord& record = this->members.at(endpoint).record;
    this->digests[BucketOf(endpoint)] ^= HashOf(record);
    this->updates.Remove(endpoint);
    this->members.erase(endpoint);
  }
  if (!expired.empty()) {
    this->peers.RetainIf([&](const Endpoint& aEndpoint) {
      return this->members.contains(aEndpoint);
    });
  }
}

void
Membership::StartProbe(TimePoint aNow, std::vector<GossipSend>& aSends)
{
  const auto subject = this->NextProbeSubject();
  if (!subject) {
    return;
  }
  const std::uint32_t nonce = this->nextNonce++;
  if (this->members.contains(*subject)) {
    this->probes[nonce] = { *subject, aNow };
  }
  aSends.push_back({ *subject, this->MakeMessage(GossipKind::Ping, nonce) });
}

std::optional<Endpoint>
Membership::NextProbeSubject()
{
  const auto others = this->peers.OtherRegions();
  const bool crossRegion =
    !others.empty() && this->IsCrossRegionSender() &&
    UniformBelow(this->random, kCrossRegionInterval) < others.size();
  if (crossRegion || this->peers.OwnRegionSize() == 0) {
    return this->RandomPeerOf(others);
  }
  for (std::size_t step = 0; step < this->peers.OwnRegionSize(); ++step) {
    const auto subject = this->peers.NextInOwnRegion(this->random);
    if (this->members.at(*subject).record.state != MemberState::Dead) {
      return subject;
    }
  }
  return this->RandomPeerOf(others);
}

std::optional<Endpoint>
Membership::RandomPeerOf(const std::vector<std::string>& aRegions)
{
  if (!aRegions.empty()) {
    return this->peers.RandomInRegion(
      aRegions[UniformBelow(this->random, aRegions.size())], this->random);
  }
  if (!this->seeds.empty()) {
    return this->seeds[UniformBelow(this->random, this->seeds.size())];
  }
  return std::nullopt;
}

}
