/// @file
/// Load of the host's network link by answers.
#pragma once

#include "baobab/core/time.hpp"

#include <cstdint>

namespace baobab {

/// Estimates how long the answers that were started need on the host's link.
///
/// Load pattern: a host with a narrow link whose target returns large answers.
/// If more calls start than the link can carry answers for, packets wait for
/// seconds on the link, and with them all other traffic of the daemon:
/// configuration, membership and the calls of others.
class LinkLoad
{
public:
  /// Sets the rate of the link; 0: not known, so that nothing waits.
  void SetRate(double aBytesPerSecond) { this->rate = aBytesPerSecond; }

  /// Adds the expected bytes of an answer.
  void Add(std::int64_t aBytes, TimePoint aNow);

  /// Time until the link has carried all answers that were added.
  Duration Backlog(TimePoint aNow) const;

private:
  double rate = 0;
  TimePoint freeAt;
};

}
