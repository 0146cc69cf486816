#include "baobab/node/drop_counter.hpp"

#include "baobab/net/log.hpp"

#include <numeric>

namespace baobab {
namespace {

/// Time between two lines with the same reason.
constexpr Duration kLinePeriod = 10s;

}

void
DropCounter::Record(std::string_view aReason, TimePoint aNow)
{
  auto found = this->reasons.find(aReason);
  if (found == this->reasons.end()) {
    found = this->reasons.try_emplace(std::string(aReason)).first;
  }
  Drops& drops = found->second;
  ++drops.total;
  ++drops.unlogged;
  if (aNow >= drops.nextLine) {
    Log(this->event, aReason, drops.unlogged);
    drops.unlogged = 0;
    drops.nextLine = aNow + kLinePeriod;
  }
}

std::uint64_t
DropCounter::Total() const
{
  return std::accumulate(this->reasons.begin(),
                         this->reasons.end(),
                         std::uint64_t{ 0 },
                         [](std::uint64_t aSum, const auto& aItem) {
                           return aSum + aItem.second.total;
                         });
}

}
