#include "baobab/wire/lease_codec.hpp"

#include <algorithm>
#include <limits>
#include <string_view>

namespace baobab {
namespace {

/// At the place of a gossip datagram's file identifier, which differs.
constexpr std::string_view kMark{ "\0\0\0\0BBL1", 8 };

constexpr unsigned kByteBits = 8;

/// Appends an integer, lowest byte first.
template<class T>
void
Append(std::string& aBytes, T aValue)
{
  for (unsigned i = 0; i < sizeof(T); ++i) {
    aBytes += static_cast<char>(
      (static_cast<std::uint64_t>(aValue) >> (i * kByteBits)) & 0xffU);
  }
}

template<class T>
void
Take(std::span<const std::uint8_t>& aBytes, T& aValue)
{
  std::uint64_t value = 0;
  for (unsigned i = 0; i < sizeof(T); ++i) {
    value |= static_cast<std::uint64_t>(aBytes[i]) << (i * kByteBits);
  }
  aValue = static_cast<T>(value);
  aBytes = aBytes.subspan(sizeof(T));
}

}

std::string
EncodeLease(const LeaseMessage& aMessage)
{
  constexpr std::int64_t kMaxAge = std::numeric_limits<std::uint32_t>::max();
  std::string bytes(kMark);
  Append(bytes, static_cast<std::uint8_t>(aMessage.answer ? 1 : 0));
  Append(bytes, aMessage.nonce);
  Append(bytes, aMessage.generation);
  Append(bytes,
         static_cast<std::uint32_t>(
           std::clamp<std::int64_t>(aMessage.age.count(), 0, kMaxAge)));
  Append(bytes, aMessage.sender.address);
  Append(bytes, aMessage.sender.port);
  return bytes;
}

std::optional<LeaseMessage>
DecodeLease(std::span<const std::uint8_t> aBytes)
{
  static const std::size_t size = EncodeLease({}).size();
  if (aBytes.size() != size ||
      !std::equal(
        kMark.begin(), kMark.end(), aBytes.begin(), [](char a, auto b) {
          return static_cast<std::uint8_t>(a) == b;
        })) {
    return std::nullopt;
  }
  auto rest = aBytes.subspan(kMark.size());
  LeaseMessage message;
  std::uint8_t answer = 0;
  std::uint32_t age = 0;
  Take(rest, answer);
  Take(rest, message.nonce);
  Take(rest, message.generation);
  Take(rest, age);
  Take(rest, message.sender.address);
  Take(rest, message.sender.port);
  if (answer > 1) {
    return std::nullopt;
  }
  message.answer = answer == 1;
  message.age = Millis(age);
  return message;
}

}
