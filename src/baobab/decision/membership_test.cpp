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

/// Daemons that exchange datagrams in virtual time.
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
      std::vector<std::pair<Endpoint, GossipSend>> wire;
      for (auto& [endpoint, daemon] : this->daemons) {
        for (GossipSend& send : daemon->Tick(this->now)) {
          wire.emplace_back(endpoint, std::move(send));
        }
      }
      this->Deliver(std::move(wire));
    }
  }

  /// One full exchange of every daemon with the first one, as over TCP.
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

  /// State of a host as another one sees it; nothing if it has no record.
  std::optional<MemberState> Seen(std::uint32_t aBy, std::uint32_t aHost)
  {
    const auto bucket =
      this->DaemonAt(aBy).Bucket(Membership::BucketOf(At(aHost)));
    const auto found =
      std::ranges::find(bucket, At(aHost), &MemberRecord::endpoint);
    return found == bucket.end() ? std::nullopt : std::optional(found->state);
  }

  bool AllAgree()
  {
    const std::uint64_t digest = this->daemons.begin()->second->Digest();
    return std::ranges::all_of(this->daemons, [&](const auto& aItem) {
      return aItem.second->Digest() == digest;
    });
  }

  /// True for datagrams that arrive.
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

  void Deliver(std::vector<std::pair<Endpoint, GossipSend>> aWire)
  {
    while (!aWire.empty()) {
      std::vector<std::pair<Endpoint, GossipSend>> answers;
      for (const auto& [from, send] : aWire) {
        const auto receiver = this->daemons.find(send.to);
        if (receiver == this->daemons.end() || !this->passes(from, send.to)) {
          continue;
        }
        for (int copy = 0; copy < this->copies; ++copy) {
          for (GossipSend& answer :
               receiver->second->Handle(send.message, this->now)) {
            answers.emplace_back(send.to, std::move(answer));
          }
        }
      }
      aWire = std::move(answers);
    }
  }
};

Fleet
Joined(std::uint32_t aHosts)
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

BOOST_AUTO_TEST_CASE(daemons_find_each_other_from_one_seed)
{
  Fleet fleet = Joined(20);
  BOOST_TEST(fleet.DaemonAt(7).Size() == 20U);
  BOOST_TEST(fleet.AllAgree());
}

BOOST_AUTO_TEST_CASE(a_change_of_the_target_reaches_everyone)
{
  Fleet fleet = Joined(20);
  fleet.DaemonAt(3).UpdateSelf("quoting", TargetState::Leaving, 20);
  fleet.Run(10s);
  BOOST_TEST(fleet.AllAgree());
  const auto bucket = fleet.DaemonAt(9).Bucket(Membership::BucketOf(At(3)));
  const auto found = std::ranges::find(bucket, At(3), &MemberRecord::endpoint);
  BOOST_REQUIRE(found != bucket.end());
  BOOST_TEST((found->targetState == TargetState::Leaving));
}

BOOST_AUTO_TEST_CASE(a_dead_daemon_is_found_and_forgotten)
{
  Fleet fleet = Joined(12);
  fleet.Remove(5);
  fleet.Run(18s);
  for (std::uint32_t host = 1; host <= 12; ++host) {
    if (host != 5) {
      BOOST_TEST((fleet.Seen(host, 5) == MemberState::Dead));
    }
  }
  fleet.Run(120s);
  BOOST_TEST(!fleet.Seen(1, 5).has_value());
  BOOST_TEST(fleet.DaemonAt(1).Size() == 11U);
}

BOOST_AUTO_TEST_CASE(a_replaced_host_rejoins_on_the_same_address)
{
  Fleet fleet = Joined(8);
  fleet.Remove(5);
  fleet.Run(18s);
  // The clock of the new host is behind: its first incarnation is lower.
  fleet.Add(5, "r", 0);
  fleet.Run(10s);
  for (std::uint32_t host = 1; host <= 8; ++host) {
    if (host != 5) {
      BOOST_TEST((fleet.Seen(host, 5) == MemberState::Alive));
    }
  }
}

BOOST_AUTO_TEST_CASE(one_lossy_path_does_not_kill_a_member)
{
  Fleet fleet = Joined(8);
  fleet.passes = [](const Endpoint& aFrom, const Endpoint& aTo) {
    return !(aFrom == At(2) && aTo == At(5)) &&
           !(aFrom == At(5) && aTo == At(2));
  };
  fleet.Run(60s);
  for (std::uint32_t host = 1; host <= 8; ++host) {
    if (host != 5) {
      BOOST_TEST((fleet.Seen(host, 5) != MemberState::Dead));
    }
  }
}

BOOST_AUTO_TEST_CASE(a_parted_region_is_unreachable_and_heals)
{
  Fleet fleet;
  for (std::uint32_t host = 1; host <= 6; ++host) {
    fleet.Add(host, host <= 3 ? "perth" : "south-west");
  }
  fleet.Run(30s);
  BOOST_REQUIRE(fleet.AllAgree());
  fleet.passes = [](const Endpoint& aFrom, const Endpoint& aTo) {
    return (aFrom <= At(3)) == (aTo <= At(3));
  };
  fleet.Run(1h);
  for (const MemberRecord& member : fleet.DaemonAt(1).LiveMembers(fleet.now)) {
    const bool away = member.locality.region != "perth";
    BOOST_TEST((member.state == MemberState::Unreachable) == away);
  }
  BOOST_TEST(fleet.DaemonAt(1).Size() == 6U);
  BOOST_TEST(fleet.DaemonAt(1).SpenderCount(fleet.now) == 6);
  fleet.passes = [](const Endpoint&, const Endpoint&) { return true; };
  fleet.Run(120s);
  for (std::uint32_t host = 4; host <= 6; ++host) {
    BOOST_TEST((fleet.Seen(1, host) == MemberState::Alive));
  }
}

BOOST_AUTO_TEST_CASE(a_host_that_died_during_a_parting_is_found_after_it)
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
  BOOST_TEST((fleet.Seen(1, 5) == MemberState::Alive));
  BOOST_TEST(fleet.DaemonAt(1).Size() == 5U);
}

BOOST_AUTO_TEST_CASE(duplicated_datagrams_do_no_harm)
{
  Fleet fleet;
  fleet.copies = 3;
  for (std::uint32_t host = 1; host <= 10; ++host) {
    fleet.Add(host);
  }
  fleet.Run(20s);
  BOOST_TEST(fleet.DaemonAt(4).Size() == 10U);
  // Copies use news up sooner; the full exchange repairs what was missed.
  fleet.Exchange();
  BOOST_TEST(fleet.AllAgree());
}

BOOST_AUTO_TEST_CASE(two_claimants_of_an_address_are_counted)
{
  Membership daemon(Record(1, 10, "r"), {}, 1, kStart);
  daemon.Merge(Record(1, 99, "r"), kStart);
  BOOST_TEST(daemon.AddressConflicts() == 1U);
  BOOST_TEST(daemon.Self().incarnation == 100U);
}

BOOST_AUTO_TEST_CASE(a_newcomer_has_no_share_until_it_has_settled)
{
  Membership daemon(Record(1, 1, "r"), {}, 1, kStart);
  BOOST_TEST(!daemon.IsSettled(kStart + 29s));
  BOOST_TEST(daemon.IsSettled(kStart + 30s));
}

BOOST_AUTO_TEST_CASE(a_member_that_died_still_counts_until_others_know)
{
  Membership daemon(Record(1, 1, "r"), {}, 1, kStart);
  daemon.Merge(Record(2, 1, "r"), kStart);
  MemberRecord dead = Record(2, 1, "r");
  dead.state = MemberState::Dead;
  daemon.Merge(dead, kStart);
  BOOST_TEST(daemon.SpenderCount(kStart + 29s) == 2);
  BOOST_TEST(daemon.SpenderCount(kStart + 30s) == 1);
}

BOOST_AUTO_TEST_CASE(roles_need_no_election)
{
  std::vector<Endpoint> members;
  for (std::uint32_t host = 1; host <= 50; ++host) {
    members.push_back(At(host));
  }
  const auto picked = RendezvousPick(members, "reader", 2);
  std::ranges::reverse(members);
  BOOST_TEST((RendezvousPick(members, "reader", 2) == picked));
  // Losing another member changes nothing.
  std::erase_if(members, [&](const Endpoint& aMember) {
    return std::ranges::find(picked, aMember) == picked.end() &&
           aMember != At(50);
  });
  BOOST_TEST((RendezvousPick(members, "reader", 2) == picked));
}

BOOST_AUTO_TEST_SUITE_END()

}
