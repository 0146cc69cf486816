#include "baobab/decision/membership.hpp"

#include <algorithm>
#include <bit>
#include <ranges>
#include <xxhash.h>

namespace baobab {
namespace {

/// Members that are asked to probe on behalf of this one.
constexpr std::size_t kIndirectProbes = 3;

/// Members that hear of a new generation at once.
constexpr std::size_t kGenerationFanout = 4;

/// One in this many probes goes to another region.
constexpr std::uint64_t kCrossRegionProbes = 8;

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
  ++this->version;
  this->Spread(this->self.endpoint);
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
  this->Spread(this->self.endpoint);
  return this->PushGeneration(this->generation);
}

std::vector<GossipSend>
Membership::Tick(TimePoint aNow)
{
  std::vector<GossipSend> sends;
  this->CheckProbes(aNow, sends);
  this->CheckSuspects(aNow);
  if (aNow >= this->nextSweep) {
    this->nextSweep = aNow + kSweepPeriod;
    this->CheckUnreachable(aNow);
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
Membership::Handle(const Endpoint& aFrom,
                   const GossipMessage& aMessage,
                   TimePoint aNow)
{
  this->Hear(aMessage, aNow);
  std::vector<GossipSend> sends;
  switch (aMessage.kind) {
    case GossipKind::Ping:
      sends.push_back(
        { aFrom, this->Message(GossipKind::Ack, aMessage.nonce) });
      break;
    case GossipKind::PingRequest:
      if (aMessage.subject) {
        const std::uint32_t nonce = this->nextNonce++;
        this->relays[nonce] = { aFrom, aMessage.nonce, aNow };
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
  const std::size_t place = Below(this->random, this->order.size() + 1);
  this->order.push_back(aRecord.endpoint);
  std::swap(this->order[place], this->order.back());
}

std::vector<GossipSend>
Membership::PushGeneration(std::uint64_t aGeneration)
{
  this->generation = aGeneration;
  std::vector<GossipSend> sends;
  for (std::size_t i = 0; i < kGenerationFanout; ++i) {
    if (const auto peer = this->RandomPeer()) {
      sends.push_back({ *peer, this->Message(GossipKind::News, 0) });
    }
  }
  if (!this->order.empty()) {
    const Endpoint any = this->order[Below(this->random, this->order.size())];
    sends.push_back({ any, this->Message(GossipKind::News, 0) });
  }
  return sends;
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
Membership::Living() const
{
  std::vector<MemberRecord> living{ this->self };
  for (const auto& [endpoint, entry] : this->members) {
    if (entry.record.state != MemberState::Dead) {
      living.push_back(entry.record);
    }
  }
  return living;
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
  std::optional<Endpoint> fallback;
  for (int tries = 0; tries < kTries && !this->order.empty(); ++tries) {
    const Endpoint peer = this->order[Below(this->random, this->order.size())];
    const MemberRecord& record = this->members.at(peer).record;
    if (record.state == MemberState::Dead ||
        record.state == MemberState::Unreachable) {
      continue;
    }
    if (record.locality.region == this->self.locality.region) {
      return peer;
    }
    fallback = peer;
  }
  if (!fallback && this->order.empty() && !this->seeds.empty()) {
    return this->seeds[Below(this->random, this->seeds.size())];
  }
  return fallback;
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
  message.news = this->PickNews();
  return message;
}

std::vector<MemberRecord>
Membership::PickNews()
{
  std::vector<MemberRecord> picked;
  std::size_t bytes = 0;
  const std::size_t limit = this->NewsLimit();
  std::vector<std::pair<std::uint32_t, Endpoint>> sent;
  for (const auto& [key, endpoint] : this->news) {
    const bool own = endpoint == this->self.endpoint;
    const MemberRecord& record =
      own ? this->self : this->members.at(endpoint).record;
    bytes += EncodedSize(record);
    if (bytes > this->options.newsBytes) {
      break;
    }
    picked.push_back(record);
    sent.push_back(key);
  }
  for (const auto& key : sent) {
    this->news.erase(key);
    const std::uint32_t count = key.first + 1;
    if (count >= limit) {
      this->newsSent.erase(key.second);
      continue;
    }
    this->newsSent[key.second] = count;
    this->news.emplace(std::pair{ count, key.second }, key.second);
  }
  return picked;
}

std::size_t
Membership::NewsLimit() const
{
  return kNewsFactor * std::bit_width(this->Size()) + 1;
}

void
Membership::Store(Entry& aEntry, MemberRecord aRecord, TimePoint aNow)
{
  std::uint64_t& digest = this->digests[BucketOf(aRecord.endpoint)];
  digest ^= HashOf(aEntry.record);
  digest ^= HashOf(aRecord);
  aEntry.record = std::move(aRecord);
  aEntry.changedAt = aNow;
  ++this->version;
  const Endpoint& endpoint = aEntry.record.endpoint;
  if (aEntry.record.state == MemberState::Suspect) {
    this->suspects.emplace(endpoint, aNow);
  } else {
    this->suspects.erase(endpoint);
  }
  this->Spread(endpoint);
}

void
Membership::Spread(const Endpoint& aEndpoint)
{
  if (const auto sent = this->newsSent.find(aEndpoint);
      sent != this->newsSent.end()) {
    this->news.erase({ sent->second, aEndpoint });
  }
  this->newsSent[aEndpoint] = 0;
  this->news.emplace(std::pair{ 0U, aEndpoint }, aEndpoint);
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
  ++this->version;
  this->Spread(this->self.endpoint);
}

void
Membership::Hear(const GossipMessage& aMessage, TimePoint aNow)
{
  RegionContact& region = this->regions[aMessage.sender.locality.region];
  if (aNow - region.heardAt > this->options.suspicion) {
    region.backAt = aNow;
  }
  region.heardAt = aNow;
  this->Merge(aMessage.sender, aNow);
  for (const MemberRecord& record : aMessage.news) {
    this->Merge(record, aNow);
  }
  // A sender that is held for suspect or worse learns it and can refute.
  const auto found = this->members.find(aMessage.sender.endpoint);
  if (found != this->members.end() &&
      found->second.record.state != MemberState::Alive) {
    this->Spread(aMessage.sender.endpoint);
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
    const std::string& region =
      this->members.at(endpoint).record.locality.region;
    const auto contact = this->regions.find(region);
    const bool silent =
      region != this->self.locality.region &&
      (contact == this->regions.end() || contact->second.heardAt < since);
    this->SetState(
      endpoint, silent ? MemberState::Unreachable : MemberState::Dead, aNow);
  }
}

void
Membership::CheckUnreachable(TimePoint aNow)
{
  // Members of a region that is heard again have the time of a tombstone to
  // refute what was said about them.
  std::vector<Endpoint> gone;
  for (const auto& [endpoint, entry] : this->members) {
    const auto region = this->regions.find(entry.record.locality.region);
    if (entry.record.state == MemberState::Unreachable &&
        region != this->regions.end() &&
        region->second.backAt > entry.changedAt &&
        aNow - region->second.backAt > this->options.tombstone) {
      gone.push_back(endpoint);
    }
  }
  for (const Endpoint& endpoint : gone) {
    this->SetState(endpoint, MemberState::Dead, aNow);
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
    if (const auto sent = this->newsSent.find(endpoint);
        sent != this->newsSent.end()) {
      this->news.erase({ sent->second, endpoint });
      this->newsSent.erase(sent);
    }
    this->members.erase(endpoint);
  }
  if (!gone.empty()) {
    std::erase_if(this->order, [&](const Endpoint& aEndpoint) {
      return !this->members.contains(aEndpoint);
    });
    this->position = std::min(this->position, this->order.size());
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
  const bool abroad = Below(this->random, kCrossRegionProbes) == 0;
  for (std::size_t step = 0; step < this->order.size(); ++step) {
    if (this->position >= this->order.size()) {
      this->Shuffle();
    }
    const Endpoint subject = this->order[this->position++];
    const MemberRecord& record = this->members.at(subject).record;
    const bool foreign = record.locality.region != this->self.locality.region;
    if (record.state != MemberState::Dead && (!foreign || abroad)) {
      return subject;
    }
  }
  if (!this->seeds.empty()) {
    return this->seeds[Below(this->random, this->seeds.size())];
  }
  return std::nullopt;
}

void
Membership::Shuffle()
{
  std::ranges::shuffle(this->order, this->random);
  this->position = 0;
}

}
