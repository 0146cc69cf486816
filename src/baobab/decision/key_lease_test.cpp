#include "baobab/decision/key_lease.hpp"

#include <boost/test/unit_test.hpp>
#include <deque>
#include <functional>
#include <map>

namespace baobab {
namespace {

constexpr Duration kRevocation = 5s;
constexpr Duration kStep = 50ms;
constexpr BootTime kStart{ 1h };

Endpoint
Address(std::size_t aRank)
{
  return { static_cast<std::uint32_t>(aRank + 1), 7100 };
}

/// Replays a zone of daemons and a store without a network.
class Zone
{
public:
  explicit Zone(std::size_t aSize)
  {
    for (std::size_t i = 0; i < aSize; ++i) {
      this->daemons.push_back({ KeyLease(kRevocation, i + 1) });
    }
  }

  void Run(Duration aTime)
  {
    const BootTime end = this->now + aTime;
    for (; this->now < end; this->now += kStep) {
      this->Step();
    }
  }

  bool Valid(std::size_t aRank) const
  {
    const Daemon& daemon = this->daemons[aRank];
    return daemon.lease.Latest() &&
           ProvesKeys(
             *daemon.lease.Latest(), daemon.generation, kRevocation, this->now);
  }

  /// Publishes a configuration that withdraws a key.
  void Publish()
  {
    ++this->published;
    this->publishedAt = this->now;
  }

  struct Daemon
  {
    KeyLease lease;
    std::uint64_t generation = 1;
    bool alive = true;
    /// True if it learns of new configurations.
    bool inTouch = true;
    bool storeAnswers = true;
    bool peersAnswer = true;
    Duration lapse{ 0 };
  };

  std::vector<Daemon> daemons;
  BootTime now = kStart;
  std::uint64_t published = 1;
  std::uint64_t storeQuestions = 0;
  Duration answerDelay{ 0 };

private:
  void Step()
  {
    std::erase_if(this->delayed, [&](const auto& aAnswer) {
      if (aAnswer.first > this->now) {
        return false;
      }
      aAnswer.second();
      return true;
    });
    for (std::size_t rank = 0; rank < this->daemons.size(); ++rank) {
      if (this->daemons[rank].alive) {
        this->StepDaemon(rank);
      }
    }
    this->CheckWithdrawnKeys();
  }

  void StepDaemon(std::size_t aRank)
  {
    Daemon& daemon = this->daemons[aRank];
    if (daemon.inTouch) {
      daemon.generation = this->published;
    }
    if (daemon.lease.ShouldAskStore(
          aRank, 1, this->daemons.size(), this->now)) {
      ++this->storeQuestions;
      if (daemon.storeAnswers) {
        daemon.generation = this->published;
        daemon.lease.Confirm({ daemon.generation, this->now });
      }
    }
    std::vector<Endpoint> others;
    for (std::size_t rank = 0; rank < this->daemons.size(); ++rank) {
      if (rank != aRank) {
        others.push_back(Address(rank));
      }
    }
    if (const auto question = daemon.lease.NextQuestion(others, this->now)) {
      this->Ask(aRank, *question);
    }
  }

  void Ask(std::size_t aRank, const LeaseQuestion& aQuestion)
  {
    const Daemon& peer = this->daemons[aQuestion.peer.address - 1];
    const auto age = peer.lease.Age(this->now);
    if (!peer.alive || !peer.peersAnswer || !age ||
        !this->daemons[aRank].peersAnswer) {
      return;
    }
    const std::uint64_t generation = peer.lease.Latest()->generation;
    this->delayed.emplace_back(
      this->now + this->answerDelay, [this, aRank, aQuestion, age, generation] {
        this->daemons[aRank].lease.OnAnswer(
          aQuestion.peer, aQuestion.nonce, generation, *age);
      });
  }

  /// The rule: later than the revocation time after the publication, no daemon
  /// serves keyed calls with an older configuration.
  void CheckWithdrawnKeys()
  {
    for (std::size_t rank = 0; rank < this->daemons.size(); ++rank) {
      if (this->daemons[rank]
            .generation<this->published&& this->now> this->publishedAt +
          kRevocation) {
        BOOST_REQUIRE(!this->Valid(rank));
      }
    }
  }

  BootTime publishedAt = kStart;
  std::vector<std::pair<BootTime, std::function<void()>>> delayed;
};

}

BOOST_AUTO_TEST_SUITE(key_lease)

BOOST_AUTO_TEST_CASE(one_reader_of_a_zone_asks_the_store)
{
  Zone zone(11);
  zone.Run(20s);
  const std::uint64_t before = zone.storeQuestions;
  for (int i = 0; i < 100; ++i) {
    zone.Run(100ms);
    for (std::size_t rank = 0; rank < 11; ++rank) {
      BOOST_REQUIRE(zone.Valid(rank));
    }
  }
  BOOST_TEST(zone.storeQuestions - before <= 11U);
}

BOOST_AUTO_TEST_CASE(the_death_of_readers_and_deputies_costs_no_caller)
{
  for (std::size_t dead = 1; dead <= 2; ++dead) {
    Zone zone(11);
    zone.answerDelay = 50ms;
    zone.Run(20s);
    for (std::size_t rank = 0; rank < dead; ++rank) {
      zone.daemons[rank].alive = false;
    }
    for (int i = 0; i < 200; ++i) {
      zone.Run(100ms);
      for (std::size_t rank = dead; rank < 11; ++rank) {
        BOOST_REQUIRE_MESSAGE(zone.Valid(rank),
                              "rank " << rank << " after " << i
                                      << " tenths of a second");
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(a_daemon_without_the_store_is_served_by_its_peers)
{
  Zone zone(6);
  zone.daemons[0].storeAnswers = false;
  zone.daemons[4].storeAnswers = false;
  zone.Run(10s);
  for (int i = 0; i < 100; ++i) {
    zone.Run(100ms);
    for (std::size_t rank = 0; rank < 6; ++rank) {
      BOOST_REQUIRE(zone.Valid(rank));
    }
  }
}

BOOST_AUTO_TEST_CASE(a_daemon_that_is_cut_off_stops_in_time_and_returns)
{
  Zone zone(6);
  zone.Run(10s);
  for (std::size_t rank : { 0U, 5U }) {
    zone.daemons[rank].storeAnswers = false;
    zone.daemons[rank].peersAnswer = false;
    zone.daemons[rank].inTouch = false;
  }
  zone.Publish();
  zone.Run(4s);
  zone.Run(10s);
  BOOST_TEST(!zone.Valid(0));
  BOOST_TEST(!zone.Valid(5));
  BOOST_TEST(zone.Valid(2));
  for (std::size_t rank : { 0U, 5U }) {
    zone.daemons[rank].storeAnswers = true;
    zone.daemons[rank].peersAnswer = true;
    zone.daemons[rank].inTouch = true;
  }
  zone.Run(3s);
  BOOST_TEST(zone.Valid(0));
  BOOST_TEST(zone.Valid(5));
}

/// A peer may know of a configuration that this daemon does not have yet.
BOOST_AUTO_TEST_CASE(a_proof_of_a_newer_generation_proves_nothing)
{
  Zone zone(6);
  zone.Run(10s);
  zone.daemons[5].inTouch = false;
  zone.daemons[5].storeAnswers = false;
  zone.Publish();
  zone.Run(10s);
  BOOST_TEST(!zone.Valid(5));
  BOOST_TEST(zone.Valid(4));
  zone.daemons[5].inTouch = true;
  zone.Run(100ms);
  BOOST_TEST(zone.Valid(5));
}

BOOST_AUTO_TEST_CASE(the_time_of_a_pause_counts)
{
  for (const Duration pause : { 3s, 4s, 5s, 10s }) {
    KeyLease lease(kRevocation, 1);
    lease.Confirm({ 7, kStart });
    const BootTime woken = kStart + 1s + pause;
    BOOST_TEST(ProvesKeys(*lease.Latest(), 7, kRevocation, woken) ==
               (pause < 4s));
  }
}

/// Guards against an age that is counted from the arrival of the answer.
BOOST_AUTO_TEST_CASE(a_delayed_answer_is_as_old_as_its_question)
{
  KeyLease lease(kRevocation, 1);
  const auto question = lease.NextQuestion({ Address(0) }, kStart);
  BOOST_REQUIRE(question);
  BOOST_TEST(lease.OnAnswer(question->peer, question->nonce, 7, 300ms));
  BOOST_TEST((lease.Latest()->askedAt == kStart - 300ms));
  const auto valid = [&](Duration aLater) {
    return ProvesKeys(*lease.Latest(), 7, kRevocation, kStart + aLater);
  };
  BOOST_TEST(valid(4600ms));
  BOOST_TEST(!valid(4601ms));
}

BOOST_AUTO_TEST_CASE(answers_that_were_not_asked_for_are_ignored)
{
  KeyLease lease(kRevocation, 1);
  const auto question = lease.NextQuestion({ Address(0) }, kStart);
  BOOST_REQUIRE(question);
  const auto answer = [&](const Endpoint& aPeer, std::uint64_t aNonce) {
    return lease.OnAnswer(aPeer, aNonce, 7, 0ms);
  };
  BOOST_TEST(!answer(question->peer, question->nonce + 1));
  BOOST_TEST(!answer(Address(3), question->nonce));
  BOOST_TEST(!lease.Latest().has_value());
  BOOST_TEST(answer(question->peer, question->nonce));
  BOOST_TEST(!answer(question->peer, question->nonce));
}

BOOST_AUTO_TEST_CASE(an_older_proof_replaces_none_and_the_generation_only_rises)
{
  KeyLease lease(kRevocation, 1);
  lease.Confirm({ 7, kStart });
  lease.Confirm({ 8, kStart - 1s });
  BOOST_TEST(lease.Latest()->generation == 7U);
  BOOST_TEST((lease.Latest()->askedAt == kStart));
  lease.Confirm({ 6, kStart + 1s });
  BOOST_TEST(lease.Latest()->generation == 7U);
  BOOST_TEST((lease.Age(kStart + 1500us + 1s) == 2ms));
}

BOOST_AUTO_TEST_CASE(after_a_start_there_is_no_proof_until_one_is_given)
{
  Zone zone(6);
  zone.Run(10s);
  zone.daemons[3] = { KeyLease(kRevocation, 9) };
  BOOST_TEST(!zone.Valid(3));
  zone.Run(500ms);
  BOOST_TEST(zone.Valid(3));
}

/// While the store is away, questions to it stay few.
BOOST_AUTO_TEST_CASE(an_outage_of_the_store_causes_few_questions)
{
  Zone zone(11);
  zone.Run(10s);
  for (auto& daemon : zone.daemons) {
    daemon.storeAnswers = false;
  }
  zone.storeQuestions = 0;
  zone.Run(60s);
  BOOST_TEST(zone.storeQuestions < 60U * 8);
  BOOST_TEST(!zone.Valid(0));
}

BOOST_AUTO_TEST_SUITE_END()

}
