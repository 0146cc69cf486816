/// @file
/// Membership by probing and gossip, after SWIM.
#pragma once

#include "baobab/core/random.hpp"
#include "baobab/core/time.hpp"
#include "baobab/decision/gossip_message.hpp"
#include "baobab/decision/peer_lists.hpp"
#include "baobab/decision/region_contacts.hpp"
#include "baobab/decision/update_queue.hpp"

#include <array>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace baobab {

struct MembershipOptions
{
  Duration probePeriod = 1s;
  /// Time without an ack after which other members are asked to probe.
  Duration ackTimeout = 300ms;
  /// Time in which a suspect can refute the suspicion before it counts as dead.
  Duration suspicionTimeout = 4s;
  /// Time for which the record of a dead member is kept.
  Duration tombstoneRetention = 60s;
  /// Time for which a new daemon has no share in fleet budgets, and for which
  /// a dead member keeps its share.
  Duration settlingTime = 30s;
  /// Bytes of updates in one datagram at most.
  std::size_t maxUpdateBytes = 900;
};

/// The table of daemons as one daemon knows it. Each datagram carries updates:
/// records that changed recently.
class Membership
{
public:
  /// Buckets by which tables are compared.
  static constexpr std::size_t kBuckets = 64;

  Membership(MemberRecord aSelf,
             MembershipOptions aOptions,
             std::uint64_t aSeed,
             TimePoint aNow);

  /// Updates the target's service, state and slots in this daemon's record.
  void UpdateSelf(std::string_view aService,
                  TargetState aState,
                  std::uint16_t aSlots);

  /// Adds the address of a peer whose record is not known yet.
  void AddSeed(const Endpoint& aEndpoint);

  /// Returns a ping, so that this daemon and the receiver learn of each other.
  GossipSend MakePing(const Endpoint& aEndpoint);

  /// True if a record of the endpoint is held.
  bool Knows(const Endpoint& aEndpoint) const
  {
    return aEndpoint == this->self.endpoint ||
           this->members.contains(aEndpoint);
  }

  /// Hash of the whole table.
  std::uint64_t Digest() const;

  /// Marks this daemon as dead and returns the datagrams that announce it.
  std::vector<GossipSend> Leave();

  /// Runs the timers. Returns the datagrams to send.
  std::vector<GossipSend> Tick(TimePoint aNow);

  /// Handles a datagram. Returns the datagrams to send.
  std::vector<GossipSend> Handle(const GossipMessage& aMessage, TimePoint aNow);

  /// Merges a record, from a datagram or from a full exchange of the tables.
  void Merge(const MemberRecord& aRecord, TimePoint aNow);

  /// Returns datagrams that spread updates and the configuration's generation
  /// without waiting for the next probe. They go to a few members of this
  /// region and, from a few daemons of each region, to one member of every
  /// other region.
  std::vector<GossipSend> PushUpdates();

  /// Picks a peer for a full exchange of the tables, occasionally one of
  /// another region.
  std::optional<Endpoint> PickExchangePeer();

  /// Sets the generation of the configuration in force here. Tick() pushes it
  /// to random members a few times.
  void SetGeneration(std::uint64_t aGeneration);

  std::uint64_t Generation() const { return this->generation; }

  /// Hashes of the table, one for each bucket of endpoints.
  const std::array<std::uint64_t, kBuckets>& Digests() const
  {
    return this->digests;
  }

  /// Records of one bucket, this daemon's own included.
  std::vector<MemberRecord> Bucket(std::size_t aBucket) const;

  /// Bucket of an endpoint.
  static std::size_t BucketOf(const Endpoint& aEndpoint);

  /// Every record that is not dead, this daemon's own included. Members of
  /// silent regions are returned as unreachable.
  std::vector<MemberRecord> LiveMembers(TimePoint aNow) const;

  /// Members whose records changed since the last call of this function, this
  /// daemon included.
  std::vector<Endpoint> TakeChanged();

  /// The record of a member; null if none is held.
  const MemberRecord* Find(const Endpoint& aEndpoint) const;

  /// Other regions with members from which nothing was received recently.
  std::vector<std::string> SilentRegions(TimePoint aNow) const;

  /// Members of this daemon's availability zone that are not dead, this daemon
  /// included.
  std::vector<Endpoint> ZoneMembers() const;

  /// Number of daemons that may be spending from fleet budgets: all but those
  /// known to be dead for the settling time, since others may not know yet.
  std::int64_t SpenderCount(TimePoint aNow) const;

  /// True once this daemon may spend its share of fleet budgets.
  bool IsSettled(TimePoint aNow) const;

  /// Number that increases with each change of the table.
  std::uint64_t Version() const { return this->version; }

  const MemberRecord& Self() const { return this->self; }
  std::size_t Size() const { return this->members.size() + 1; }

  /// Number of peers that were added as seeds.
  std::size_t SeedCount() const { return this->seeds.size(); }

  /// How often another daemon claimed this daemon's address.
  std::uint64_t AddressConflicts() const { return this->addressConflicts; }

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

  /// A random member of this region that is not dead; if a few tries find none,
  /// a member of another region or a seed.
  std::optional<Endpoint> RandomPeer();
  GossipMessage MakeMessage(GossipKind aKind, std::uint32_t aNonce);
  std::vector<MemberRecord> SelectUpdates();
  /// True if this daemon is one of the few of its region, chosen at random each
  /// time, that send something to other regions.
  bool IsCrossRegionSender();
  void Store(Entry& aEntry, MemberRecord aRecord, TimePoint aNow);
  void RecordChange(const Endpoint& aEndpoint);
  void Refute(const MemberRecord& aRecord);
  void MergeMessage(const GossipMessage& aMessage, TimePoint aNow);
  void SetState(const Endpoint& aEndpoint, MemberState aState, TimePoint aNow);
  void CheckProbes(TimePoint aNow, std::vector<GossipSend>& aSends);
  void CheckSuspects(TimePoint aNow);
  void DropTombstones(TimePoint aNow);
  void StartProbe(TimePoint aNow, std::vector<GossipSend>& aSends);
  std::optional<Endpoint> NextProbeSubject();
  /// A random member of one of the regions; a seed if there are no regions.
  std::optional<Endpoint> RandomPeerOf(
    const std::vector<std::string>& aRegions);

  MemberRecord self;
  MembershipOptions options;
  SplitMix random;
  TimePoint startedAt;
  std::uint64_t generation = 0;
  /// Repeated pushes of the generation that are still due, and the next one.
  int generationPushes = 0;
  TimePoint nextGenerationPush;
  std::uint64_t version = 0;
  std::uint64_t addressConflicts = 0;
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
  UpdateQueue updates;
  TimePoint lastTick;
};

}
