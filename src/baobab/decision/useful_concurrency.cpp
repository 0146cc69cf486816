#include "baobab/decision/useful_concurrency.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <ranges>

namespace baobab {
namespace {

/// Levels at most; a target with more slots has several per level.
constexpr std::size_t kMaxLevels = 20;

/// Lowest fraction of the slots that is tried as a limit.
constexpr double kLowestFraction = 0.5;

/// Calls over which the common part is averaged, per slot.
constexpr double kCommonSpan = 8;

/// Highest weight of a level, in calls.
constexpr double kMaxWeight = 100;

/// Weight of the neighbouring levels in the first estimate of a level's effect,
/// in calls.
constexpr double kPriorWeight = 2;

/// Weight that the levels below and above a limit need before it is set.
constexpr double kMinWeight = 6;

/// The limit is lowered only for a throughput that is higher by this factor.
constexpr double kMinGain = 1.05;

/// Range of the ratios that are recorded. Beyond it, the estimate of the
/// service time was wrong, or the target had a fault.
constexpr double kMinRatio = 0.1;
constexpr double kMaxRatio = 5;

/// Calls that are measured in a trial of another limit.
constexpr std::size_t kTrialCalls = 16;

/// Calls at the limit between two trials, besides two for each slot.
constexpr std::size_t kTrialInterval = 16;

/// Factor by which the weights of all levels shrink between two trials.
constexpr double kForgetting = 0.95;

/// Standard deviation of the logarithm of a single call's service time.
constexpr double kDeviation = 0.45;

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
  this->fitted.assign(count, 0);
  this->measured = false;
  this->limit = this->slots;
  this->trialCalls = 0;
  this->callsAtLimit = 0;
}

void
UsefulConcurrency::Record(std::uint16_t aConcurrency, double aRatio)
{
  if (this->slots == 0) {
    return;
  }
  const double sample = std::log(std::clamp(aRatio, kMinRatio, kMaxRatio));
  const std::size_t level = this->LevelOf(aConcurrency);
  if (!this->measured) {
    this->measured = true;
    this->common = sample;
  }
  const double effect = this->fitted[level];
  this->AddSample(this->levels[level], effect, sample - this->common);
  this->common +=
    (sample - this->common - effect) / (kCommonSpan * this->slots);
  const std::vector<Block> blocks = this->FitBlocks();
  this->UpdateCrowding(blocks);
  this->limit = this->BestLimit(blocks);
  this->UpdateTrial(aConcurrency);
}

double
UsefulConcurrency::Crowding(std::uint16_t aConcurrency) const
{
  return this->slots == 0 ? 1
                          : std::exp(this->fitted[this->LevelOf(aConcurrency)]);
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

std::uint16_t
UsefulConcurrency::LowestLimit() const
{
  return static_cast<std::uint16_t>(
    std::ceil(kLowestFraction * static_cast<double>(this->slots)));
}

void
UsefulConcurrency::AddSample(Level& aLevel, double aFitted, double aSample)
{
  if (aLevel.weight == 0) {
    aLevel = { aFitted, kPriorWeight };
  }
  aLevel.effect += (aSample - aLevel.effect) / (aLevel.weight + 1);
  aLevel.weight = std::min(aLevel.weight + 1, kMaxWeight);
}

/// Merges neighbouring levels until the effects of the blocks rise. Levels
/// without calls belong to the block below them.
std::vector<UsefulConcurrency::Block>
UsefulConcurrency::FitBlocks() const
{
  std::vector<Block> blocks;
  for (std::size_t i = 0; i < this->levels.size(); ++i) {
    const Level& level = this->levels[i];
    if (level.weight == 0 && !blocks.empty()) {
      blocks.back().last = i;
      continue;
    }
    blocks.push_back({ level.effect, level.weight, i });
    while (blocks.size() > 1) {
      const Block upper = blocks.back();
      Block& lower = *std::prev(blocks.end(), 2);
      if (lower.weight > 0 && lower.effect < upper.effect) {
        break;
      }
      const double sum = lower.weight + upper.weight;
      lower.effect =
        (lower.effect * lower.weight + upper.effect * upper.weight) / sum;
      lower.weight = sum;
      lower.last = upper.last;
      blocks.pop_back();
    }
  }
  return blocks;
}

void
UsefulConcurrency::UpdateCrowding(const std::vector<Block>& aBlocks)
{
  std::size_t level = 0;
  for (const Block& block : aBlocks) {
    for (; level <= block.last; ++level) {
      this->fitted[level] = block.effect - aBlocks.front().effect;
    }
  }
}

/// Returns the highest concurrency of the block with the highest throughput, if
/// that is clearly higher than the throughput with all slots busy.
std::uint16_t
UsefulConcurrency::BestLimit(const std::vector<Block>& aBlocks) const
{
  const auto throughput = [&](const Block& aBlock) {
    return this->ConcurrencyOf(aBlock.last) * std::exp(-aBlock.effect);
  };
  double weightAbove = 0;
  double best = throughput(aBlocks.back()) * kMinGain;
  std::uint16_t bestLimit = this->slots;
  for (auto block = std::next(aBlocks.rbegin()); block != aBlocks.rend();
       ++block) {
    weightAbove += std::prev(block)->weight;
    const bool known = weightAbove >= kMinWeight && block->weight >= kMinWeight;
    if (known && throughput(*block) > best) {
      best = throughput(*block);
      bestLimit = this->ConcurrencyOf(block->last);
    }
  }
  return bestLimit;
}

/// Ends the running trial, or starts the next one if the target has been at its
/// limit for long enough.
void
UsefulConcurrency::UpdateTrial(std::uint16_t aConcurrency)
{
  if (this->trialCalls > 0) {
    --this->trialCalls;
    return;
  }
  if (aConcurrency < this->limit ||
      ++this->callsAtLimit < kTrialInterval + std::size_t{ 2 } * this->slots) {
    return;
  }
  this->callsAtLimit = 0;
  for (Level& level : this->levels) {
    level.weight *= kForgetting;
  }
  this->trialLimit = this->MostPromisingLimit();
  // Calls that started before the trial end in it.
  this->trialCalls =
    this->trialLimit == this->limit ? 0 : this->limit + kTrialCalls;
}

/// Returns the limit with the highest throughput if the effect of each level is
/// lower than measured by its standard error.
std::uint16_t
UsefulConcurrency::MostPromisingLimit() const
{
  const auto promise = [&](std::size_t aLevel) {
    const Level& level = this->levels[aLevel];
    const double effect =
      level.weight == 0 ? this->fitted[aLevel] : level.effect;
    const double error = kDeviation / std::sqrt(level.weight + kPriorWeight);
    return this->ConcurrencyOf(aLevel) * std::exp(error - effect);
  };
  const std::size_t lowest = this->LevelOf(this->LowestLimit());
  const auto candidates =
    std::views::iota(lowest, std::max(lowest + 1, this->levels.size()));
  return this->ConcurrencyOf(std::ranges::max(candidates, {}, promise));
}

}
