#include "baobab/wire/gossip_codec.hpp"

#include "member_codec.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <limits>

namespace baobab {
namespace {

/// Longest position in the store's history that is accepted from a peer.
constexpr std::size_t kMaxPositionBytes = 128;

/// Evacuated zones that are accepted from a peer.
constexpr std::size_t kMaxEvacuatedZones = 64;

Error
BadMessageError(const char* aMessage)
{
  return { ErrorKind::BadMessage, aMessage, "" };
}

}

std::string
EncodeGossip(const GossipMessage& aMessage)
{
  flatbuffers::FlatBufferBuilder builder(kMaxDatagramBytes);
  const auto sender = EncodeMember(builder, aMessage.sender);
  std::vector<flatbuffers::Offset<wire::fb::Member>> news;
  for (const MemberRecord& record : aMessage.updates) {
    news.push_back(EncodeMember(builder, record));
  }
  std::vector<wire::fb::Suspect> suspicions;
  for (const Suspicion& suspicion : aMessage.suspicions) {
    suspicions.emplace_back(
      suspicion.fingerprint,
      suspicion.crash,
      static_cast<float>(suspicion.weight),
      static_cast<std::uint32_t>(suspicion.remaining / 1ms),
      suspicion.cleared);
  }
  std::vector<flatbuffers::Offset<wire::fb::RegionAge>> contacts;
  for (const RegionAge& contact : aMessage.contacts) {
    const auto region = builder.CreateSharedString(contact.region);
    contacts.push_back(wire::fb::CreateRegionAge(
      builder, region, static_cast<std::uint32_t>(contact.age.count())));
  }
  flatbuffers::Offset<wire::fb::StoreConfirmation> confirmation;
  if (aMessage.confirmation) {
    const auto position = builder.CreateString(aMessage.confirmation->position);
    confirmation = wire::fb::CreateStoreConfirmation(
      builder,
      static_cast<std::uint32_t>(
        std::min<std::int64_t>(aMessage.confirmation->age.count(),
                               std::numeric_limits<std::uint32_t>::max())),
      position);
  }
  flatbuffers::Offset<wire::fb::Evacuations> evacuated;
  if (aMessage.evacuated) {
    const auto zones = builder.CreateVectorOfStrings(aMessage.evacuated->zones);
    evacuated = wire::fb::CreateEvacuations(
      builder, aMessage.evacuated->revision, zones, aMessage.evacuated->era);
  }
  const Endpoint subject = aMessage.subject.value_or(Endpoint{});
  const auto root =
    wire::fb::CreateGossip(builder,
                           static_cast<std::uint8_t>(aMessage.kind),
                           aMessage.nonce,
                           aMessage.generation,
                           aMessage.digest,
                           sender,
                           aMessage.subject.has_value(),
                           subject.address,
                           subject.port,
                           builder.CreateVector(news),
                           builder.CreateVectorOfStructs(suspicions),
                           builder.CreateVector(contacts),
                           aMessage.suspicionDigest,
                           confirmation,
                           evacuated);
  builder.Finish(root, wire::fb::GossipIdentifier());
  return { reinterpret_cast<const char*>(builder.GetBufferPointer()),
           builder.GetSize() };
}

Result<GossipMessage>
DecodeGossip(std::span<const std::uint8_t> aBytes)
{
  flatbuffers::Verifier verifier(aBytes.data(), aBytes.size());
  if (aBytes.size() < 2 * sizeof(std::uint32_t) ||
      !wire::fb::VerifyGossipBuffer(verifier)) {
    return BadMessageError("not a gossip datagram");
  }
  const wire::fb::Gossip& gossip = *wire::fb::GetGossip(aBytes.data());
  if (gossip.kind() > static_cast<std::uint8_t>(GossipKind::Update)) {
    return BadMessageError("unknown kind of gossip datagram");
  }
  GossipMessage message;
  message.kind = static_cast<GossipKind>(gossip.kind());
  message.nonce = gossip.nonce();
  message.generation = gossip.generation();
  message.digest = gossip.digest();
  message.suspicionDigest = gossip.suspicion_digest();
  auto sender = DecodeMember(*gossip.sender());
  if (!Succeeded(sender)) {
    return Failure(sender);
  }
  message.sender = std::move(Value(sender));
  if (gossip.has_subject()) {
    message.subject =
      Endpoint{ gossip.subject_address(), gossip.subject_port() };
  }
  if (gossip.news() != nullptr) {
    for (const wire::fb::Member* member : *gossip.news()) {
      auto record = DecodeMember(*member);
      if (!Succeeded(record)) {
        return Failure(record);
      }
      message.updates.push_back(std::move(Value(record)));
    }
  }
  if (gossip.suspicions() != nullptr) {
    // The verifier does not check the alignment of structures in a vector, and
    // the encoder aligns them only if there are any.
    const auto address =
      reinterpret_cast<std::uintptr_t>(gossip.suspicions()->Data());
    if (gossip.suspicions()->size() > 0 &&
        address % alignof(wire::fb::Suspect) != 0) {
      return BadMessageError("the suspicions are not aligned");
    }
    for (const wire::fb::Suspect* suspect : *gossip.suspicions()) {
      if (!std::isfinite(suspect->weight())) {
        return BadMessageError(
          "the weight of a suspicion is not a finite number");
      }
      message.suspicions.push_back({ suspect->fingerprint(),
                                     suspect->crash(),
                                     suspect->weight(),
                                     suspect->cleared(),
                                     Millis(suspect->remaining_ms()) });
    }
  }
  if (const auto* confirmation = gossip.confirmation()) {
    if (confirmation->position()->size() > kMaxPositionBytes) {
      return BadMessageError("the position in the store's history is too long");
    }
    message.confirmation = ConfirmationAge{ Millis(confirmation->age_ms()),
                                            confirmation->position()->str() };
  }
  if (const auto* evacuated = gossip.evacuations()) {
    // The rest of the message is of use in any case.
    if (evacuated->zones()->size() <= kMaxEvacuatedZones) {
      message.evacuated =
        EvacuatedZones{ evacuated->revision(), {}, evacuated->era() };
      for (const auto* zone : *evacuated->zones()) {
        message.evacuated->zones.push_back(zone->str());
      }
    }
  }
  if (gossip.contacts() != nullptr) {
    for (const wire::fb::RegionAge* contact : *gossip.contacts()) {
      message.contacts.push_back(
        { contact->region()->str(), Millis(contact->age_ms()) });
    }
  }
  return message;
}

}
