/// @file
#pragma once

#include "baobab/core/endpoint.hpp"
#include "baobab/core/random.hpp"
#include "baobab/core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace baobab {

/// Proof that no configuration newer than a generation was published when the
/// store was asked.
struct LeaseProof
{
  std::uint64_t generation = 0;
  /// Time before which the question was not sent.
  BootTime askedAt;
};

/// Subtracted from the revocation time, for clocks that run at different
/// speeds.
constexpr Duration kLeaseMargin = 100ms;

/// True if keys of a configuration are valid at this time: no key that it
/// contains can have been withdrawn longer ago than the revocation time.
/// @param aGeneration generation in force
constexpr bool
ProvesKeys(const LeaseProof& aProof,
           std::uint64_t aGeneration,
           Duration aRevocationTime,
           BootTime aNow)
{
  return aGeneration >= aProof.generation && aNow >= aProof.askedAt &&
         aNow - aProof.askedAt <= aRevocationTime - kLeaseMargin;
}

/// A question to another daemon of the zone for its proof.
struct LeaseQuestion
{
  Endpoint peer;
  std::uint64_t nonce = 0;
};

/// Keeps a proof of the configuration in force that is recent enough for the
/// keys of workspaces, and decides whom this daemon asks for the next one.
///
/// The reader of a zone asks the store, the others ask the reader. The members
/// that follow it in the ranking of the zone ask the store once their proof is
/// older than it is while the reader works, each later than the one before, and
/// the others when nothing else helped, at a rate that the fleet shares.
class KeyLease
{
public:
  /// Members of a zone that take over if its reader fails, in their order.
  static constexpr std::size_t kDeputies = 3;

  /// Mean time between questions to the store of all further members.
  static constexpr Duration kFleetInterval = 250ms;

  KeyLease(Duration aRevocationTime, std::uint64_t aSeed);

  /// Records an answer of the store. The latest question counts.
  void Confirm(const LeaseProof& aProof);

  /// Returns the proof; nothing if there is none yet.
  const std::optional<LeaseProof>& Latest() const { return this->latest; }

  /// Returns the age to tell a peer, for the generation of Latest(); nothing if
  /// there is no proof.
  std::optional<Millis> Age(BootTime aNow) const;

  /// True if this daemon is to ask the store now. Call it periodically.
  /// @param aRank place of this daemon in the ranking of its zone
  /// @param aReaders number of readers of a zone
  /// @param aMembers daemons in the fleet, at least 1
  bool ShouldAskStore(std::size_t aRank,
                      std::size_t aReaders,
                      std::size_t aMembers,
                      BootTime aNow);

  /// Returns the peer to ask now, if any.
  /// @param aRanked other members of the zone, by rank
  std::optional<LeaseQuestion> NextQuestion(
    const std::vector<Endpoint>& aRanked,
    BootTime aNow);

  /// Records a peer's answer. Its age counts from the time at which this daemon
  /// sent the question, since nobody knows when the answer was sent. An answer
  /// to a question that is not the last one of that peer is ignored.
  /// @return false if it was ignored
  bool OnAnswer(const Endpoint& aPeer,
                std::uint64_t aNonce,
                std::uint64_t aGeneration,
                Millis aAge);

private:
  struct OpenQuestion
  {
    LeaseQuestion question;
    BootTime sentAt;
  };

  Duration AgeOrMax(BootTime aNow) const;

  Duration unit;
  SplitMix random;
  std::optional<LeaseProof> latest;
  std::optional<BootTime> lastStoreQuestion;
  std::optional<BootTime> lastCheck;
  std::optional<BootTime> lastPeerQuestion;
  /// Questions since the last useful answer.
  std::size_t unanswered = 0;
  std::vector<OpenQuestion> open;
};

}
