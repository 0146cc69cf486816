#include "baobab/decision/membership.hpp"

#include <algorithm>
#include <bit>
#include <ranges>
#include <xxhash.h>

namespace baobab {
namespace {

/// Members that are asked to probe on behalf of this one.
constexpr std::size_t kIndirectProbes = 3;

/// Members of the own region that hear news at once.
constexpr std::size_t kPushFanout = 4;

/// One in this many probes, and full exchanges, goes to another region.
constexpr std::uint64_t kCrossRegionPart = 8;

/// Daemons of a region that pass something on to each other region. More of
/// them would add to the bytes of the link with the size of the region.
constexpr std::size_t kCrossings = 3;

/// Transmissions of one piece of news, times the logarithm of the fleet.
constexpr std::size_t kNewsFactor = 2;

/// Pause between sweeps over the whole table.
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
  this->NoteChange(this->self.endpoint);
  this->news.Add(this->self.endpoint);
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
Membership::Greet(const Endpoint& aEndpoint)
{
  return { aEndpoint, this->Message(GossipKind::Ping, this->nextNonce++) };
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
  this->news.Add(this->self.endpoint);
  return this->Push();
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
  return sends;
}

std::vector<GossipSend>
Membership::Handle(const GossipMessage& aMessage, TimePoint aNow)
{
  this->Hear(aMessage, aNow);
  // The source of the datagram may be a translated address.
  const Endpoint from = aMessage.sender.endpoint;
  std::vector<GossipSend> sends;
  switch (aMessage.kind) {
    case GossipKind::Ping:
      sends.push_back({ from, this->Message(GossipKind::Ack, aMessage.nonce) });
      break;
    case GossipKind::PingRequest:
      if (aMessage.subject) {
        const std::uint32_t nonce = this->nextNonce++;
        this->relays[nonce] = { from, aMessage.nonce, aNow };
        sends.push_back(
          { *aMessage.subject, this->Message(GossipKind::Ping, nonce) });
      }
      break;
    case GossipKind::Ack:
      this->probes.erase(aMessage.nonce);
      if (const auto relay = this->relays.find(aMessage.nonce);
          relay != this->relays.end()) {
        GossipMessage ack = this->Message(GossipKind::Ack, relay->second.nonce);
        sends.push_back({ relay->second.requester, std::move(ack) });
        this->relays.erase(relay);
      }
      break;
    case GossipKind::News:
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
  // A new entry has no hash in the digest yet; one of zeros cancels out.
  entry.record.endpoint = aRecord.endpoint;
  this->digests[BucketOf(aRecord.endpoint)] ^= HashOf(entry.record);
  this->Store(entry, aRecord, aNow);
  this->peers.Add(aRecord.endpoint, aRecord.locality.region, this->random);
}

std::vector<GossipSend>
Membership::Push()
{
  std::vector<GossipSend> sends;
  const auto push = [&](const std::optional<Endpoint>& aPeer) {
    if (aPeer) {
      sends.push_back({ *aPeer, this->Message(GossipKind::News, 0) });
    }
  };
  for (std::size_t i = 0; i < kPushFanout; ++i) {
    push(this->RandomPeer());
  }
  for (const std::string& region : this->peers.OtherRegions()) {
    if (this->Crosses()) {
      push(this->peers.RandomOf(region, this->random));
    }
  }
  return sends;
}

std::optional<Endpoint>
Membership::ExchangePeer()
{
  const auto others = this->peers.OtherRegions();
  if (!others.empty() && UniformBelow(this->random, kCrossRegionPart) == 0 &&
      this->Crosses()) {
    return this->RandomOther(others);
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
Membership::Living(TimePoint aNow) const
{
  std::vector<MemberRecord> living{ this->self };
  living.reserve(this->Size());
  const auto silent = this->SilentRegions(aNow);
  for (const auto& [endpoint, entry] : this->members) {
    if (entry.record.state == MemberState::Dead) {
      continue;
    }
    living.push_back(entry.record);
    if (std::ranges::find(silent, entry.record.locality.region) !=
        silent.end()) {
      living.back().state = MemberState::Unreachable;
    }
  }
  return living;
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
  const auto spending = [&](const auto& aItem) {
    const Entry& entry = aItem.second;
    return entry.record.state != MemberState::Dead ||
           aNow - entry.changedAt < this->options.settling;
  };
  return std::ranges::count_if(this->members, spending) + 1;
}

bool
Membership::Settled(TimePoint aNow) const
{
  return aNow - this->startedAt >= this->options.settling;
}

std::optional<Endpoint>
Membership::RandomPeer()
{
  constexpr int kTries = 8;
  for (int tries = 0; tries < kTries; ++tries) {
    const auto peer =
      this->peers.RandomOf(this->self.locality.region, this->random);
    if (peer && this->members.at(*peer).record.state != MemberState::Dead) {
      return peer;
    }
  }
  return this->RandomOther(this->peers.OtherRegions());
}

bool
Membership::Crosses()
{
  return UniformBelow(this->random, this->peers.OwnCount() + 1) < kCrossings;
}

GossipMessage
Membership::Message(GossipKind aKind, std::uint32_t aNonce)
{
  GossipMessage message;
  message.kind = aKind;
  message.nonce = aNonce;
  message.generation = this->generation;
  message.digest = this->Digest();
  message.sender = this->self;
  message.contacts = this->contacts.Ages(this->lastTick);
  message.news = this->PickNews();
  return message;
}

std::vector<MemberRecord>
Membership::PickNews()
{
  const auto limit =
    static_cast<std::uint32_t>(kNewsFactor * std::bit_width(this->Size()) + 1);
  const auto endpoints = this->news.Take(
    [&](const Endpoint& aEndpoint) {
      return EncodedSize(*this->Find(aEndpoint));
    },
    this->options.newsBytes,
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
  this->NoteChange(endpoint);
  if (aEntry.record.state == MemberState::Suspect) {
    this->suspects.emplace(endpoint, aNow);
  } else {
    this->suspects.erase(endpoint);
  }
  this->news.Add(endpoint);
}

void
Membership::NoteChange(const Endpoint& aEndpoint)
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
    ++this->conflicts;
  }
  std::uint64_t& digest = this->digests[BucketOf(this->self.endpoint)];
  digest ^= HashOf(this->self);
  this->self.incarnation = aRecord.incarnation + 1;
  digest ^= HashOf(this->self);
  this->NoteChange(this->self.endpoint);
  this->news.Add(this->self.endpoint);
}

void
Membership::Hear(const GossipMessage& aMessage, TimePoint aNow)
{
  this->contacts.Hear(aMessage.sender.locality.region, aNow);
  for (const RegionAge& contact : aMessage.contacts) {
    this->contacts.Merge(contact, aNow);
  }
  this->Merge(aMessage.sender, aNow);
  for (const MemberRecord& record : aMessage.news) {
    this->Merge(record, aNow);
  }
  // A sender that is held for suspect or worse learns it and can refute.
  const auto found = this->members.find(aMessage.sender.endpoint);
  if (found != this->members.end() &&
      found->second.record.state != MemberState::Alive) {
    this->news.Add(aMessage.sender.endpoint);
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
    if (probe.indirect || aNow - probe.sentAt < this->options.ackTime) {
      continue;
    }
    probe.indirect = true;
    for (std::size_t i = 0; i < kIndirectProbes; ++i) {
      const auto helper = this->RandomPeer();
      if (helper && *helper != probe.subject) {
        GossipMessage request = this->Message(GossipKind::PingRequest, nonce);
        request.subject = probe.subject;
        aSends.push_back({ *helper, std::move(request) });
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
  std::vector<std::pair<Endpoint, TimePoint>> matured;
  std::ranges::copy_if(
    this->suspects, std::back_inserter(matured), [&](const auto& aItem) {
      return aNow - aItem.second >= this->options.suspicion;
    });
  for (const auto& [endpoint, since] : matured) {
    // Members of a parted region stay suspect; once it is heard again, they
    // have the whole time to refute.
    const std::string& region =
      this->members.at(endpoint).record.locality.region;
    if (region == this->self.locality.region ||
        this->contacts.WasHeardSince(region, since, aNow)) {
      this->SetState(endpoint, MemberState::Dead, aNow);
    }
  }
}

void
Membership::DropTombstones(TimePoint aNow)
{
  std::vector<Endpoint> gone;
  for (const auto& [endpoint, entry] : this->members) {
    if (entry.record.state == MemberState::Dead &&
        aNow - entry.changedAt > this->options.tombstone) {
      gone.push_back(endpoint);
    }
  }
  for (const Endpoint& endpoint : gone) {
    const MemberRecord& record = this->members.at(endpoint).record;
    this->digests[BucketOf(endpoint)] ^= HashOf(record);
    this->news.Remove(endpoint);
    this->members.erase(endpoint);
  }
  if (!gone.empty()) {
    this->peers.Keep([&](const Endpoint& aEndpoint) {
      return this->members.contains(aEndpoint);
    });
  }
}

void
Membership::StartProbe(TimePoint aNow, std::vector<GossipSend>& aSends)
{
  const auto subject = this->NextSubject();
  if (!subject) {
    return;
  }
  const std::uint32_t nonce = this->nextNonce++;
  if (this->members.contains(*subject)) {
    this->probes[nonce] = { *subject, aNow };
  }
  aSends.push_back({ *subject, this->Message(GossipKind::Ping, nonce) });
}

std::optional<Endpoint>
Membership::NextSubject()
{
  const auto others = this->peers.OtherRegions();
  const bool abroad =
    !others.empty() && this->Crosses() &&
    UniformBelow(this->random, kCrossRegionPart) < others.size();
  if (abroad || this->peers.OwnCount() == 0) {
    return this->RandomOther(others);
  }
  for (std::size_t step = 0; step < this->peers.OwnCount(); ++step) {
    const auto subject = this->peers.NextOwn(this->random);
    if (this->members.at(*subject).record.state != MemberState::Dead) {
      return subject;
    }
  }
  return this->RandomOther(others);
}

std::optional<Endpoint>
Membership::RandomOther(const std::vector<std::string>& aRegions)
{
  if (!aRegions.empty()) {
    return this->peers.RandomOf(
      aRegions[UniformBelow(this->random, aRegions.size())], this->random);
  }
  if (!this->seeds.empty()) {
    return this->seeds[UniformBelow(this->random, this->seeds.size())];
  }
  return std::nullopt;
}

}
