/// @file
/// Gossip datagrams, and what membership makes of them.
#include "baobab/decision/membership.hpp"
#include "baobab/wire/gossip_codec.hpp"
#include "bytes.hpp"

void
baobab::Fuzz(std::span<const std::uint8_t> aBytes)
{
  const auto message = DecodeGossip(AlignedBytes(aBytes).Span());
  if (Succeeded(message)) {
    constexpr TimePoint kNow{ 1h };
    MemberRecord self;
    self.endpoint = { 1, 1 };
    Membership membership(self, {}, 1, kNow);
    membership.Handle(Value(message), kNow);
    membership.Tick(kNow + 1s);
  }
}
