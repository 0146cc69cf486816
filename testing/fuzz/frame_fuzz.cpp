/// @file
/// Frames from other daemons.
#include "baobab/wire/peer_codec.hpp"
#include "bytes.hpp"

#include <cstring>
#include <vector>

void
baobab::Fuzz(std::span<const std::uint8_t> aBytes)
{
  // Frames are read into aligned buffers.
  std::vector<std::uint64_t> words(aBytes.size() / sizeof(std::uint64_t) + 1);
  if (!aBytes.empty()) {
    std::memcpy(words.data(), aBytes.data(), aBytes.size());
  }
  const auto* bytes = reinterpret_cast<const std::uint8_t*>(words.data());
  (void)DecodeFrame({ bytes, aBytes.size() });
}
