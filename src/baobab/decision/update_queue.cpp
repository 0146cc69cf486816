#include "baobab/decision/update_queue.hpp"

namespace baobab {

void
UpdateQueue::Add(const Endpoint& aEndpoint)
{
  this->Remove(aEndpoint);
  this->timesSent[aEndpoint] = 0;
  this->queue.emplace(0, aEndpoint);
}

void
UpdateQueue::Remove(const Endpoint& aEndpoint)
{
  const auto found = this->timesSent.find(aEndpoint);
  if (found != this->timesSent.end()) {
    this->queue.erase({ found->second, aEndpoint });
    this->timesSent.erase(found);
  }
}

std::vector<Endpoint>
UpdateQueue::SelectForDatagram(
  const std::function<std::size_t(const Endpoint&)>& aSizeOf,
  std::size_t aMaxBytes,
  std::uint32_t aMaxTransmissions)
{
  std::vector<Key> taken;
  std::size_t bytes = 0;
  for (const Key& key : this->queue) {
    bytes += aSizeOf(key.second);
    if (bytes > aMaxBytes) {
      break;
    }
    taken.push_back(key);
  }
  std::vector<Endpoint> endpoints;
  endpoints.reserve(taken.size());
  for (const auto& [count, endpoint] : taken) {
    endpoints.push_back(endpoint);
    this->queue.erase({ count, endpoint });
    if (count + 1 >= aMaxTransmissions) {
      this->timesSent.erase(endpoint);
    } else {
      this->timesSent[endpoint] = count + 1;
      this->queue.emplace(count + 1, endpoint);
    }
  }
  return endpoints;
}

}
