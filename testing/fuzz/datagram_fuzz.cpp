/// @file
/// Gossip datagrams, and what membership makes of them.
#include "baobab/decision/membership.hpp"
#include "baobab/wire/gossip_codec.hpp"
#include "bytes.hpp"

#include <cstring>
#include <vector>

void
baobab::Fuzz(std::span<const std::uint8_t> aBytes)
{
  std::vector<std::uint64_t> words(aBytes.size() / sizeof(std::uint64_t) + 1);
  if (!aBytes.empty()) {
    std::memcpy(words.data(), aBytes.data(), aBytes.size());
  }
  const auto* bytes = reinterpret_cast<const std::uint8_t*>(words.data());
  const auto message = DecodeGossip({ bytes, aBytes.size() });
  if (Succeeded(message)) {
    constexpr TimePoint kNow{ 1h };
    MemberRecord self;
    self.endpoint = { 1, 1 };
    Membership membership(self, {}, 1, kNow);
    membership.Handle(Value(message), kNow);
    membership.Tick(kNow + 1s);
  }
}
