#include "baobab/decision/unfinished_body.hpp"

#include <tuple>

namespace baobab {
namespace {

/// Returns the part of a body that has arrived, 0 to 1. Of a body without an
/// announced length nothing counts as complete.
double
Completeness(const UnfinishedBody& aBody)
{
  return aBody.length && *aBody.length > 0
           ? static_cast<double>(aBody.arrived) /
               static_cast<double>(*aBody.length)
           : 0;
}

/// Orders bodies by how soon they give way; the lowest one goes first.
auto
Rank(const UnfinishedBody& aBody, TimePoint aNow)
{
  const bool stalled = aNow - aBody.lastBytesAt >= kBodyStall;
  return std::tuple(!stalled,
                    stalled ? aBody.lastBytesAt : TimePoint{},
                    Completeness(aBody),
                    aNow - aBody.startedAt);
}

}

std::size_t
ChooseToGiveWay(std::span<const UnfinishedBody> aBodies,
                std::size_t aAsking,
                TimePoint aNow)
{
  std::size_t chosen = aAsking;
  for (std::size_t i = 0; i < aBodies.size(); ++i) {
    if (aBodies[i].held > 0 &&
        Rank(aBodies[i], aNow) < Rank(aBodies[chosen], aNow)) {
      chosen = i;
    }
  }
  return chosen;
}

}
