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

/// A target that may get a call.
struct Candidate
{
  /// Expected time from sending the call to its answer.
  Duration finish = Duration::zero();
  /// What keeping the call near is worth, as time.
  Duration penalty = Duration::zero();
  /// Distance; of about equal candidates only those as near as the best share
  /// the calls.
  int distance = 0;
};

/// The chosen candidate.
struct FinishChoice
{
  std::size_t index = 0;
  /// Time in which the best other candidate is expected to finish, penalties
  /// compared; nothing if there is none.
  std::optional<Duration> alternative;
};

/// Chooses among near candidates whose costs are about the lowest with equal
/// probability, so that daemons with the same view do not all choose the same
/// target. Nothing if there is no candidate.
template<RandomSource R>
std::optional<FinishChoice>
ChooseFirstToFinish(std::span<const Candidate> aCandidates, R& aRandom)
{
  if (aCandidates.empty()) {
    return std::nullopt;
  }
  // Estimates are not better than this.
  constexpr double kIndifferent = 1.05;
  const auto cost = [&](std::size_t aIndex) {
    return aCandidates[aIndex].finish + aCandidates[aIndex].penalty;
  };
  const auto indices = std::views::iota(std::size_t{ 0 }, aCandidates.size());
  const std::size_t best = std::ranges::min(indices, {}, cost);
  const auto bound =
    std::chrono::duration_cast<Duration>(cost(best) * kIndifferent);
  std::size_t chosen = best;
  std::size_t tied = 0;
  for (const std::size_t i : indices) {
    const bool about =
      cost(i) <= bound && aCandidates[i].distance == aCandidates[best].distance;
    if (about && UniformBelow(aRandom, ++tied) == 0) {
      chosen = i;
    }
  }
  FinishChoice choice{ chosen, std::nullopt };
  for (std::size_t i = 0; i < aCandidates.size(); ++i) {
    if (i == chosen) {
      continue;
    }
    const Duration extra = aCandidates[i].penalty - aCandidates[chosen].penalty;
    const Duration other = aCandidates[i].finish + extra;
    choice.alternative =
      choice.alternative ? std::min(*choice.alternative, other) : other;
  }
  return choice;
}

}
