/// @file
/// Encoding of messages between daemons as length-prefixed FlatBuffers.
#pragma once

#include "baobab/core/result.hpp"
#include "baobab/wire/peer_message.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>

namespace baobab {

/// Size of the length field in front of each frame.
constexpr std::size_t kFrameHeaderBytes = 4;

/// Maximum size of a received frame, without the length field.
constexpr std::size_t kMaxFrameBytes = 80U << 20U;

/// Encodes a message and appends its frame to a buffer.
/// @param aBodyBytes size of the body of a call or an answer that the caller
///   sends right behind the buffer; the message's own body must be empty
void AppendFrame(const PeerMessage& aMessage,
                 std::string& aBuffer,
                 std::size_t aBodyBytes = 0);

/// What the front of a frame says about the body of a call or an answer.
struct FrameBody
{
  bool answer = false;
  /// Position of the body's first byte in the frame.
  std::size_t position = 0;
  std::size_t size = 0;
};

/// Finds the body of a call or an answer by the front of its frame; nothing if
/// the frame carries another message or the front does not contain the fields.
/// @param aFront at least the bytes up to the body, aligned to 8 bytes
std::optional<FrameBody> FindFrameBody(std::span<const std::uint8_t> aFront);

/// Removes the body from the front of a frame, which ends with it.
void RemoveFrameBody(std::string& aFront, const FrameBody& aBody);

/// Decodes the length field of a frame. Fails with TooLarge if the length
/// exceeds kMaxFrameBytes.
Result<std::size_t> FrameLength(
  std::span<const std::uint8_t, kFrameHeaderBytes> aHeader);

/// Decodes a frame. Fails with BadMessage, or with TooLarge for a service file
/// that is too large.
/// @param aFrame the bytes after the length field, aligned to 8 bytes
Result<PeerMessage> DecodeFrame(std::span<const std::uint8_t> aFrame);

/// Decodes a large frame like DecodeFrame. The memory of the frame becomes that
/// of the body of a call or an answer.
Result<PeerMessage> DecodeLargeFrame(std::string aFrame);

}
