/// @file
/// Encoding of messages between daemons as length-prefixed FlatBuffers.
#pragma once

#include "baobab/core/result.hpp"
#include "baobab/wire/peer_message.hpp"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>

namespace baobab {

/// Size of the length field in front of each frame.
constexpr std::size_t kFrameHeaderBytes = 4;

/// Maximum size of a received frame, without the length field.
constexpr std::size_t kMaxFrameBytes = 80U << 20U;

/// Encodes a message and appends its frame to a buffer.
void AppendFrame(const PeerMessage& aMessage, std::string& aBuffer);

/// Decodes the length field of a frame. Fails with TooLarge if the length
/// exceeds kMaxFrameBytes.
Result<std::size_t> FrameLength(
  std::span<const std::uint8_t, kFrameHeaderBytes> aHeader);

/// Decodes a frame. Fails with BadMessage, or with TooLarge for a service file
/// that is too large.
/// @param aFrame the bytes after the length field, aligned to 8 bytes
Result<PeerMessage> DecodeFrame(std::span<const std::uint8_t> aFrame);

}
