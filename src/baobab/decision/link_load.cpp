#include "baobab/decision/link_load.hpp"

#include <algorithm>

namespace baobab {
namespace {

/// Fraction of the link that answers may use. The rest is for requests, control
/// traffic and the overhead of the network protocols.
constexpr double kAnswerFraction = 0.75;

}

void
LinkLoad::Add(std::int64_t aBytes, TimePoint aNow)
{
  if (this->rate <= 0) {
    return;
  }
  const std::chrono::duration<double> time(static_cast<double>(aBytes) /
                                           (this->rate * kAnswerFraction));
  this->freeAt =
    std::max(this->freeAt, aNow) + std::chrono::duration_cast<Duration>(time);
}

Duration
LinkLoad::Backlog(TimePoint aNow) const
{
  return std::max<Duration>(Duration::zero(), this->freeAt - aNow);
}

}
