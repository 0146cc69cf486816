/// @file
#pragma once

#include "baobab/core/random.hpp"
#include "baobab/core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace baobab {

/// A statement of the object store about the published configuration.
struct StoreConfirmation
{
  /// No newer generation was published when the store was asked.
  std::uint64_t generation = 0;
  TimePoint askedAt;
  /// Position in the store's history at that time, from which a reader may
  /// continue; see ConfigSource.
  std::string position;
};

/// A confirmation as gossip spreads it. It applies to the generation in force
/// at the sender.
struct ConfirmationAge
{
  Millis age{ 0 };
  std::string position;

  bool operator==(const ConfirmationAge&) const = default;
};

/// Knows when the store last confirmed the configuration in force, whether to
/// this daemon or to one whose gossip it received, and decides when this daemon
/// asks again.
///
/// Every daemon may ask, at random times, so that a new configuration is found
/// without depending on daemons that cannot read the store. The mean rate of
/// the whole fleet does not depend on its size, nor on whether the store
/// answers.
class StoreFreshness
{
public:
  /// Age up to which a confirmation needs no renewal.
  static constexpr Duration kFreshTime = 500ms;

  /// Mean time between questions of the fleet while no daemon has a fresh
  /// confirmation.
  static constexpr Duration kFleetInterval = 100ms;

  explicit StoreFreshness(std::uint64_t aSeed)
    : random(aSeed)
  {
  }

  /// Records a confirmation. The one of the highest generation counts, and of
  /// those the one with the latest question: a daemon that was paused tells too
  /// low an age, and may not know of the newest generation.
  void Confirm(StoreConfirmation aConfirmation);

  /// Merges what a peer says.
  /// @param aGeneration generation in force at the peer
  void Merge(std::uint64_t aGeneration,
             const ConfirmationAge& aConfirmation,
             TimePoint aNow);

  /// Returns the confirmation to spread; nothing if there is none for the
  /// generation in force, or if a newer one is known to be published.
  std::optional<ConfirmationAge> Current(std::uint64_t aGeneration,
                                         TimePoint aNow) const;

  /// True if this daemon is to ask the store now. Call it periodically.
  /// @param aGeneration generation in force
  /// @param aMembers daemons in the fleet, at least 1
  bool ShouldAsk(std::uint64_t aGeneration,
                 std::size_t aMembers,
                 TimePoint aNow);

private:
  SplitMix random;
  std::optional<StoreConfirmation> latest;
  std::optional<TimePoint> lastCheck;
};

}
