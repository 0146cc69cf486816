/// @file
/// Chooses the target that is expected to finish a call first.
#pragma once

#include "baobab/core/random.hpp"
#include "baobab/core/time.hpp"

#include <algorithm>
#include <cstddef>
#include <optional>
#include <ranges>
#include <span>
#include <vector>

namespace baobab {

/// A target that can be chosen for a call.
struct Candidate
{
  /// Expected time from sending the call to its answer.
  Duration expectedTime = Duration::zero();
  /// Time added to the cost of a distant target, so that a call goes there only
  /// if it gains more than this.
  Duration penalty = Duration::zero();
  /// Distance class. Calls are spread only over candidates of about equal cost
  /// in the same class as the best one.
  int distance = 0;
};

/// The chosen candidate.
struct FinishChoice
{
  std::size_t index = 0;
  /// Lowest expected time of the other candidates, adjusted by the difference
  /// between their penalty and that of the chosen one; nothing if there is no
  /// other candidate.
  std::optional<Duration> alternative;
};

/// Chooses the candidate with the lowest cost, which is expected time plus
/// penalty. Candidates in the same distance class with about the same cost are
/// chosen with equal probability, so that daemons with the same view do not all
/// choose the same target. Nothing if there is no candidate.
template<RandomSource R>
std::optional<FinishChoice>
ChooseFirstToFinish(std::span<const Candidate> aCandidates, R& aRandom)
{
  if (aCandidates.empty()) {
    return std::nullopt;
  }
  // Estimates are not accurate enough to distinguish smaller differences.
  constexpr double kEqualCostFactor = 1.05;
  const auto cost = [&](std::size_t aIndex) {
    return aCandidates[aIndex].expectedTime + aCandidates[aIndex].penalty;
  };
  const auto indices = std::views::iota(std::size_t{ 0 }, aCandidates.size());
  const std::size_t best = std::ranges::min(indices, {}, cost);
  const auto bound =
    std::chrono::duration_cast<Duration>(cost(best) * kEqualCostFactor);
  std::size_t chosen = best;
  std::size_t equalCount = 0;
  for (const std::size_t i : indices) {
    const bool equalCost =
      cost(i) <= bound && aCandidates[i].distance == aCandidates[best].distance;
    if (equalCost && UniformBelow(aRandom, ++equalCount) == 0) {
      chosen = i;
    }
  }
  FinishChoice choice{ chosen, std::nullopt };
  for (std::size_t i = 0; i < aCandidates.size(); ++i) {
    if (i == chosen) {
      continue;
    }
    const Duration extra = aCandidates[i].penalty - aCandidates[chosen].penalty;
    const Duration other = aCandidates[i].expectedTime + extra;
    choice.alternative =
      choice.alternative ? std::min(*choice.alternative, other) : other;
  }
  return choice;
}

}
