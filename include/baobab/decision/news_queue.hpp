/// @file
#pragma once

#include "baobab/core/endpoint.hpp"

#include <cstdint>
#include <functional>
#include <set>
#include <unordered_map>
#include <vector>

namespace baobab {

/// Members whose records are news, least often sent first.
class NewsQueue
{
public:
  /// Puts a member in front, as if it had never been sent.
  void Add(const Endpoint& aEndpoint);

  /// Takes a member out.
  void Remove(const Endpoint& aEndpoint);

  /// Takes members for one message and counts them as sent.
  /// @param aSizeOf encoded size of a member's record
  /// @param aBytes size of all records at most
  /// @param aTransmissions times that each member is sent at most
  std::vector<Endpoint> Take(
    const std::function<std::size_t(const Endpoint&)>& aSizeOf,
    std::size_t aBytes,
    std::uint32_t aTransmissions);

  std::size_t Size() const { return this->sent.size(); }

private:
  using Key = std::pair<std::uint32_t, Endpoint>;

  std::set<Key> queue;
  std::unordered_map<Endpoint, std::uint32_t> sent;
};

}
