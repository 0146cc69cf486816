#include "baobab/decision/quarantine.hpp"

#include "baobab/core/http_message.hpp"

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdio>
#include <numeric>
#include <ranges>
#include <set>
#include <xxhash.h>

namespace baobab {
namespace {

/// How often a daemon passes a suspicion on.
constexpr std::uint32_t kTransmissions = 24;

/// Requests that are held at most.
constexpr std::size_t kMaxRequests = 4096;

/// Part of one suspicion in the digest of all.
std::uint64_t
HashOf(Fingerprint aFingerprint, std::uint64_t aCrash, bool aCleared)
{
  const std::array<std::uint64_t, 3> fields = { aFingerprint,
                                                aCrash,
                                                aCleared ? 1U : 0U };
  return XXH3_64bits(fields.data(), sizeof fields);
}

/// Returns the host that a request names, without the port and in lower case.
std::string
HostOf(const Request& aRequest)
{
  const auto lower = [](const std::string& aText) {
    std::string text = aText;
    std::ranges::transform(text, text.begin(), [](unsigned char aByte) {
      return static_cast<char>(std::tolower(aByte));
    });
    return text;
  };
  const auto field =
    std::ranges::find_if(aRequest.headers, [&](const HeaderField& aField) {
      return lower(aField.name) == "host";
    });
  return field == aRequest.headers.end()
           ? std::string()
           : lower(field->value.substr(0, field->value.rfind(':')));
}

/// Longest lifetime that is accepted for a suspicion from another daemon.
constexpr Duration kMaxLifetime = std::chrono::hours(24);

}

void
Quarantine::RecordCrash(std::uint64_t aCrash,
                        std::span<const Fingerprint> aRunning,
                        Duration aLifetime,
                        TimePoint aNow)
{
  // Several requests with the same fingerprint count as one.
  const std::set<Fingerprint> running(aRunning.begin(), aRunning.end());
  std::vector<Fingerprint> suspected;
  std::ranges::copy_if(
    running, std::back_inserter(suspected), [&](Fingerprint aFingerprint) {
      return this->IsSuspected(aFingerprint, aNow);
    });
  if (suspected.empty()) {
    suspected.assign(running.begin(), running.end());
  }
  const double weight =
    1.0 / static_cast<double>(std::max<std::size_t>(1, suspected.size()));
  for (const Fingerprint fingerprint : suspected) {
    this->Merge({ fingerprint, aCrash, weight, false, aLifetime }, aNow);
    this->entries[fingerprint][aCrash].recordedHere = true;
  }
}

void
Quarantine::RecordCompletion(Fingerprint aFingerprint,
                             unsigned aStatus,
                             TimePoint aNow)
{
  constexpr unsigned kServerError = 500;
  const auto found = this->entries.find(aFingerprint);
  if (found == this->entries.end() || aStatus >= kServerError) {
    return;
  }
  for (auto& [crash, entry] : found->second) {
    if (!entry.cleared && entry.expiresAt > aNow) {
      this->Clear(aFingerprint, crash, entry);
    }
  }
}

Verdict
Quarantine::Evaluate(Fingerprint aFingerprint,
                     double aThreshold,
                     TimePoint aNow) const
{
  const auto found = this->entries.find(aFingerprint);
  if (found == this->entries.end()) {
    return Verdict::Allow;
  }
  const double totalWeight = this->WeightOf(found->second, aNow);
  if (totalWeight >= aThreshold) {
    return Verdict::Refuse;
  }
  return totalWeight > 0 ? Verdict::Isolate : Verdict::Allow;
}

/// Returns the sum of the shares that count against a request now.
double
Quarantine::WeightOf(const Entries& aEntries, TimePoint aNow) const
{
  return std::accumulate(
    aEntries.begin(), aEntries.end(), 0.0, [&](double aSum, const auto& aItem) {
      const Entry& entry = aItem.second;
      return entry.cleared || entry.expiresAt <= aNow ? aSum
                                                      : aSum + entry.weight;
    });
}

void
Quarantine::Merge(const Suspicion& aSuspicion, TimePoint aNow)
{
  const Duration lifetime = std::min(aSuspicion.remaining, kMaxLifetime);
  if (lifetime <= Duration::zero()) {
    return;
  }
  if (!this->entries.contains(aSuspicion.fingerprint)) {
    this->MakeRoom(aNow);
  }
  Entry& entry = this->entries[aSuspicion.fingerprint][aSuspicion.crash];
  const double weight = std::clamp(aSuspicion.weight, 0.0, 1.0);
  const bool isNew = entry.expiresAt == TimePoint{};
  entry.weight = std::max(entry.weight, weight);
  // Repeats do not extend the lifetime, so that daemons which repeat a
  // suspicion to each other cannot keep it for ever.
  if (isNew) {
    entry.expiresAt = aNow + lifetime;
    this->digest ^= HashOf(aSuspicion.fingerprint, aSuspicion.crash, false);
  }
  if (aSuspicion.cleared && !entry.cleared) {
    this->Clear(aSuspicion.fingerprint, aSuspicion.crash, entry);
  }
}

std::vector<Suspicion>
Quarantine::SelectForDatagram(std::size_t aMaxCount,
                              TimePoint aNow,
                              bool aDigestsDiffer)
{
  struct Candidate
  {
    Fingerprint fingerprint;
    std::uint64_t crash;
    Entry* entry;
  };
  std::vector<Candidate> candidates;
  for (auto& [fingerprint, entries] : this->entries) {
    for (auto& [crash, entry] : entries) {
      const bool due = aDigestsDiffer || entry.timesSent < kTransmissions;
      if (due && entry.expiresAt > aNow) {
        candidates.push_back({ fingerprint, crash, &entry });
      }
    }
  }
  const std::size_t count = std::min(aMaxCount, candidates.size());
  std::ranges::partial_sort(
    candidates,
    candidates.begin() + static_cast<std::ptrdiff_t>(count),
    {},
    [](const Candidate& aCandidate) {
      const Entry& entry = *aCandidate.entry;
      return std::pair{ entry.timesSent, -entry.weight };
    });
  std::vector<Suspicion> selected;
  std::ranges::transform(candidates | std::views::take(count),
                         std::back_inserter(selected),
                         [&](const Candidate& aCandidate) {
                           Entry& entry = *aCandidate.entry;
                           ++entry.timesSent;
                           return Suspicion{ aCandidate.fingerprint,
                                             aCandidate.crash,
                                             entry.weight,
                                             entry.cleared,
                                             entry.expiresAt - aNow };
                         });
  return selected;
}

template<class Function>
void
Quarantine::ForEachConfirmed(TimePoint aNow, Function aFunction) const
{
  for (const auto& [fingerprint, entries] : this->entries) {
    const auto holds = [&](const Entry& aEntry) {
      return !aEntry.cleared && aEntry.expiresAt > aNow;
    };
    const bool confirmed = std::ranges::any_of(entries, [&](const auto& aItem) {
      return holds(aItem.second) && aItem.second.weight >= 1;
    });
    for (const auto& [crash, entry] : entries) {
      if (confirmed && holds(entry)) {
        aFunction(fingerprint, crash, entry);
      }
    }
  }
}

std::vector<Suspicion>
Quarantine::Confirmed(TimePoint aNow) const
{
  std::vector<Suspicion> confirmed;
  this->ForEachConfirmed(
    aNow,
    [&](Fingerprint aFingerprint, std::uint64_t aCrash, const Entry& aEntry) {
      confirmed.push_back({ aFingerprint,
                            aCrash,
                            aEntry.weight,
                            false,
                            aEntry.expiresAt - aNow });
    });
  return confirmed;
}

std::vector<Suspicion>
Quarantine::Cleared(TimePoint aNow) const
{
  std::vector<Suspicion> cleared;
  for (const auto& [fingerprint, entries] : this->entries) {
    for (const auto& [crash, entry] : entries) {
      if (entry.cleared && entry.expiresAt > aNow) {
        cleared.push_back(
          { fingerprint, crash, entry.weight, true, entry.expiresAt - aNow });
      }
    }
  }
  return cleared;
}

bool
Quarantine::HasUnstored(TimePoint aNow) const
{
  bool unstored = false;
  this->ForEachConfirmed(aNow,
                         [&](Fingerprint, std::uint64_t, const Entry& aEntry) {
                           unstored = unstored || !aEntry.stored;
                         });
  return unstored;
}

bool
Quarantine::HasUnstoredOfThisHost(TimePoint aNow) const
{
  bool unstored = false;
  this->ForEachConfirmed(
    aNow, [&](Fingerprint, std::uint64_t, const Entry& aEntry) {
      unstored = unstored || (!aEntry.stored && aEntry.recordedHere);
    });
  return unstored;
}

void
Quarantine::MarkStored(std::span<const Suspicion> aSuspicions)
{
  for (const Suspicion& suspicion : aSuspicions) {
    const auto request = this->entries.find(suspicion.fingerprint);
    if (request == this->entries.end()) {
      continue;
    }
    const auto entry = request->second.find(suspicion.crash);
    if (entry != request->second.end()) {
      entry->second.stored = true;
    }
  }
}

void
Quarantine::MarkAllUnstored()
{
  for (auto& [fingerprint, entries] : this->entries) {
    for (auto& [crash, entry] : entries) {
      entry.stored = false;
    }
  }
}

std::vector<Suspect>
Quarantine::Suspects(TimePoint aNow) const
{
  std::vector<Suspect> suspects;
  for (const auto& [fingerprint, entries] : this->entries) {
    const double weight = this->WeightOf(entries, aNow);
    if (weight > 0) {
      suspects.push_back({ fingerprint, weight });
    }
  }
  return suspects;
}

void
Quarantine::Expire(TimePoint aNow)
{
  for (auto& [fingerprint, entries] : this->entries) {
    std::erase_if(entries, [&](const auto& aItem) {
      const auto& [crash, entry] = aItem;
      const bool expired = entry.expiresAt <= aNow;
      if (expired) {
        this->digest ^= HashOf(fingerprint, crash, entry.cleared);
      }
      return expired;
    });
  }
  std::erase_if(this->entries,
                [](const auto& aItem) { return aItem.second.empty(); });
}

/// Forgets the request with the smallest weight if there are too many.
void
Quarantine::MakeRoom(TimePoint aNow)
{
  if (this->entries.size() < kMaxRequests) {
    return;
  }
  const auto least =
    std::ranges::min_element(this->entries, {}, [&](const auto& aItem) {
      return this->WeightOf(aItem.second, aNow);
    });
  this->Forget(least->first);
}

void
Quarantine::Forget(Fingerprint aFingerprint)
{
  const auto found = this->entries.find(aFingerprint);
  for (const auto& [crash, entry] : found->second) {
    this->digest ^= HashOf(aFingerprint, crash, entry.cleared);
  }
  this->entries.erase(found);
}

void
Quarantine::Clear(Fingerprint aFingerprint, std::uint64_t aCrash, Entry& aEntry)
{
  aEntry.cleared = true;
  aEntry.timesSent = 0;
  this->digest ^= HashOf(aFingerprint, aCrash, false);
  this->digest ^= HashOf(aFingerprint, aCrash, true);
}

bool
Quarantine::IsSuspected(Fingerprint aFingerprint, TimePoint aNow) const
{
  const auto found = this->entries.find(aFingerprint);
  return found != this->entries.end() &&
         this->WeightOf(found->second, aNow) > 0;
}

std::string
ToHex(Fingerprint aFingerprint)
{
  char text[17];
  std::snprintf(text,
                sizeof text,
                "%016llx",
                static_cast<unsigned long long>(aFingerprint));
  return text;
}

Fingerprint
FingerprintOf(const Request& aRequest)
{
  const auto mix = [](std::uint64_t aSeed, const std::string& aText) {
    return XXH3_64bits_withSeed(aText.data(), aText.size(), aSeed);
  };
  std::uint64_t hash = mix(0, HostOf(aRequest));
  hash = mix(hash, aRequest.method);
  hash = mix(hash, aRequest.target);
  return mix(hash, aRequest.body);
}

}
