#include "packed_texts.hpp"

#include "deflate.hpp"

#include <unordered_map>

namespace baobab {
namespace {

/// Bytes that are kept at most; all are dropped when they are exceeded.
constexpr std::size_t kMostBytes = 512 << 10;

struct PackedTexts
{
  std::unordered_map<std::string, std::string> byHash;
  std::size_t bytes = 0;
};

PackedTexts&
Texts()
{
  static thread_local PackedTexts texts;
  return texts;
}

}

const std::string&
PackedText(const std::string& aHash, const std::string& aText)
{
  const auto found = Texts().byHash.find(aHash);
  if (found != Texts().byHash.end()) {
    return found->second;
  }
  CachePackedText(aHash, Deflate(aText));
  return Texts().byHash.at(aHash);
}

void
CachePackedText(const std::string& aHash, std::string aPacked)
{
  PackedTexts& texts = Texts();
  if (texts.bytes + aPacked.size() > kMostBytes) {
    texts = {};
  }
  texts.bytes += aPacked.size();
  texts.byHash.insert_or_assign(aHash, std::move(aPacked));
}

}
