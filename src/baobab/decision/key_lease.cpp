#include "baobab/decision/key_lease.hpp"

#include <algorithm>

namespace baobab {
namespace {

constexpr Duration kMaxUnit = 1s;
constexpr int kUnitsPerRevocation = 5;

/// Ages in units. The reader renews a proof at the first one, so that those of
/// the others are mostly younger than the deputies' first.
constexpr double kReaderAge = 1.0;
constexpr double kPeerAge = 1.2;
constexpr double kDeputyAge = 2.2;
constexpr double kDeputyStep = 0.6;
constexpr double kOthersAge = 3.8;

/// Shortest times between questions, in units.
constexpr double kReaderPause = 0.9;
constexpr double kDeputyPause = 1.5;
constexpr double kPeerPause = 0.4;

/// Longest time between two checks that counts, so that a daemon that was
/// paused does not ask at once.
constexpr Duration kMaxCheckPeriod = 200ms;

constexpr std::size_t kMaxOpenQuestions = 8;

Duration
Times(double aFactor, Duration aUnit)
{
  return std::chrono::duration_cast<Duration>(aFactor * aUnit);
}

}

KeyLease::KeyLease(Duration aRevocationTime, std::uint64_t aSeed)
  : unit(std::min(kMaxUnit, aRevocationTime / kUnitsPerRevocation))
  , random(aSeed)
{
}

void
KeyLease::Confirm(const LeaseProof& aProof)
{
  if (!this->latest || aProof.askedAt > this->latest->askedAt) {
    const std::uint64_t known = this->latest ? this->latest->generation : 0;
    this->latest =
      LeaseProof{ std::max(known, aProof.generation), aProof.askedAt };
  }
}

std::optional<Millis>
KeyLease::Age(BootTime aNow) const
{
  if (!this->latest) {
    return std::nullopt;
  }
  // Rounded up: a proof must not seem newer than it is.
  return std::chrono::ceil<Millis>(
    std::max(aNow - this->latest->askedAt, Duration::zero()));
}

Duration
KeyLease::AgeOrMax(BootTime aNow) const
{
  return this->latest ? aNow - this->latest->askedAt : Duration::max();
}

bool
KeyLease::ShouldAskStore(std::size_t aRank,
                         std::size_t aReaders,
                         std::size_t aMembers,
                         BootTime aNow)
{
  const Duration elapsed =
    std::min<Duration>(aNow - this->lastCheck.value_or(aNow), kMaxCheckPeriod);
  this->lastCheck = aNow;
  const bool reader = aRank < aReaders;
  const bool deputy = !reader && aRank < aReaders + kDeputies;
  const double minimumAge =
    reader   ? kReaderAge
    : deputy ? kDeputyAge + kDeputyStep * static_cast<double>(aRank - aReaders)
             : kOthersAge;
  const Duration pause =
    Times(reader ? kReaderPause : kDeputyPause, this->unit);
  if (this->AgeOrMax(aNow) < Times(minimumAge, this->unit) ||
      (this->lastStoreQuestion && aNow - *this->lastStoreQuestion < pause)) {
    return false;
  }
  if (!reader && !deputy) {
    const Duration meanInterval =
      kFleetInterval *
      static_cast<std::int64_t>(std::max<std::size_t>(1, aMembers));
    if (UniformFraction(this->random) * meanInterval >= elapsed) {
      return false;
    }
  }
  this->lastStoreQuestion = aNow;
  return true;
}

std::optional<LeaseQuestion>
KeyLease::NextQuestion(const std::vector<Endpoint>& aRanked, BootTime aNow)
{
  if (aRanked.empty() || this->AgeOrMax(aNow) < Times(kPeerAge, this->unit) ||
      (this->lastPeerQuestion &&
       aNow - *this->lastPeerQuestion < Times(kPeerPause, this->unit))) {
    return std::nullopt;
  }
  this->lastPeerQuestion = aNow;
  const std::size_t candidates = std::min(aRanked.size(), kDeputies + 1);
  const LeaseQuestion question{ aRanked[this->unanswered % candidates],
                                this->random() };
  ++this->unanswered;
  if (this->open.size() == kMaxOpenQuestions) {
    this->open.erase(this->open.begin());
  }
  this->open.push_back({ question, aNow });
  return question;
}

bool
KeyLease::OnAnswer(const Endpoint& aPeer,
                   std::uint64_t aNonce,
                   std::uint64_t aGeneration,
                   Millis aAge)
{
  const auto found =
    std::ranges::find_if(this->open, [&](const OpenQuestion& aOpen) {
      return aOpen.question.nonce == aNonce && aOpen.question.peer == aPeer;
    });
  if (found == this->open.end()) {
    return false;
  }
  const BootTime askedAt = found->sentAt - aAge;
  this->open.erase(found);
  this->Confirm({ aGeneration, askedAt });
  if (aAge < Times(kDeputyAge, this->unit)) {
    this->unanswered = 0;
  }
  return true;
}

}
