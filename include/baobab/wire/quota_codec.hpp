/// @file
/// Encoding of quota messages as datagrams. They share the socket of the gossip
/// datagrams, from which their first bytes differ, and are packed by hand,
/// because they are sent several times a second between all regions.
#pragma once

#include "baobab/core/result.hpp"
#include "baobab/decision/quota_message.hpp"
#include "baobab/decision/quota_terms.hpp"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>

namespace baobab {

/// True if a datagram is not a gossip datagram but a quota message.
bool IsQuotaDatagram(std::span<const std::uint8_t> aBytes);

/// Encodes a message. Entries beyond kMaxQuotaEntries are left out.
std::string EncodeQuota(const QuotaMessage& aMessage);

/// Decodes a datagram. Fails with BadMessage if it is damaged.
Result<QuotaMessage> DecodeQuota(std::span<const std::uint8_t> aBytes);

}
