#include "baobab/decision/news_queue.hpp"

namespace baobab {

void
NewsQueue::Add(const Endpoint& aEndpoint)
{
  this->Remove(aEndpoint);
  this->sent[aEndpoint] = 0;
  this->queue.emplace(0, aEndpoint);
}

void
NewsQueue::Remove(const Endpoint& aEndpoint)
{
  const auto found = this->sent.find(aEndpoint);
  if (found != this->sent.end()) {
    this->queue.erase({ found->second, aEndpoint });
    this->sent.erase(found);
  }
}

std::vector<Endpoint>
NewsQueue::Take(const std::function<std::size_t(const Endpoint&)>& aSizeOf,
                std::size_t aBytes,
                std::uint32_t aTransmissions)
{
  std::vector<Key> taken;
  std::size_t bytes = 0;
  for (const Key& key : this->queue) {
    bytes += aSizeOf(key.second);
    if (bytes > aBytes) {
      break;
    }
    taken.push_back(key);
  }
  std::vector<Endpoint> endpoints;
  endpoints.reserve(taken.size());
  for (const auto& [count, endpoint] : taken) {
    endpoints.push_back(endpoint);
    this->queue.erase({ count, endpoint });
    if (count + 1 >= aTransmissions) {
      this->sent.erase(endpoint);
    } else {
      this->sent[endpoint] = count + 1;
      this->queue.emplace(count + 1, endpoint);
    }
  }
  return endpoints;
}

}
