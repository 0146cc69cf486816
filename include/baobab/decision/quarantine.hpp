/// @file
/// Finds requests that crash the targets that run them.
#pragma once

#include "baobab/decision/suspicion.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace baobab {

struct Request;

/// What may be done with a request.
enum class Verdict : std::uint8_t
{
  Allow,
  /// It may run, but not together with another suspect.
  Isolate,
  Refuse,
};

/// Collects blame for crashes by request. Blame falls on the requests that
/// were suspects already, or else on all that were running.
class Quarantine
{
public:
  /// Records a crash. @param aRunning requests that were running there
  void RecordCrash(std::uint64_t aCrash,
                   std::span<const Fingerprint> aRunning,
                   Duration aLifetime,
                   TimePoint aNow);

  /// Clears a request that completed.
  void RecordCompletion(Fingerprint aFingerprint, TimePoint aNow);

  /// Judges a request. @param aThreshold blame from which it is refused
  Verdict Evaluate(Fingerprint aFingerprint,
                   double aThreshold,
                   TimePoint aNow) const;

  /// Takes over what another daemon saw.
  void Merge(const Suspicion& aSuspicion, TimePoint aNow);

  /// Suspicions to pass on in the next datagram, least often sent first.
  std::vector<Suspicion> TakeNews(std::size_t aMost, TimePoint aNow);

  /// Requests under suspicion now.
  std::vector<Fingerprint> Suspects(TimePoint aNow) const;

  /// Drops what has lapsed.
  void Expire(TimePoint aNow);

  std::size_t Size() const { return this->cases.size(); }

private:
  struct Case
  {
    double weight = 0;
    bool cleared = false;
    TimePoint until;
    std::uint32_t sent = 0;
  };

  using Cases = std::unordered_map<std::uint64_t, Case>;

  bool IsSuspect(Fingerprint aFingerprint, TimePoint aNow) const;

  /// Cases by request and crash.
  std::unordered_map<Fingerprint, Cases> cases;
};

/// Returns the fingerprint of a request.
Fingerprint FingerprintOf(const Request& aRequest);

}
