/// @file
#pragma once

#include "baobab/core/time.hpp"

#include <cstdint>

namespace baobab {

/// Hash of what makes a request the same request: service, method, path and
/// body.
using Fingerprint = std::uint64_t;

/// One crash of a target and one request that was running there.
struct Suspicion
{
  Fingerprint fingerprint = 0;
  /// Identity of the crash, the same for all requests it is blamed on.
  std::uint64_t crash = 0;
  /// Part of the blame, up to 1.
  double weight = 0;
  /// True once the request was seen to complete after all.
  bool cleared = false;
  /// Time for which the suspicion still holds.
  Duration remaining = Duration::zero();
};

}
