/// @file
#pragma once

#include "baobab/decision/evacuation.hpp"
#include "baobab/decision/member.hpp"
#include "baobab/decision/region_contacts.hpp"
#include "baobab/decision/store_freshness.hpp"
#include "baobab/decision/suspicion.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace baobab {

enum class GossipKind : std::uint8_t
{
  Ping,
  Ack,
  /// Asks the receiver to ping `subject` and to forward its ack.
  PingRequest,
  /// Spreads updates without asking for an ack.
  Update,
};

/// One datagram between daemons.
struct GossipMessage
{
  GossipKind kind = GossipKind::Ping;
  std::uint32_t nonce = 0;
  /// Generation of the configuration in force at the sender.
  std::uint64_t generation = 0;
  /// What the store last confirmed of that generation, if it did.
  std::optional<ConfirmationAge> confirmation;
  /// Hash of the sender's table. Equal tables have equal digests.
  std::uint64_t digest = 0;
  MemberRecord sender;
  /// Member to ping; only in a PingRequest.
  std::optional<Endpoint> subject;
  /// Records that changed recently.
  std::vector<MemberRecord> updates;
  std::vector<Suspicion> suspicions;
  /// Hash of all suspicions that the sender holds.
  std::uint64_t suspicionDigest = 0;
  std::vector<RegionAge> contacts;
  /// Evacuated zones, if there are any or were lately.
  std::optional<EvacuatedZones> evacuated;
};

/// A datagram and its destination.
struct GossipSend
{
  Endpoint to;
  GossipMessage message;
};

}
