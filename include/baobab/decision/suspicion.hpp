/// @file
#pragma once

#include "baobab/core/time.hpp"

#include <cstdint>

namespace baobab {

/// Hash of a request's host, method, path and body. Requests with the same
/// fingerprint are treated as the same request, whatever service runs them.
using Fingerprint = std::uint64_t;

/// A request under suspicion.
struct Suspect
{
  Fingerprint fingerprint = 0;
  /// Sum of its shares of the crashes.
  double weight = 0;
};

/// One crash of a target and one request that may have caused it.
struct Suspicion
{
  Fingerprint fingerprint = 0;
  /// Identifier of the crash, the same for all requests under suspicion.
  std::uint64_t crash = 0;
  /// Share of the suspicion for this crash that falls on the request, up to 1.
  double weight = 0;
  /// True once the request has completed at a target.
  bool cleared = false;
  /// Time until the suspicion expires.
  Duration remaining = Duration::zero();

  friend bool operator==(const Suspicion&, const Suspicion&) = default;
};

}
