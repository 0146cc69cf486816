/// @file
/// Encoding of gossip datagrams as FlatBuffers.
#pragma once

#include "baobab/core/result.hpp"
#include "baobab/decision/gossip_message.hpp"

#include <cstdint>
#include <span>
#include <string>

namespace baobab {

/// Maximum size of a datagram, sent or received.
constexpr std::size_t kMaxDatagramBytes = 1400;

/// Encodes a message as a datagram.
std::string EncodeGossip(const GossipMessage& aMessage);

/// Decodes a datagram. Fails with BadMessage if it is truncated, is not a
/// gossip datagram or contains a value out of range.
Result<GossipMessage> DecodeGossip(std::span<const std::uint8_t> aBytes);

}
