/// @file
#pragma once

#include "baobab/core/endpoint.hpp"

#include <cstdint>
#include <functional>
#include <set>
#include <unordered_map>
#include <vector>

namespace baobab {

/// Members whose changed records are to be spread by gossip, least often sent
/// first.
class UpdateQueue
{
public:
  /// Adds a member, or resets its count of transmissions.
  void Add(const Endpoint& aEndpoint);

  void Remove(const Endpoint& aEndpoint);

  /// Selects members for one datagram and counts them as sent. Removes those
  /// that have reached the limit of transmissions.
  /// @param aSizeOf returns the encoded size of a member's record
  /// @param aMaxBytes total size of the records at most
  /// @param aMaxTransmissions how often each member is sent at most
  std::vector<Endpoint> SelectForDatagram(
    const std::function<std::size_t(const Endpoint&)>& aSizeOf,
    std::size_t aMaxBytes,
    std::uint32_t aMaxTransmissions);

  std::size_t Size() const { return this->timesSent.size(); }

private:
  /// Number of transmissions so far, and the member.
  using Key = std::pair<std::uint32_t, Endpoint>;

  std::set<Key> queue;
  std::unordered_map<Endpoint, std::uint32_t> timesSent;
};

}
