#include "baobab/wire/peer_codec.hpp"

#include "deflate.hpp"
#include "generated/peer_generated.h"
#include "member_codec.hpp"
#include "packed_texts.hpp"

#include <algorithm>
#include <cmath>
#include <cstring>

namespace baobab {
namespace {

namespace fb = wire::fb;

using Headers = flatbuffers::Vector<flatbuffers::Offset<fb::Header>>;
using Bytes = flatbuffers::Vector<std::uint8_t>;

/// Limits the memory that is allocated for a damaged message.
constexpr std::uint32_t kMaxServiceFileBytes = 4U << 20U;

/// Decodes a duration. It is limited so that it can be converted to nanoseconds
/// and added to a time point without overflow.
Micros
ToMicros(std::uint64_t aTime)
{
  return Micros(std::min<std::uint64_t>(aTime, INT64_MAX / 4000));
}

CallId
FromWire(const fb::Id& aId)
{
  return { aId.sender(), aId.sequence() };
}

std::vector<HeaderField>
DecodeHeaders(const Headers* aHeaders)
{
  std::vector<HeaderField> fields;
  if (aHeaders != nullptr) {
    fields.reserve(aHeaders->size());
    for (const fb::Header* field : *aHeaders) {
      fields.push_back({ field->name()->str(), field->value()->str() });
    }
  }
  return fields;
}

std::string
DecodeBytes(const Bytes* aBytes)
{
  if (aBytes == nullptr) {
    return {};
  }
  return { reinterpret_cast<const char*>(aBytes->data()), aBytes->size() };
}

std::optional<LoadReport>
DecodeLoad(const fb::Load* aLoad)
{
  if (aLoad == nullptr) {
    return std::nullopt;
  }
  return LoadReport{
    aLoad->running(), aLoad->queued(), aLoad->slots(), aLoad->slowness()
  };
}

std::string
StringOrEmpty(const flatbuffers::String* aString)
{
  return aString == nullptr ? std::string() : aString->str();
}

Result<PeerMessage>
Decode(const fb::BurnReport& aReport)
{
  BurnReportMessage message;
  message.report = {
    aReport.reporter(), aReport.sequence(), aReport.generation(), {}
  };
  if (aReport.services() == nullptr) {
    return PeerMessage(std::move(message));
  }
  for (const fb::ServiceCounts* counts : *aReport.services()) {
    ServiceCounts decoded;
    decoded.service = counts->service()->str();
    decoded.measuringBytes = counts->measuring_bytes();
    if (counts->calls() == nullptr ||
        counts->calls()->size() != kCallClassCount) {
      return Error{ ErrorKind::BadMessage,
                    "unexpected number of call classes",
                    "" };
    }
    std::ranges::copy(*counts->calls(), decoded.calls.begin());
    message.report.services.push_back(std::move(decoded));
  }
  return PeerMessage(std::move(message));
}

/// Whether the body of a call or an answer is copied from the frame.
enum class BodyCopy : std::uint8_t
{
  Copy,
  LeaveOut,
};

Result<PeerMessage>
Decode(const fb::Call& aCall, BodyCopy aBody)
{
  CallMessage message;
  message.id = FromWire(*aCall.id());
  message.request = { aCall.service()->str(),
                      aCall.method()->str(),
                      aCall.target()->str(),
                      DecodeHeaders(aCall.headers()),
                      DecodeBytes(aBody == BodyCopy::Copy ? aCall.body()
                                                          : nullptr) };
  message.remaining = ToMicros(aCall.remaining_us());
  message.idempotent = aCall.idempotent();
  message.priority = aCall.priority();
  message.objective = Micros(aCall.objective_us());
  message.work = ToMicros(aCall.work_us());
  message.alternative = ToMicros(aCall.alternative_us());
  message.traced = aCall.traced();
  message.answerBytes = aCall.answer_bytes();
  if (std::isfinite(aCall.target_limit()) && aCall.target_limit() >= 0) {
    message.targetLimit = aCall.target_limit();
  }
  message.workspace = aCall.workspace();
  return PeerMessage(std::move(message));
}

Result<PeerMessage>
Decode(const fb::Answer& aAnswer, BodyCopy aBody)
{
  return PeerMessage(AnswerMessage{
    FromWire(*aAnswer.id()),
    { aAnswer.status(),
      DecodeHeaders(aAnswer.headers()),
      DecodeBytes(aBody == BodyCopy::Copy ? aAnswer.body() : nullptr) },
    DecodeLoad(aAnswer.load()),
    ToMicros(aAnswer.work_us()),
    ToMicros(aAnswer.held_us()) });
}

Result<PeerMessage>
Decode(const fb::Refusal& aRefusal)
{
  if (aRefusal.reason() > static_cast<std::uint8_t>(kLastRefusalReason)) {
    return Error{ ErrorKind::BadMessage, "unknown refusal reason", "" };
  }
  const auto reason = static_cast<RefusalReason>(aRefusal.reason());
  return PeerMessage(RefusalMessage{ FromWire(*aRefusal.id()),
                                     { reason,
                                       StringOrEmpty(aRefusal.detail()),
                                       aRefusal.retried(),
                                       ToMicros(aRefusal.retry_after_us()) },
                                     DecodeLoad(aRefusal.load()) });
}

Result<PeerMessage>
Decode(const fb::ConfigReply& aReply)
{
  ConfigReplyMessage message;
  message.delta.base = aReply.base();
  message.delta.generation = aReply.generation();
  message.delta.digest = aReply.digest();
  if (aReply.entries() != nullptr) {
    for (const fb::ConfigEntry* entry : *aReply.entries()) {
      message.delta.entries.push_back({ entry->name()->str(),
                                        entry->revision(),
                                        entry->hash()->str(),
                                        entry->generation() });
      if (entry->size() > kMaxServiceFileBytes) {
        return Error{ ErrorKind::TooLarge,
                      "service file exceeds the maximum size",
                      "" };
      }
      std::string compressed = DecodeBytes(entry->deflated());
      auto text = Inflate(compressed, entry->size());
      if (!Succeeded(text)) {
        return Failure(text);
      }
      if (ContentHash(Value(text)) == message.delta.entries.back().hash) {
        CacheCompressedText(message.delta.entries.back().hash,
                            std::move(compressed));
      }
      message.delta.texts.push_back(std::move(Value(text)));
    }
  }
  return PeerMessage(std::move(message));
}

Result<PeerMessage>
Decode(const fb::MemberList& aList)
{
  const auto* bytes = aList.gossip();
  flatbuffers::Verifier verifier(bytes->data(), bytes->size());
  if (bytes->size() < 2 * sizeof(std::uint32_t) ||
      !fb::VerifyGossipBuffer(verifier)) {
    return Error{ ErrorKind::BadMessage, "not a member list", "" };
  }
  MemberListMessage message;
  const fb::Gossip& gossip = *fb::GetGossip(bytes->data());
  if (gossip.news() != nullptr) {
    for (const fb::Member* member : *gossip.news()) {
      auto record = DecodeMember(*member);
      if (!Succeeded(record)) {
        return Failure(record);
      }
      message.members.push_back(std::move(Value(record)));
    }
  }
  return PeerMessage(std::move(message));
}

Result<PeerMessage>
DecodeBody(const fb::Envelope& aEnvelope, BodyCopy aBody)
{
  switch (aEnvelope.body_type()) {
    case fb::Body::Hello: {
      const fb::Hello& hello = *aEnvelope.body_as_Hello();
      return PeerMessage(HelloMessage{
        hello.sender(), hello.connection(), StringOrEmpty(hello.region()) });
    }
    case fb::Body::Welcome:
      return PeerMessage(
        WelcomeMessage{ aEnvelope.body_as_Welcome()->incarnation() });
    case fb::Body::Call:
      return Decode(*aEnvelope.body_as_Call(), aBody);
    case fb::Body::Answer:
      return Decode(*aEnvelope.body_as_Answer(), aBody);
    case fb::Body::Refusal:
      return Decode(*aEnvelope.body_as_Refusal());
    case fb::Body::Lost:
      return PeerMessage(
        OutcomeUnknownMessage{ FromWire(*aEnvelope.body_as_Lost()->id()) });
    case fb::Body::Running:
      return PeerMessage(
        RunningMessage{ FromWire(*aEnvelope.body_as_Running()->id()) });
    case fb::Body::Ask: {
      const fb::Ask& ask = *aEnvelope.body_as_Ask();
      return PeerMessage(
        OutcomeQueryMessage{ FromWire(*ask.id()), ask.sent_on() });
    }
    case fb::Body::Release:
      return PeerMessage(
        ReleaseMessage{ FromWire(*aEnvelope.body_as_Release()->id()) });
    case fb::Body::Cancel:
      return PeerMessage(
        CancelMessage{ FromWire(*aEnvelope.body_as_Cancel()->id()),
                       aEnvelope.body_as_Cancel()->waiting_only() });
    case fb::Body::Heartbeat:
      return PeerMessage(
        HeartbeatMessage{ aEnvelope.body_as_Heartbeat()->reply() });
    case fb::Body::ConfigRequest:
      return PeerMessage(ConfigRequestMessage{
        aEnvelope.body_as_ConfigRequest()->generation() });
    case fb::Body::ConfigReply:
      return Decode(*aEnvelope.body_as_ConfigReply());
    case fb::Body::TableRequest: {
      TableRequestMessage message;
      if (const auto* digests = aEnvelope.body_as_TableRequest()->digests()) {
        message.digests.assign(digests->begin(), digests->end());
      }
      return PeerMessage(std::move(message));
    }
    case fb::Body::MemberList:
      return Decode(*aEnvelope.body_as_MemberList());
    case fb::Body::BurnReport:
      return Decode(*aEnvelope.body_as_BurnReport());
    case fb::Body::BurnAck:
      return PeerMessage(
        BurnAckMessage{ aEnvelope.body_as_BurnAck()->sequence() });
    case fb::Body::LoadNews:
      return PeerMessage(
        LoadUpdateMessage{ *DecodeLoad(aEnvelope.body_as_LoadNews()->load()) });
    case fb::Body::NONE:
      break;
  }
  return Error{ ErrorKind::BadMessage, "unknown message type", "" };
}

}

Result<std::size_t>
FrameLength(std::span<const std::uint8_t, kFrameHeaderBytes> aHeader)
{
  std::uint32_t length = 0;
  std::memcpy(&length, aHeader.data(), sizeof length);
  length = flatbuffers::EndianScalar(length);
  if (length > kMaxFrameBytes) {
    return Error{ ErrorKind::TooLarge, "frame exceeds the maximum size", "" };
  }
  return std::size_t{ length };
}

namespace {

Result<PeerMessage>
VerifyAndDecode(std::span<const std::uint8_t> aFrame, BodyCopy aBody)
{
  flatbuffers::Verifier verifier(aFrame.data(), aFrame.size());
  if (aFrame.size() < sizeof(std::uint32_t) ||
      !fb::VerifyEnvelopeBuffer(verifier)) {
    return Error{ ErrorKind::BadMessage, "not a valid peer message", "" };
  }
  return DecodeBody(*fb::GetEnvelope(aFrame.data()), aBody);
}

/// Reads parts of a FlatBuffer whose end is missing.
class FrontReader
{
public:
  explicit FrontReader(std::span<const std::uint8_t> aFront)
    : front(aFront)
  {
  }

  /// Reads a number; nothing if it is not in the front.
  template<class T>
  std::optional<T> Read(std::size_t aPosition) const
  {
    if (aPosition > this->front.size() ||
        this->front.size() - aPosition < sizeof(T)) {
      return std::nullopt;
    }
    return flatbuffers::ReadScalar<T>(this->front.data() + aPosition);
  }

  /// Returns the position that a reference leads to.
  std::optional<std::size_t> Follow(std::optional<std::size_t> aReference) const
  {
    const auto offset =
      aReference ? this->Read<std::uint32_t>(*aReference) : std::nullopt;
    return offset ? std::optional(*aReference + *offset) : std::nullopt;
  }

  /// Returns the position of a table's field; nothing if it is not set.
  std::optional<std::size_t> Field(std::optional<std::size_t> aTable,
                                   std::uint16_t aField) const
  {
    const auto distance =
      aTable ? this->Read<std::int32_t>(*aTable) : std::nullopt;
    if (!distance) {
      return std::nullopt;
    }
    const std::int64_t entries = static_cast<std::int64_t>(*aTable) - *distance;
    if (entries < 0) {
      return std::nullopt;
    }
    const auto start = static_cast<std::size_t>(entries);
    const auto size = this->Read<std::uint16_t>(start);
    if (!size || aField + sizeof(std::uint16_t) > *size) {
      return std::nullopt;
    }
    const auto offset = this->Read<std::uint16_t>(start + aField);
    return offset && *offset != 0 ? std::optional(*aTable + *offset)
                                  : std::nullopt;
  }

private:
  std::span<const std::uint8_t> front;
};

}

std::optional<FrameBody>
FindFrameBody(std::span<const std::uint8_t> aFront)
{
  const FrontReader reader(aFront);
  const auto envelope = reader.Follow(0);
  const auto type = reader.Field(envelope, fb::Envelope::VT_BODY_TYPE);
  const auto message =
    reader.Follow(reader.Field(envelope, fb::Envelope::VT_BODY));
  const auto kind = type ? reader.Read<std::uint8_t>(*type) : std::nullopt;
  if (!kind) {
    return std::nullopt;
  }
  const bool answer = *kind == static_cast<std::uint8_t>(fb::Body::Answer);
  if (!answer && *kind != static_cast<std::uint8_t>(fb::Body::Call)) {
    return std::nullopt;
  }
  constexpr std::uint16_t kAnswerBody = fb::Answer::VT_BODY;
  constexpr std::uint16_t kCallBody = fb::Call::VT_BODY;
  const auto body =
    reader.Follow(reader.Field(message, answer ? kAnswerBody : kCallBody));
  const auto size = body ? reader.Read<std::uint32_t>(*body) : std::nullopt;
  if (!size) {
    return std::nullopt;
  }
  return FrameBody{ answer, *body + sizeof(std::uint32_t), *size };
}

void
RemoveFrameBody(std::string& aFront, const FrameBody& aBody)
{
  aFront.resize(aBody.position);
  std::fill_n(aFront.end() - sizeof(std::uint32_t), sizeof(std::uint32_t), 0);
}

Result<PeerMessage>
DecodeFrame(std::span<const std::uint8_t> aFrame)
{
  return VerifyAndDecode(aFrame, BodyCopy::Copy);
}

Result<PeerMessage>
DecodeLargeFrame(std::string aFrame)
{
  const std::span bytes(reinterpret_cast<const std::uint8_t*>(aFrame.data()),
                        aFrame.size());
  const auto body = FindFrameBody(bytes);
  auto message =
    VerifyAndDecode(bytes, body ? BodyCopy::LeaveOut : BodyCopy::Copy);
  if (!body || !Succeeded(message)) {
    return message;
  }
  aFrame.resize(body->position + body->size);
  aFrame.erase(0, body->position);
  if (auto* call = std::get_if<CallMessage>(&Value(message))) {
    call->request.body = std::move(aFrame);
  } else if (auto* answer = std::get_if<AnswerMessage>(&Value(message))) {
    answer->response.body = std::move(aFrame);
  }
  return message;
}

}
