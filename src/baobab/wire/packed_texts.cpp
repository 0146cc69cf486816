#include "packed_texts.hpp"

#include "deflate.hpp"

#include <unordered_map>

namespace baobab {
namespace {

/// Maximum size of a thread's cache. The whole cache is cleared before it would
/// be exceeded.
constexpr std::size_t kMaxCacheBytes = 512 << 10;

struct Cache
{
  std::unordered_map<std::string, std::string> byHash;
  std::size_t bytes = 0;
};

Cache&
ThreadCache()
{
  static thread_local Cache cache;
  return cache;
}

}

const std::string&
CompressedText(const std::string& aHash, const std::string& aText)
{
  const auto found = ThreadCache().byHash.find(aHash);
  if (found != ThreadCache().byHash.end()) {
    return found->second;
  }
  CacheCompressedText(aHash, Deflate(aText));
  return ThreadCache().byHash.at(aHash);
}

void
CacheCompressedText(const std::string& aHash, std::string aCompressed)
{
  Cache& cache = ThreadCache();
  if (cache.bytes + aCompressed.size() > kMaxCacheBytes) {
    cache = {};
  }
  cache.bytes += aCompressed.size();
  cache.byHash.insert_or_assign(aHash, std::move(aCompressed));
}

}
