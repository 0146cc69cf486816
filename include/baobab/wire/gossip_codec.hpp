/// @file
/// Encodes gossip datagrams as FlatBuffers.
#pragma once

#include "baobab/core/result.hpp"
#include "baobab/decision/gossip_message.hpp"

#include <cstdint>
#include <span>
#include <string>

namespace baobab {

/// Largest datagram that is sent or read, in bytes.
constexpr std::size_t kMaxDatagramBytes = 1400;

/// Returns the bytes of a datagram.
std::string EncodeGossip(const GossipMessage& aMessage);

/// Decodes a datagram. Fails with BadMessage for anything that is truncated,
/// foreign or out of range.
Result<GossipMessage> DecodeGossip(std::span<const std::uint8_t> aBytes);

}
