#include "baobab/decision/descriptor_share.hpp"

#include <algorithm>

namespace baobab {

std::int64_t
CallerShare(std::int64_t aSet,
            std::int64_t aTarget,
            std::optional<std::int64_t> aLimit)
{
  if (!aLimit) {
    return aSet;
  }
  const std::int64_t reserve =
    aTarget + kPeerDescriptors + kControlDescriptors + kFileDescriptors;
  const std::int64_t floor = std::max<std::int64_t>(1, *aLimit / 2);
  return std::min(aSet, std::max(*aLimit - reserve, floor));
}

}
