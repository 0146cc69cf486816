/// @file
/// Detects requests that crash the targets that run them.
#pragma once

#include "baobab/decision/suspicion.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace baobab {

struct Request;

/// Detail of the refusal of a request that crashes targets.
inline constexpr std::string_view kQuarantinedDetail =
  "requests with this fingerprint crash their target";

/// How a request may be handled.
enum class Verdict : std::uint8_t
{
  Allow,
  /// It may run, but not at the same time as another suspect.
  Isolate,
  Refuse,
};

/// Suspicions of having caused a crash, by request. Each crash is attributed in
/// equal shares to the running requests that were already under suspicion, or
/// to all running requests if none was. The number of requests is bounded;
/// those with the smallest shares are forgotten first.
class Quarantine
{
public:
  /// Records a crash of a target.
  /// @param aCrash identifier of the crash
  /// @param aRunning requests that were running there
  /// @param aLifetime time after which the suspicions expire
  void RecordCrash(std::uint64_t aCrash,
                   std::span<const Fingerprint> aRunning,
                   Duration aLifetime,
                   TimePoint aNow);

  /// Clears a request that completed of the suspicions recorded so far. A
  /// server error clears nothing: a failing target may return it without
  /// running the request.
  /// @param aStatus HTTP status of the target's answer
  void RecordCompletion(Fingerprint aFingerprint,
                        unsigned aStatus,
                        TimePoint aNow);

  /// Returns how a request may be handled now.
  /// @param aThreshold sum of the shares from which it is refused
  Verdict Evaluate(Fingerprint aFingerprint,
                   double aThreshold,
                   TimePoint aNow) const;

  /// Merges a suspicion from another daemon.
  void Merge(const Suspicion& aSuspicion, TimePoint aNow);

  /// Returns suspicions for the next datagram and counts them as sent: the
  /// least often sent first, then the heaviest. Each is sent a limited number
  /// of times, but without limit to a receiver whose digest differs.
  std::vector<Suspicion> SelectForDatagram(std::size_t aMaxCount,
                                           TimePoint aNow,
                                           bool aDigestsDiffer = false);

  /// Hash of all suspicions that are held. Daemons that hold the same ones have
  /// equal digests.
  std::uint64_t Digest() const { return this->digest; }

  /// Suspicions to keep in the object store: those of requests that were the
  /// only suspect of a crash at least once.
  std::vector<Suspicion> Confirmed(TimePoint aNow) const;

  /// Suspicions that were cleared and have not expired.
  std::vector<Suspicion> Cleared(TimePoint aNow) const;

  /// True if a confirmed suspicion is not in the object store yet.
  bool HasUnstored(TimePoint aNow) const;

  /// The same for suspicions that were recorded by this daemon.
  bool HasUnstoredOfThisHost(TimePoint aNow) const;

  /// Marks suspicions as contained in the object store.
  void MarkStored(std::span<const Suspicion> aSuspicions);

  /// Takes no suspicion for contained in the object store any more.
  void MarkAllUnstored();

  /// Requests that are suspects now.
  std::vector<Suspect> Suspects(TimePoint aNow) const;

  /// Drops expired suspicions.
  void Expire(TimePoint aNow);

  std::size_t Size() const { return this->entries.size(); }

private:
  struct Entry
  {
    double weight = 0;
    bool cleared = false;
    /// True if this daemon recorded the crash.
    bool recordedHere = false;
    /// True if the object store contains the entry.
    bool stored = false;
    TimePoint expiresAt;
    /// How often it was sent to other daemons since it was added or cleared.
    std::uint32_t timesSent = 0;
  };

  using Entries = std::unordered_map<std::uint64_t, Entry>;

  bool IsSuspected(Fingerprint aFingerprint, TimePoint aNow) const;
  double WeightOf(const Entries& aEntries, TimePoint aNow) const;
  /// Calls a function with the fingerprint, the crash and the entry of each
  /// confirmed suspicion.
  template<class Function>
  void ForEachConfirmed(TimePoint aNow, Function aFunction) const;

  void Forget(Fingerprint aFingerprint);
  void MakeRoom(TimePoint aNow);
  void Clear(Fingerprint aFingerprint, std::uint64_t aCrash, Entry& aEntry);

  /// Entries by request and crash.
  std::unordered_map<Fingerprint, Entries> entries;
  std::uint64_t digest = 0;
};

/// Returns the fingerprint of a request.
Fingerprint FingerprintOf(const Request& aRequest);

/// Returns a fingerprint as it appears in logs and in the object store.
std::string ToHex(Fingerprint aFingerprint);

}
