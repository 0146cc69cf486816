#include "baobab/decision/rendezvous.hpp"

#include <algorithm>
#include <xxhash.h>

namespace baobab {
namespace {

std::uint64_t
WeightOf(const Endpoint& aMember, std::uint64_t aRole)
{
  const std::uint64_t key =
    (std::uint64_t{ aMember.address } << 16U) | aMember.port;
  return XXH3_64bits_withSeed(&key, sizeof key, aRole);
}

}

std::vector<Endpoint>
RendezvousPick(const std::vector<Endpoint>& aMembers,
               std::string_view aRole,
               std::size_t aCount)
{
  const std::uint64_t role = XXH3_64bits(aRole.data(), aRole.size());
  std::vector<std::pair<std::uint64_t, Endpoint>> weighted;
  weighted.reserve(aMembers.size());
  std::ranges::transform(
    aMembers, std::back_inserter(weighted), [&](const Endpoint& aMember) {
      return std::pair{ WeightOf(aMember, role), aMember };
    });
  const std::size_t count = std::min(aCount, weighted.size());
  std::ranges::partial_sort(weighted,
                            weighted.begin() +
                              static_cast<std::ptrdiff_t>(count),
                            std::ranges::greater{});
  std::vector<Endpoint> picked;
  std::ranges::transform(weighted.begin(),
                         weighted.begin() + static_cast<std::ptrdiff_t>(count),
                         std::back_inserter(picked),
                         [](const auto& aEntry) { return aEntry.second; });
  return picked;
}

}
