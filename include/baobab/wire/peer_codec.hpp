/// @file
/// Encodes messages between daemons as length-prefixed FlatBuffers.
#pragma once

#include "baobab/core/result.hpp"
#include "baobab/wire/peer_message.hpp"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>

namespace baobab {

/// Bytes of the length that precedes each frame.
constexpr std::size_t kFrameHeaderBytes = 4;

/// Largest frame that is accepted.
constexpr std::size_t kMaxFrameBytes = 80U << 20U;

/// Appends the frame of a message to a buffer.
void AppendFrame(const PeerMessage& aMessage, std::string& aBuffer);

/// Reads the length of a frame from its first bytes.
/// Fails with TooLarge beyond kMaxFrameBytes.
Result<std::size_t> FrameLength(
  std::span<const std::uint8_t, kFrameHeaderBytes> aHeader);

/// Decodes a frame without its length. Fails with BadMessage.
/// @param aFrame bytes that start on an 8-byte boundary
Result<PeerMessage> DecodeFrame(std::span<const std::uint8_t> aFrame);

}
