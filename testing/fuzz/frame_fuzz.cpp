/// @file
/// Fuzzes the decoder of frames from other daemons.
#include "baobab/wire/peer_codec.hpp"
#include "bytes.hpp"

void
baobab::Fuzz(std::span<const std::uint8_t> aBytes)
{
  (void)DecodeFrame(AlignedBytes(aBytes).Span());
}
