/// @file
/// Datagrams by which daemons of a zone ask each other for proofs that their
/// configuration is current.
#pragma once

#include "baobab/core/endpoint.hpp"
#include "baobab/core/time.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <string>

namespace baobab {

/// A question, or the answer to one.
struct LeaseMessage
{
  bool answer = false;
  std::uint64_t nonce = 0;
  /// In answers: generation and age of the proof.
  std::uint64_t generation = 0;
  Millis age{ 0 };
  Endpoint sender;

  bool operator==(const LeaseMessage&) const = default;
};

/// Encodes a message as a datagram. It differs from all gossip datagrams.
std::string EncodeLease(const LeaseMessage& aMessage);

/// Decodes a datagram; nothing if it is any other.
std::optional<LeaseMessage> DecodeLease(std::span<const std::uint8_t> aBytes);

}
