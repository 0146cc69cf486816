#include "baobab/core/key_hash.hpp"

#include <charconv>
// The header of libmd needs the types of <sys/types.h> and has no guard for
// C++ of its own.
#include <sys/types.h>

#include <sha2.h>

namespace baobab {

KeyHash
HashKey(std::string_view aKey)
{
  static_assert(kKeyHashBytes == SHA256_DIGEST_LENGTH);
  SHA2_CTX context;
  SHA256Init(&context);
  SHA256Update(
    &context, reinterpret_cast<const std::uint8_t*>(aKey.data()), aKey.size());
  KeyHash hash{};
  SHA256Final(hash.data(), &context);
  return hash;
}

std::optional<KeyHash>
ParseKeyHash(std::string_view aText)
{
  constexpr int kHexadecimal = 16;
  KeyHash hash{};
  if (aText.size() != 2 * hash.size()) {
    return std::nullopt;
  }
  for (std::size_t i = 0; i < hash.size(); ++i) {
    const char* first = aText.data() + 2 * i;
    const auto [end, code] =
      std::from_chars(first, first + 2, hash[i], kHexadecimal);
    if (code != std::errc{} || end != first + 2) {
      return std::nullopt;
    }
  }
  return hash;
}

std::string
FormatKeyHash(const KeyHash& aHash)
{
  constexpr std::string_view kDigits = "0123456789abcdef";
  constexpr unsigned kBits = 4;
  std::string text;
  text.reserve(2 * aHash.size());
  for (const std::uint8_t byte : aHash) {
    text += kDigits[byte >> kBits];
    text += kDigits[byte % kDigits.size()];
  }
  return text;
}

bool
SameKeyHash(const KeyHash& aLeft, const KeyHash& aRight)
{
  unsigned difference = 0;
  for (std::size_t i = 0; i < aLeft.size(); ++i) {
    difference |= static_cast<unsigned>(aLeft[i] ^ aRight[i]);
  }
  return difference == 0;
}

}
