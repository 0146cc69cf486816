#include "baobab/decision/useful_concurrency.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <ranges>

namespace baobab {
namespace {

/// Levels at most; a target with more slots has several per level.
constexpr std::size_t kMaxLevels = 32;

/// Fraction of the slots at which a full target is measured for comparison.
constexpr double kComparisonFraction = 2.0 / 3;

/// Age at which a level's mean has lost half of its weight.
constexpr Duration kHalfLife = 15s;

/// Highest weight of a level, in calls.
constexpr double kMaxWeight = 24;

/// Weight that the levels below and above a limit need before it is set.
constexpr double kMinWeight = 6;

/// The limit is lowered only for a throughput that is higher by this factor.
constexpr double kMinGain = 1.08;

/// Range of the ratios that are recorded. Beyond it, the estimate of the
/// service time was wrong, or the target had a fault.
constexpr double kMinRatio = 0.1;
constexpr double kMaxRatio = 5;

double
WeightAt(double aWeight, TimePoint aFrom, TimePoint aNow)
{
  const double halfLives =
    std::chrono::duration<double>(aNow - aFrom) / kHalfLife;
  return aWeight * std::exp2(-std::max(0.0, halfLives));
}

}

void
UsefulConcurrency::SetSlots(std::uint16_t aSlots)
{
  if (aSlots != this->slots) {
    this->slots = aSlots;
    this->Reset();
  }
}

void
UsefulConcurrency::Reset()
{
  const std::size_t count = std::min<std::size_t>(this->slots, kMaxLevels);
  this->levels.assign(count, {});
  this->crowding.assign(count, 1);
  this->limit = this->slots;
}

void
UsefulConcurrency::Record(std::uint16_t aConcurrency,
                          double aRatio,
                          TimePoint aNow)
{
  if (this->slots == 0) {
    return;
  }
  Level& level = this->levels[this->LevelOf(aConcurrency)];
  const double before = WeightAt(level.weight, level.updatedAt, aNow);
  const double ratio = std::clamp(aRatio, kMinRatio, kMaxRatio);
  level.mean += (ratio - level.mean) / (before + 1);
  level.weight = std::min(before + 1, kMaxWeight);
  level.updatedAt = aNow;
  this->Update(aNow);
}

double
UsefulConcurrency::Crowding(std::uint16_t aConcurrency) const
{
  return this->slots == 0 ? 1 : this->crowding[this->LevelOf(aConcurrency)];
}

std::size_t
UsefulConcurrency::LevelOf(std::uint16_t aConcurrency) const
{
  const std::size_t index =
    std::clamp<std::size_t>(aConcurrency, 1, this->slots) - 1;
  return index * this->levels.size() / this->slots;
}

std::uint16_t
UsefulConcurrency::ConcurrencyOf(std::size_t aLevel) const
{
  const std::size_t count = this->levels.size();
  return static_cast<std::uint16_t>(((aLevel + 1) * this->slots + count - 1) /
                                    count);
}

/// Merges neighbouring levels until the means of the blocks rise. Levels
/// without calls belong to the block below them.
std::vector<UsefulConcurrency::Block>
UsefulConcurrency::FitBlocks(TimePoint aNow) const
{
  std::vector<Block> blocks;
  for (std::size_t i = 0; i < this->levels.size(); ++i) {
    const Level& level = this->levels[i];
    const double weight = WeightAt(level.weight, level.updatedAt, aNow);
    if (weight < 1 && !blocks.empty()) {
      blocks.back().last = i;
      continue;
    }
    blocks.push_back({ level.mean, weight, i });
    while (blocks.size() > 1) {
      const Block upper = blocks.back();
      Block& lower = *std::prev(blocks.end(), 2);
      if (lower.mean < upper.mean) {
        break;
      }
      const double sum = lower.weight + upper.weight;
      lower.mean = sum == 0 ? 0
                            : (lower.mean * lower.weight +
                               upper.mean * upper.weight) /
                                sum;
      lower.weight = sum;
      lower.last = upper.last;
      blocks.pop_back();
    }
  }
  return blocks;
}

bool
UsefulConcurrency::LacksComparison(TimePoint aNow) const
{
  const std::size_t lowLevels =
    this->LevelOf(this->ComparisonConcurrency()) + 1;
  const auto weightOf = [&](const Level& aLevel) {
    return WeightAt(aLevel.weight, aLevel.updatedAt, aNow);
  };
  double low = 0;
  double high = 0;
  for (std::size_t i = 0; i < this->levels.size(); ++i) {
    (i < lowLevels ? low : high) += weightOf(this->levels[i]);
  }
  return low < kMinWeight && high >= kMinWeight;
}

std::uint16_t
UsefulConcurrency::ComparisonConcurrency() const
{
  return static_cast<std::uint16_t>(
    std::ceil(kComparisonFraction * static_cast<double>(this->slots)));
}

void
UsefulConcurrency::Update(TimePoint aNow)
{
  const std::vector<Block> blocks = this->FitBlocks(aNow);
  const double lowest = blocks.front().mean;
  std::size_t first = 0;
  for (const Block& block : blocks) {
    const double factor =
      lowest > 0 ? std::max(1.0, block.mean / lowest) : 1.0;
    for (; first <= block.last; ++first) {
      this->crowding[first] = factor;
    }
  }
  if (this->LacksComparison(aNow)) {
    this->limit = this->ComparisonConcurrency();
    return;
  }
  const auto throughput = [&](const Block& aBlock) {
    return this->ConcurrencyOf(aBlock.last) / this->crowding[aBlock.last];
  };
  double weightAbove = 0;
  double best = throughput(blocks.back()) * kMinGain;
  this->limit = this->slots;
  for (auto block = std::next(blocks.rbegin()); block != blocks.rend();
       ++block) {
    weightAbove += std::prev(block)->weight;
    if (weightAbove >= kMinWeight && throughput(*block) > best) {
      best = throughput(*block);
      this->limit = this->ConcurrencyOf(block->last);
    }
  }
}

}
