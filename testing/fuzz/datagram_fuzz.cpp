/// @file
/// Fuzzes the gossip decoder and the handling of decoded messages by the
/// membership protocol.
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
