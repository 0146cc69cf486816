/// @file
/// Membership without a list: SWIM-style probing and gossip.
#pragma once

#include "baobab/core/random.hpp"
#include "baobab/core/time.hpp"
#include "baobab/decision/gossip_message.hpp"
#include "baobab/decision/news_queue.hpp"
#include "baobab/decision/peer_lists.hpp"
#include "baobab/decision/region_contacts.hpp"

#include <array>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace baobab {

struct MembershipOptions
{
  Duration probePeriod = 1s;
  /// Time after which a missing ack is asked for through others.
  Duration ackTimeout = 300ms;
  /// Time a suspect has to refute.
  Duration suspicionTimeout = 4s;
  /// Time for which a dead member is remembered.
  Duration tombstoneRetention = 60s;
  /// Time for which a new daemon takes no share in fleet budgets.
  Duration settlingTime = 30s;
  /// News bytes in one datagram at most.
  std::size_t maxNewsBytes = 900;
};

/// The table of daemons as one daemon sees it.
class Membership
{
public:
  static constexpr std::size_t kBuckets = 64;

  Membership(MemberRecord aSelf,
             MembershipOptions aOptions,
             std::uint64_t aSeed,
             TimePoint aNow);

  /// Changes what this daemon says about its target.
  void UpdateSelf(std::string_view aService,
                  TargetState aState,
                  std::uint16_t aSlots);

  /// Adds a first peer whose record is not known yet.
  void AddSeed(const Endpoint& aEndpoint);

  /// Returns a ping for a first peer, so that both learn of each other.
  GossipSend MakePing(const Endpoint& aEndpoint);

  /// True if a record of the endpoint is held.
  bool Knows(const Endpoint& aEndpoint) const
  {
    return aEndpoint == this->self.endpoint ||
           this->members.contains(aEndpoint);
  }

  /// Combined hash of the table.
  std::uint64_t Digest() const;

  /// Marks this daemon as gone, for a last round of news.
  std::vector<GossipSend> Leave();

  /// Runs timers; returns the datagrams to send.
  std::vector<GossipSend> Tick(TimePoint aNow);

  /// Handles a datagram; returns the datagrams to send.
  std::vector<GossipSend> Handle(const GossipMessage& aMessage, TimePoint aNow);

  /// Takes over a record from a full exchange.
  void Merge(const MemberRecord& aRecord, TimePoint aNow);

  /// Datagrams that spread news and the generation at once: to a few members
  /// of the own region, and from a few daemons of each region to every other
  /// region.
  std::vector<GossipSend> PushNews();

  /// A peer for a full exchange; now and then one of another region.
  std::optional<Endpoint> PickExchangePeer();

  void SetGeneration(std::uint64_t aGeneration)
  {
    this->generation = aGeneration;
  }

  /// Hashes of the table by bucket of endpoints.
  const std::array<std::uint64_t, kBuckets>& Digests() const
  {
    return this->digests;
  }

  /// Records of one bucket, this daemon's own included.
  std::vector<MemberRecord> Bucket(std::size_t aBucket) const;

  /// Bucket of an endpoint.
  static std::size_t BucketOf(const Endpoint& aEndpoint);

  /// Every record that is not dead, this daemon's own included. Members of
  /// silent regions are shown as unreachable.
  std::vector<MemberRecord> LiveMembers(TimePoint aNow) const;

  /// Members whose records changed since the last call, this one included.
  std::vector<Endpoint> TakeChanged();

  /// The record of a member, or nothing.
  const MemberRecord* Find(const Endpoint& aEndpoint) const;

  /// Other regions with members that are not heard now.
  std::vector<std::string> SilentRegions(TimePoint aNow) const;

  /// Members of this daemon's availability zone, this one included.
  std::vector<Endpoint> ZoneMembers() const;

  /// Members that count as spending fleet budgets: everyone not known to be
  /// gone for longer than the settling time.
  std::int64_t SpenderCount(TimePoint aNow) const;

  /// True once this daemon may spend its share.
  bool IsSettled(TimePoint aNow) const;

  /// Rises with each change of the table.
  std::uint64_t Version() const { return this->version; }

  const MemberRecord& Self() const { return this->self; }
  std::size_t Size() const { return this->members.size() + 1; }

  /// Times that another daemon claimed this daemon's address.
  std::uint64_t AddressConflicts() const { return this->conflicts; }

private:
  struct Entry
  {
    MemberRecord record;
    TimePoint changedAt;
  };

  struct Probe
  {
    Endpoint subject;
    TimePoint sentAt;
    bool indirect = false;
  };

  struct Relay
  {
    Endpoint requester;
    std::uint32_t nonce = 0;
    TimePoint sentAt;
  };

  /// A random member of the own region, of another one if there is none.
  std::optional<Endpoint> RandomPeer();
  GossipMessage Message(GossipKind aKind, std::uint32_t aNonce);
  std::vector<MemberRecord> PickNews();
  bool Crosses();
  void Store(Entry& aEntry, MemberRecord aRecord, TimePoint aNow);
  void NoteChange(const Endpoint& aEndpoint);
  void Refute(const MemberRecord& aRecord);
  void Hear(const GossipMessage& aMessage, TimePoint aNow);
  void SetState(const Endpoint& aEndpoint, MemberState aState, TimePoint aNow);
  void CheckProbes(TimePoint aNow, std::vector<GossipSend>& aSends);
  void CheckSuspects(TimePoint aNow);
  void DropTombstones(TimePoint aNow);
  void StartProbe(TimePoint aNow, std::vector<GossipSend>& aSends);
  std::optional<Endpoint> NextSubject();
  /// A random member of one of the regions; a seed if there is none.
  std::optional<Endpoint> RandomOther(const std::vector<std::string>& aRegions);

  MemberRecord self;
  MembershipOptions options;
  SplitMix random;
  TimePoint startedAt;
  std::uint64_t generation = 0;
  std::uint64_t version = 0;
  std::uint64_t conflicts = 0;
  std::uint32_t nextNonce = 1;
  TimePoint nextProbe;
  TimePoint nextSweep;
  std::vector<Endpoint> seeds;
  std::unordered_map<Endpoint, Entry> members;
  std::vector<Endpoint> changed;
  std::array<std::uint64_t, kBuckets> digests{};
  PeerLists peers;
  std::unordered_map<std::uint32_t, Probe> probes;
  std::unordered_map<std::uint32_t, Relay> relays;
  std::unordered_map<Endpoint, TimePoint> suspects;
  RegionContacts contacts;
  NewsQueue news;
  TimePoint lastTick;
};

}
