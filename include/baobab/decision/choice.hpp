/// @file
/// Policies that choose one target from a list.
#pragma once

#include "baobab/core/random.hpp"
#include "baobab/core/time.hpp"

#include <algorithm>
#include <array>
#include <atomic>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <ranges>

namespace baobab {

/// The properties of a target that a policy uses.
struct TargetView
{
  /// Running and waiting calls per slot.
  double utilisation = 0;
  Duration latency = Duration::zero();
  /// False if it must not be chosen now.
  bool usable = true;
};

/// Looks up the view of the target at an index.
template<class V>
concept ViewLookup = requires(const V& aLookup, std::size_t aIndex) {
  {
    aLookup(aIndex)
  } -> std::same_as<TargetView>;
};

/// Chooses an index below a count; nothing if no target is usable.
template<class P>
concept ChoicePolicy = requires(P& aPolicy,
                                std::size_t aCount,
                                TargetView (&aLookup)(std::size_t),
                                SplitMix& aRandom) {
  {
    aPolicy.Choose(aCount, aLookup, aRandom)
  } -> std::same_as<std::optional<std::size_t>>;
};

/// Chooses a target at random, or the next usable one in the list if that one
/// is unusable.
struct RandomChoice
{
  template<ViewLookup V, RandomSource R>
  std::optional<std::size_t> Choose(std::size_t aCount,
                                    const V& aLookup,
                                    R& aRandom) const
  {
    if (aCount == 0) {
      return std::nullopt;
    }
    const std::size_t start = UniformBelow(aRandom, aCount);
    for (const std::size_t step : std::views::iota(std::size_t{ 0 }, aCount)) {
      const std::size_t index = (start + step) % aCount;
      if (aLookup(index).usable) {
        return index;
      }
    }
    return std::nullopt;
  }
};

/// Chooses the usable targets in turn.
class RoundRobinChoice
{
public:
  template<ViewLookup V, RandomSource R>
  std::optional<std::size_t> Choose(std::size_t aCount,
                                    const V& aLookup,
                                    R& /*aRandom*/)
  {
    for (std::size_t tries = 0; tries < aCount; ++tries) {
      const std::size_t index =
        this->next.fetch_add(1, std::memory_order_relaxed) % aCount;
      if (aLookup(index).usable) {
        return index;
      }
    }
    return std::nullopt;
  }

private:
  std::atomic<std::size_t> next{ 0 };
};

/// Chooses the usable target with the lowest known utilisation.
struct LeastKnownChoice
{
  template<ViewLookup V, RandomSource R>
  std::optional<std::size_t> Choose(std::size_t aCount,
                                    const V& aLookup,
                                    R& /*aRandom*/) const
  {
    std::optional<std::size_t> best;
    double lowest = 0;
    for (const std::size_t index : std::views::iota(std::size_t{ 0 }, aCount)) {
      const TargetView view = aLookup(index);
      if (view.usable && (!best || view.utilisation < lowest)) {
        best = index;
        lowest = view.utilisation;
      }
    }
    return best;
  }
};

/// Power of d choices: samples a few targets at random. Takes the one with the
/// lowest latency among those that are neither highly utilised nor stragglers,
/// or the least utilised one if there are none.
struct LoadAwareChoice
{
  static constexpr std::size_t kSamples = 4;
  /// Utilisation from which a target is avoided.
  static constexpr double kHighUtilisation = 0.7;
  /// A sample whose latency exceeds this multiple of the lowest is a straggler.
  static constexpr int kStragglerFactor = 3;

  template<ViewLookup V, RandomSource R>
  std::optional<std::size_t> Choose(std::size_t aCount,
                                    const V& aLookup,
                                    R& aRandom) const
  {
    std::array<Sample, kSamples> samples;
    const std::size_t sampleCount =
      DrawSamples(aCount, aLookup, aRandom, samples);
    if (sampleCount == 0) {
      return RandomChoice{}.Choose(aCount, aLookup, aRandom);
    }
    const auto drawn =
      std::ranges::subrange(samples.begin(), samples.begin() + sampleCount);
    const Duration fastest =
      std::ranges::min(drawn, {}, &Sample::latency).latency;
    const auto preferred = [&](const Sample& aSample) {
      return aSample.utilisation < kHighUtilisation &&
             aSample.latency <= fastest * kStragglerFactor;
    };
    const auto better = [&](const Sample& aLeft, const Sample& aRight) {
      if (preferred(aLeft) != preferred(aRight)) {
        return preferred(aLeft);
      }
      return preferred(aLeft) ? aLeft.latency < aRight.latency
                              : aLeft.utilisation < aRight.utilisation;
    };
    return std::ranges::min_element(drawn, better)->index;
  }

private:
  struct Sample
  {
    std::size_t index = 0;
    double utilisation = 0;
    Duration latency = Duration::zero();
  };

  template<ViewLookup V, RandomSource R>
  static std::size_t DrawSamples(std::size_t aCount,
                                 const V& aLookup,
                                 R& aRandom,
                                 std::array<Sample, kSamples>& aSamples)
  {
    if (aCount == 0) {
      return 0;
    }
    std::size_t sampleCount = 0;
    for (std::size_t tries = 0; tries < 2 * kSamples && sampleCount < kSamples;
         ++tries) {
      const std::size_t index = UniformBelow(aRandom, aCount);
      const bool drawn = std::ranges::any_of(
        aSamples.begin(),
        aSamples.begin() + sampleCount,
        [&](const Sample& aSample) { return aSample.index == index; });
      const TargetView view = aLookup(index);
      if (!drawn && view.usable) {
        aSamples[sampleCount++] = { index, view.utilisation, view.latency };
      }
    }
    return sampleCount;
  }
};

}
