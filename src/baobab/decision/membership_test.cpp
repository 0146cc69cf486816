#include "baobab/decision/membership.hpp"
#include "baobab/decision/rendezvous.hpp"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <map>
#include <memory>

namespace baobab {
namespace {

constexpr TimePoint kStart{ 1h };
constexpr Duration kStep = 50ms;

Endpoint
At(std::uint32_t aHost)
{
  return { 0x0a000000U + aHost, 7100 };
}

MemberRecord
Record(std::uint32_t aHost, std::uint64_t aIncarnation, std::string aRegion)
{
  MemberRecord record;
  record.endpoint = At(aHost);
  record.incarnation = aIncarnation;
  record.locality = { std::move(aRegion), "zone" };
  return record;
}

/// Daemons that exchange datagrams in simulated time.
class Fleet
{
public:
  using Filter = std::function<bool(const Endpoint&, const Endpoint&)>;

  void Add(std::uint32_t aHost,
           const std::string& aRegion = "r",
           std::uint64_t aIncarnation = 1)
  {
    auto daemon =
      std::make_unique<Membership>(Record(aHost, aIncarnation, aRegion),
                                   MembershipOptions{},
                                   std::uint64_t{ aHost } * 7919 + aIncarnation,
                                   this->now);
    daemon->AddSeed(At(1));
    this->daemons[At(aHost)] = std::move(daemon);
  }

  void Remove(std::uint32_t aHost) { this->daemons.erase(At(aHost)); }

  void Run(Duration aTime)
  {
    for (const TimePoint end = this->now + aTime; this->now < end;
         this->now += kStep) {
      std::vector<std::pair<Endpoint, GossipSend>> datagrams;
      for (auto& [endpoint, daemon] : this->daemons) {
        for (GossipSend& send : daemon->Tick(this->now)) {
          datagrams.emplace_back(endpoint, std::move(send));
        }
      }
      this->Deliver(std::move(datagrams));
    }
  }

  /// Exchanges the full tables of every daemon and the first one.
  void Exchange()
  {
    Membership& first = *this->daemons.begin()->second;
    for (int round = 0; round < 2; ++round) {
      for (auto& [endpoint, daemon] : this->daemons) {
        for (std::size_t i = 0; i < Membership::kBuckets; ++i) {
          if (daemon->Digests()[i] != first.Digests()[i]) {
            Pull(*daemon, first, i);
            Pull(first, *daemon, i);
          }
        }
      }
    }
  }

  Membership& DaemonAt(std::uint32_t aHost)
  {
    return *this->daemons.at(At(aHost));
  }

  /// State of a host in another one's table; nothing if there is no record.
  std::optional<MemberState> StateAt(std::uint32_t aObserver,
                                     std::uint32_t aHost)
  {
    const auto bucket =
      this->DaemonAt(aObserver).Bucket(Membership::BucketOf(At(aHost)));
    const auto found =
      std::ranges::find(bucket, At(aHost), &MemberRecord::endpoint);
    return found == bucket.end() ? std::nullopt : std::optional(found->state);
  }

  bool AllTablesEqual()
  {
    const std::uint64_t digest = this->daemons.begin()->second->Digest();
    return std::ranges::all_of(this->daemons, [&](const auto& aItem) {
      return aItem.second->Digest() == digest;
    });
  }

  /// Adopts a configuration at a host, as if it had read it from the store.
  void Adopt(std::uint32_t aHost, std::uint64_t aGeneration)
  {
    Membership& daemon = this->DaemonAt(aHost);
    daemon.SetGeneration(aGeneration);
    std::vector<std::pair<Endpoint, GossipSend>> datagrams;
    for (GossipSend& send : daemon.PushUpdates()) {
      datagrams.emplace_back(At(aHost), std::move(send));
    }
    this->Deliver(std::move(datagrams));
  }

  /// Runs until every daemon has a generation. Returns how long it took.
  Duration RunUntilAdopted(std::uint64_t aGeneration, Duration aLimit)
  {
    const TimePoint start = this->now;
    while (this->now < start + aLimit &&
           std::ranges::any_of(this->daemons, [&](const auto& aItem) {
             return aItem.second->Generation() < aGeneration;
           })) {
      this->Run(kStep);
    }
    return this->now - start;
  }

  /// Returns true for datagrams that arrive.
  Filter passes = [](const Endpoint&, const Endpoint&) { return true; };
  int copies = 1;
  TimePoint now = kStart;
  std::map<Endpoint, std::unique_ptr<Membership>> daemons;

private:
  void Pull(Membership& aInto, Membership& aFrom, std::size_t aBucket) const
  {
    for (const MemberRecord& record : aFrom.Bucket(aBucket)) {
      aInto.Merge(record, this->now);
    }
  }

  void Deliver(std::vector<std::pair<Endpoint, GossipSend>> aDatagrams)
  {
    while (!aDatagrams.empty()) {
      std::vector<std::pair<Endpoint, GossipSend>> answers;
      for (const auto& [from, send] : aDatagrams) {
        const auto receiver = this->daemons.find(send.to);
        if (receiver == this->daemons.end() || !this->passes(from, send.to)) {
          continue;
        }
        for (int copy = 0; copy < this->copies; ++copy) {
          const auto reply = [&](std::vector<GossipSend> aAnswers) {
            for (GossipSend& answer : aAnswers) {
              answers.emplace_back(send.to, std::move(answer));
            }
          };
          Membership& daemon = *receiver->second;
          reply(daemon.Handle(send.message, this->now));
          if (send.message.generation > daemon.Generation()) {
            daemon.SetGeneration(send.message.generation);
            reply(daemon.PushUpdates());
          }
        }
      }
      aDatagrams = std::move(answers);
    }
  }
};

Fleet
MakeJoinedFleet(std::uint32_t aHosts)
{
  Fleet fleet;
  for (std::uint32_t host = 1; host <= aHosts; ++host) {
    fleet.Add(host);
  }
  fleet.Run(15s);
  return fleet;
}

}

BOOST_AUTO_TEST_SUITE(membership)

BOOST_AUTO_TEST_CASE(daemons_discover_each_other_from_one_seed)
{
  Fleet fleet = MakeJoinedFleet(20);
  BOOST_TEST(fleet.DaemonAt(7).Size() == 20U);
  BOOST_TEST(fleet.AllTablesEqual());
}

BOOST_AUTO_TEST_CASE(a_change_of_the_target_reaches_all_daemons)
{
  Fleet fleet = MakeJoinedFleet(20);
  fleet.DaemonAt(3).UpdateSelf("quoting", TargetState::Leaving, 20);
  fleet.Run(10s);
  BOOST_TEST(fleet.AllTablesEqual());
  const auto bucket = fleet.DaemonAt(9).Bucket(Membership::BucketOf(At(3)));
  const auto found = std::ranges::find(bucket, At(3), &MemberRecord::endpoint);
  BOOST_REQUIRE(found != bucket.end());
  BOOST_TEST((found->targetState == TargetState::Leaving));
}

/// Guards against configurations that arrive seconds late because single
/// datagrams are lost: a third of them is, and one daemon of each availability
/// zone watches the store.
BOOST_AUTO_TEST_CASE(a_version_reaches_all_daemons_although_datagrams_are_lost)
{
  constexpr std::uint32_t kHosts = 75;
  constexpr std::uint64_t kVersions = 60;
  constexpr Duration kBound = 2s;
  Fleet fleet;
  for (std::uint32_t host = 1; host <= kHosts; ++host) {
    fleet.Add(host, host % 2 == 0 ? "perth" : "south-west");
  }
  fleet.Run(15s);
  SplitMix random(1);
  fleet.passes = [&](const Endpoint&, const Endpoint&) {
    return UniformBelow(random, 3) != 0;
  };
  std::size_t late = 0;
  Duration longest = Duration::zero();
  for (std::uint64_t version = 1; version <= kVersions; ++version) {
    for (const std::uint32_t reader : { 1U, 2U, 3U, 4U }) {
      fleet.Adopt(reader, version);
    }
    const Duration took = fleet.RunUntilAdopted(version, 10s);
    longest = std::max(longest, took);
    late += took > kBound ? 1 : 0;
  }
  BOOST_TEST(late == 0U,
             late << " late, longest " << longest / Millis(1) << " ms");
}

BOOST_AUTO_TEST_CASE(a_dead_daemon_is_detected_and_its_record_is_dropped)
{
  Fleet fleet = MakeJoinedFleet(12);
  fleet.Remove(5);
  fleet.Run(18s);
  for (std::uint32_t host = 1; host <= 12; ++host) {
    if (host != 5) {
      BOOST_TEST((fleet.StateAt(host, 5) == MemberState::Dead));
    }
  }
  fleet.Run(120s);
  BOOST_TEST(!fleet.StateAt(1, 5).has_value());
  BOOST_TEST(fleet.DaemonAt(1).Size() == 11U);
}

BOOST_AUTO_TEST_CASE(a_replaced_host_rejoins_on_the_same_address)
{
  Fleet fleet = MakeJoinedFleet(8);
  fleet.Remove(5);
  fleet.Run(18s);
  // The clock of the new host is behind: its first incarnation is lower.
  fleet.Add(5, "r", 0);
  fleet.Run(10s);
  for (std::uint32_t host = 1; host <= 8; ++host) {
    if (host != 5) {
      BOOST_TEST((fleet.StateAt(host, 5) == MemberState::Alive));
    }
  }
}

BOOST_AUTO_TEST_CASE(
  a_broken_path_between_two_daemons_does_not_make_a_member_dead)
{
  Fleet fleet = MakeJoinedFleet(8);
  fleet.passes = [](const Endpoint& aFrom, const Endpoint& aTo) {
    return !(aFrom == At(2) && aTo == At(5)) &&
           !(aFrom == At(5) && aTo == At(2));
  };
  fleet.Run(60s);
  for (std::uint32_t host = 1; host <= 8; ++host) {
    if (host != 5) {
      BOOST_TEST((fleet.StateAt(host, 5) != MemberState::Dead));
    }
  }
}

BOOST_AUTO_TEST_CASE(a_disconnected_region_is_unreachable_and_recovers)
{
  Fleet fleet;
  for (std::uint32_t host = 1; host <= 6; ++host) {
    fleet.Add(host, host <= 3 ? "perth" : "south-west");
  }
  fleet.Run(30s);
  BOOST_REQUIRE(fleet.AllTablesEqual());
  fleet.passes = [](const Endpoint& aFrom, const Endpoint& aTo) {
    return (aFrom <= At(3)) == (aTo <= At(3));
  };
  fleet.Run(1h);
  for (const MemberRecord& member : fleet.DaemonAt(1).LiveMembers(fleet.now)) {
    const bool otherRegion = member.locality.region != "perth";
    BOOST_TEST((member.state == MemberState::Unreachable) == otherRegion);
  }
  BOOST_TEST(fleet.DaemonAt(1).Size() == 6U);
  BOOST_TEST(fleet.DaemonAt(1).SpenderCount(fleet.now) == 6);
  fleet.passes = [](const Endpoint&, const Endpoint&) { return true; };
  fleet.Run(120s);
  for (std::uint32_t host = 4; host <= 6; ++host) {
    BOOST_TEST((fleet.StateAt(1, host) == MemberState::Alive));
  }
}

BOOST_AUTO_TEST_CASE(
  a_host_that_died_in_a_disconnected_region_is_detected_later)
{
  Fleet fleet;
  for (std::uint32_t host = 1; host <= 6; ++host) {
    fleet.Add(host, host <= 3 ? "perth" : "south-west");
  }
  fleet.Run(30s);
  fleet.passes = [](const Endpoint& aFrom, const Endpoint& aTo) {
    return (aFrom <= At(3)) == (aTo <= At(3));
  };
  fleet.Run(5s);
  fleet.Remove(6);
  fleet.Run(300s);
  fleet.passes = [](const Endpoint&, const Endpoint&) { return true; };
  fleet.Run(300s);
  BOOST_TEST((fleet.StateAt(1, 5) == MemberState::Alive));
  BOOST_TEST(fleet.DaemonAt(1).Size() == 5U);
}

BOOST_AUTO_TEST_CASE(duplicated_datagrams_are_tolerated)
{
  Fleet fleet;
  fleet.copies = 3;
  for (std::uint32_t host = 1; host <= 10; ++host) {
    fleet.Add(host);
  }
  fleet.Run(20s);
  BOOST_TEST(fleet.DaemonAt(4).Size() == 10U);
  // Duplicates use up the transmissions of updates sooner. The full exchange
  // adds what was missed.
  fleet.Exchange();
  BOOST_TEST(fleet.AllTablesEqual());
}

BOOST_AUTO_TEST_CASE(a_second_daemon_with_the_same_address_is_counted)
{
  Membership daemon(Record(1, 10, "r"), {}, 1, kStart);
  daemon.Merge(Record(1, 99, "r"), kStart);
  BOOST_TEST(daemon.AddressConflicts() == 1U);
  BOOST_TEST(daemon.Self().incarnation == 100U);
}

BOOST_AUTO_TEST_CASE(a_new_daemon_has_no_share_before_the_settling_time)
{
  Membership daemon(Record(1, 1, "r"), {}, 1, kStart);
  BOOST_TEST(!daemon.IsSettled(kStart + 29s));
  BOOST_TEST(daemon.IsSettled(kStart + 30s));
}

BOOST_AUTO_TEST_CASE(a_dead_member_counts_as_spender_for_the_settling_time)
{
  Membership daemon(Record(1, 1, "r"), {}, 1, kStart);
  daemon.Merge(Record(2, 1, "r"), kStart);
  MemberRecord dead = Record(2, 1, "r");
  dead.state = MemberState::Dead;
  daemon.Merge(dead, kStart);
  BOOST_TEST(daemon.SpenderCount(kStart + 29s) == 2);
  BOOST_TEST(daemon.SpenderCount(kStart + 30s) == 1);
}

BOOST_AUTO_TEST_CASE(every_daemon_picks_the_same_members_for_a_role)
{
  std::vector<Endpoint> members;
  for (std::uint32_t host = 1; host <= 50; ++host) {
    members.push_back(At(host));
  }
  const auto picked = RendezvousPick(members, "reader", 2);
  std::ranges::reverse(members);
  BOOST_TEST((RendezvousPick(members, "reader", 2) == picked));
  // The loss of a member without the role changes nothing.
  std::erase_if(members, [&](const Endpoint& aMember) {
    return std::ranges::find(picked, aMember) == picked.end() &&
           aMember != At(50);
  });
  BOOST_TEST((RendezvousPick(members, "reader", 2) == picked));
}

BOOST_AUTO_TEST_SUITE_END()

}
