#include "baobab/decision/burn_series.hpp"

namespace baobab {

void
BurnSeries::Add(const BurnCount& aCount, StatusTime aAt)
{
  for (std::size_t i = 0; i < kLevels.size(); ++i) {
    const std::int64_t number = aAt / kLevels[i].width;
    BurnCount& bucket = this->levels[i][number];
    bucket.good += aCount.good;
    bucket.bad += aCount.bad;
    this->levels[i].erase(
      this->levels[i].begin(),
      this->levels[i].upper_bound(number - kLevels[i].bucketCount));
  }
}

void
BurnSeries::Merge(const BurnSeries& aOther)
{
  for (std::size_t i = 0; i < kLevels.size(); ++i) {
    for (const auto& [number, count] : aOther.levels[i]) {
      BurnCount& bucket = this->levels[i][number];
      bucket.good += count.good;
      bucket.bad += count.bad;
    }
  }
}

BurnCount
BurnSeries::Last(std::chrono::seconds aSpan, StatusTime aNow) const
{
  std::size_t level = 0;
  while (level + 1 < kLevels.size() &&
         kLevels[level].width * kLevels[level].bucketCount < aSpan) {
    ++level;
  }
  const auto width = kLevels[level].width;
  const Buckets& buckets = this->levels[level];
  BurnCount sum;
  const std::int64_t first = (aNow - aSpan) / width + 1;
  for (auto item = buckets.lower_bound(first); item != buckets.end(); ++item) {
    sum.good += item->second.good;
    sum.bad += item->second.bad;
  }
  return sum;
}

}
