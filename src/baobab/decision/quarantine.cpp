#include "baobab/decision/quarantine.hpp"

#include "baobab/core/http_message.hpp"

#include <algorithm>
#include <numeric>
#include <xxhash.h>

namespace baobab {
namespace {

/// Times that one suspicion is passed on by one daemon.
constexpr std::uint32_t kTransmissions = 24;

/// Longest life that is believed of a suspicion from another daemon.
constexpr Duration kLongestLife = std::chrono::hours(24);

}

void
Quarantine::RecordCrash(std::uint64_t aCrash,
                        std::span<const Fingerprint> aRunning,
                        Duration aLifetime,
                        TimePoint aNow)
{
  std::vector<Fingerprint> blamed;
  std::ranges::copy_if(
    aRunning, std::back_inserter(blamed), [&](Fingerprint aFingerprint) {
      return this->IsSuspect(aFingerprint, aNow);
    });
  if (blamed.empty()) {
    blamed.assign(aRunning.begin(), aRunning.end());
  }
  const double weight =
    1.0 / static_cast<double>(std::max<std::size_t>(1, blamed.size()));
  for (const Fingerprint fingerprint : blamed) {
    this->Merge({ fingerprint, aCrash, weight, false, aLifetime }, aNow);
  }
}

void
Quarantine::RecordCompletion(Fingerprint aFingerprint, TimePoint aNow)
{
  const auto found = this->cases.find(aFingerprint);
  if (found == this->cases.end()) {
    return;
  }
  for (auto& [crash, item] : found->second) {
    if (!item.cleared && item.until > aNow) {
      item.cleared = true;
      item.sent = 0;
    }
  }
}

Verdict
Quarantine::Evaluate(Fingerprint aFingerprint,
                     double aThreshold,
                     TimePoint aNow) const
{
  const auto found = this->cases.find(aFingerprint);
  if (found == this->cases.end()) {
    return Verdict::Allow;
  }
  const double blame = std::accumulate(
    found->second.begin(),
    found->second.end(),
    0.0,
    [&](double aSum, const auto& aItem) {
      const Case& item = aItem.second;
      return item.cleared || item.until <= aNow ? aSum : aSum + item.weight;
    });
  if (blame >= aThreshold) {
    return Verdict::Refuse;
  }
  return blame > 0 ? Verdict::Isolate : Verdict::Allow;
}

void
Quarantine::Merge(const Suspicion& aSuspicion, TimePoint aNow)
{
  const Duration life = std::min(aSuspicion.remaining, kLongestLife);
  if (life <= Duration::zero()) {
    return;
  }
  Case& item = this->cases[aSuspicion.fingerprint][aSuspicion.crash];
  const double weight = std::clamp(aSuspicion.weight, 0.0, 1.0);
  const bool isNew = item.until == TimePoint{};
  const bool changes = isNew || (aSuspicion.cleared && !item.cleared);
  item.weight = std::max(item.weight, weight);
  item.cleared = item.cleared || aSuspicion.cleared;
  if (isNew) {
    item.until = aNow + life;
  }
  if (changes) {
    item.sent = 0;
  }
}

std::vector<Suspicion>
Quarantine::TakeNews(std::size_t aMost, TimePoint aNow)
{
  std::vector<Suspicion> news;
  for (auto& [fingerprint, cases] : this->cases) {
    for (auto& [crash, item] : cases) {
      if (news.size() == aMost) {
        return news;
      }
      if (item.sent < kTransmissions && item.until > aNow) {
        ++item.sent;
        news.push_back(
          { fingerprint, crash, item.weight, item.cleared, item.until - aNow });
      }
    }
  }
  return news;
}

std::vector<Fingerprint>
Quarantine::Suspects(TimePoint aNow) const
{
  std::vector<Fingerprint> suspects;
  for (const auto& [fingerprint, cases] : this->cases) {
    if (this->IsSuspect(fingerprint, aNow)) {
      suspects.push_back(fingerprint);
    }
  }
  return suspects;
}

void
Quarantine::Expire(TimePoint aNow)
{
  for (auto& [fingerprint, cases] : this->cases) {
    std::erase_if(
      cases, [&](const auto& aItem) { return aItem.second.until <= aNow; });
  }
  std::erase_if(this->cases,
                [](const auto& aItem) { return aItem.second.empty(); });
}

bool
Quarantine::IsSuspect(Fingerprint aFingerprint, TimePoint aNow) const
{
  constexpr double kAnyBlame = 1e9;
  return this->Evaluate(aFingerprint, kAnyBlame, aNow) == Verdict::Isolate;
}

Fingerprint
FingerprintOf(const Request& aRequest)
{
  const auto mix = [](std::uint64_t aSeed, const std::string& aText) {
    return XXH3_64bits_withSeed(aText.data(), aText.size(), aSeed);
  };
  std::uint64_t hash = mix(0, aRequest.service);
  hash = mix(hash, aRequest.method);
  hash = mix(hash, aRequest.target);
  return mix(hash, aRequest.body);
}

}
