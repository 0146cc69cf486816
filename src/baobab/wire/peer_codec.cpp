#include "baobab/wire/peer_codec.hpp"

#include "deflate.hpp"
#include "generated/peer_generated.h"
#include "member_codec.hpp"
#include "packed_texts.hpp"

#include <algorithm>
#include <cstring>

namespace baobab {
namespace {

namespace fb = wire::fb;

using Builder = flatbuffers::FlatBufferBuilder;
using Headers = flatbuffers::Vector<flatbuffers::Offset<fb::Header>>;
using Bytes = flatbuffers::Vector<std::uint8_t>;

/// Bounds the memory that a damaged message can ask for.
constexpr std::uint32_t kLargestServiceFile = 4U << 20U;

/// A message inside its union.
struct Encoded
{
  fb::Body type;
  flatbuffers::Offset<void> offset;
};

/// A duration on the wire; a negative one has passed and counts as none.
std::uint64_t
Unsigned(Micros aTime)
{
  return static_cast<std::uint64_t>(std::max<std::int64_t>(0, aTime.count()));
}

Micros
ToMicros(std::uint64_t aTime)
{
  return Micros(std::min<std::uint64_t>(aTime, INT64_MAX / 4000));
}

fb::Id
ToWire(const CallId& aId)
{
  return { aId.sender, aId.sequence };
}

CallId
FromWire(const fb::Id& aId)
{
  return { aId.sender(), aId.sequence() };
}

flatbuffers::Offset<Headers>
EncodeHeaders(Builder& aBuilder, const std::vector<HeaderField>& aHeaders)
{
  std::vector<flatbuffers::Offset<fb::Header>> fields;
  fields.reserve(aHeaders.size());
  for (const HeaderField& field : aHeaders) {
    const auto name = aBuilder.CreateString(field.name);
    const auto value = aBuilder.CreateString(field.value);
    fields.push_back(fb::CreateHeader(aBuilder, name, value));
  }
  return aBuilder.CreateVector(fields);
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

flatbuffers::Offset<Bytes>
EncodeBytes(Builder& aBuilder, const std::string& aText)
{
  return aBuilder.CreateVector(
    reinterpret_cast<const std::uint8_t*>(aText.data()), aText.size());
}

std::string
DecodeBytes(const Bytes* aBytes)
{
  if (aBytes == nullptr) {
    return {};
  }
  return { reinterpret_cast<const char*>(aBytes->data()), aBytes->size() };
}

/// Points to the load on the wire, or to nothing if there is none.
class WireLoad
{
public:
  explicit WireLoad(const std::optional<LoadReport>& aLoad)
  {
    if (aLoad) {
      this->load =
        fb::Load(aLoad->running, aLoad->queued, aLoad->slots, aLoad->slowness);
      this->present = true;
    }
  }

  const fb::Load* Get() const { return this->present ? &this->load : nullptr; }

private:
  fb::Load load;
  bool present = false;
};

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

Encoded
Encode(Builder& aBuilder, const HelloMessage& aMessage)
{
  const auto region = aBuilder.CreateString(aMessage.region);
  return { fb::Body::Hello,
           fb::CreateHello(
             aBuilder, aMessage.sender, aMessage.connection, region)
             .Union() };
}

Encoded
Encode(Builder& aBuilder, const WelcomeMessage& aMessage)
{
  return { fb::Body::Welcome,
           fb::CreateWelcome(aBuilder, aMessage.incarnation).Union() };
}

Encoded
Encode(Builder& aBuilder, const CallMessage& aMessage)
{
  const Request& request = aMessage.request;
  const fb::Id id = ToWire(aMessage.id);
  const auto service = aBuilder.CreateString(request.service);
  const auto method = aBuilder.CreateString(request.method);
  const auto target = aBuilder.CreateString(request.target);
  const auto headers = EncodeHeaders(aBuilder, request.headers);
  const auto body = EncodeBytes(aBuilder, request.body);
  const auto remaining = Unsigned(aMessage.remaining);
  return { fb::Body::Call,
           fb::CreateCall(aBuilder,
                          &id,
                          service,
                          method,
                          target,
                          headers,
                          body,
                          remaining,
                          aMessage.idempotent,
                          aMessage.priority,
                          aMessage.objective.count(),
                          Unsigned(aMessage.work),
                          Unsigned(aMessage.alternative),
                          aMessage.traced)
             .Union() };
}

Encoded
Encode(Builder& aBuilder, const AnswerMessage& aMessage)
{
  const fb::Id id = ToWire(aMessage.id);
  const WireLoad load(aMessage.load);
  const auto headers = EncodeHeaders(aBuilder, aMessage.response.headers);
  const auto body = EncodeBytes(aBuilder, aMessage.response.body);
  return { fb::Body::Answer,
           fb::CreateAnswer(
             aBuilder,
             &id,
             static_cast<std::uint16_t>(aMessage.response.status),
             headers,
             body,
             load.Get(),
             Unsigned(aMessage.work),
             Unsigned(aMessage.held))
             .Union() };
}

Encoded
Encode(Builder& aBuilder, const RefusalMessage& aMessage)
{
  const fb::Id id = ToWire(aMessage.id);
  const WireLoad load(aMessage.load);
  const auto detail = aBuilder.CreateString(aMessage.refusal.detail);
  return { fb::Body::Refusal,
           fb::CreateRefusal(aBuilder,
                             &id,
                             static_cast<std::uint8_t>(aMessage.refusal.reason),
                             detail,
                             aMessage.refusal.retried,
                             load.Get(),
                             Unsigned(aMessage.refusal.retryAfter))
             .Union() };
}

Encoded
Encode(Builder& aBuilder, const LostMessage& aMessage)
{
  const fb::Id id = ToWire(aMessage.id);
  return { fb::Body::Lost, fb::CreateLost(aBuilder, &id).Union() };
}

Encoded
Encode(Builder& aBuilder, const RunningMessage& aMessage)
{
  const fb::Id id = ToWire(aMessage.id);
  return { fb::Body::Running, fb::CreateRunning(aBuilder, &id).Union() };
}

Encoded
Encode(Builder& aBuilder, const AskMessage& aMessage)
{
  const fb::Id id = ToWire(aMessage.id);
  return { fb::Body::Ask,
           fb::CreateAsk(aBuilder, &id, aMessage.sentOn).Union() };
}

Encoded
Encode(Builder& aBuilder, const ReleaseMessage& aMessage)
{
  const fb::Id id = ToWire(aMessage.id);
  return { fb::Body::Release, fb::CreateRelease(aBuilder, &id).Union() };
}

Encoded
Encode(Builder& aBuilder, const CancelMessage& aMessage)
{
  const fb::Id id = ToWire(aMessage.id);
  return { fb::Body::Cancel,
           fb::CreateCancel(aBuilder, &id, aMessage.waitingOnly).Union() };
}

Encoded
Encode(Builder& aBuilder, const HeartbeatMessage& aMessage)
{
  return { fb::Body::Heartbeat,
           fb::CreateHeartbeat(aBuilder, aMessage.reply).Union() };
}

Encoded
Encode(Builder& aBuilder, const ConfigRequestMessage& aMessage)
{
  return { fb::Body::ConfigRequest,
           fb::CreateConfigRequest(aBuilder, aMessage.generation).Union() };
}

Encoded
Encode(Builder& aBuilder, const ConfigReplyMessage& aMessage)
{
  const ConfigDelta& delta = aMessage.delta;
  std::vector<flatbuffers::Offset<fb::ConfigEntry>> entries;
  for (std::size_t i = 0; i < delta.entries.size(); ++i) {
    const ManifestEntry& entry = delta.entries[i];
    const auto name = aBuilder.CreateString(entry.name);
    const auto hash = aBuilder.CreateString(entry.hash);
    const auto size = static_cast<std::uint32_t>(delta.texts[i].size());
    const auto deflated = EncodeBytes(aBuilder, PackedText(entry.hash, delta.texts[i]));
    entries.push_back(fb::CreateConfigEntry(
      aBuilder, name, entry.revision, hash, entry.generation, size, deflated));
  }
  const auto list = aBuilder.CreateVector(entries);
  return { fb::Body::ConfigReply,
           fb::CreateConfigReply(
             aBuilder, delta.base, delta.generation, delta.digest, list)
             .Union() };
}

Encoded
Encode(Builder& aBuilder, const TableRequestMessage& aMessage)
{
  const auto digests = aBuilder.CreateVector(aMessage.digests);
  return { fb::Body::TableRequest,
           fb::CreateTableRequest(aBuilder, digests).Union() };
}

Encoded
Encode(Builder& aBuilder, const MemberListMessage& aMessage)
{
  Builder list;
  std::vector<flatbuffers::Offset<fb::Member>> members;
  for (const MemberRecord& record : aMessage.members) {
    members.push_back(EncodeMember(list, record));
  }
  const auto sender = fb::CreateMember(list);
  const auto news = list.CreateVector(members);
  fb::GossipBuilder gossip(list);
  gossip.add_sender(sender);
  gossip.add_news(news);
  list.Finish(gossip.Finish(), fb::GossipIdentifier());
  aBuilder.ForceVectorAlignment(
    list.GetSize(), sizeof(std::uint8_t), sizeof(std::uint64_t));
  const auto bytes =
    aBuilder.CreateVector(list.GetBufferPointer(), list.GetSize());
  return { fb::Body::MemberList,
           fb::CreateMemberList(aBuilder, bytes).Union() };
}

std::string
TextOf(const flatbuffers::String* aText)
{
  return aText == nullptr ? std::string() : aText->str();
}

Encoded
Encode(Builder& aBuilder, const BurnReportMessage& aMessage)
{
  const BurnReport& report = aMessage.report;
  std::vector<flatbuffers::Offset<fb::ServiceCounts>> services;
  for (const ServiceCounts& counts : report.services) {
    const auto name = aBuilder.CreateString(counts.service);
    const auto calls =
      aBuilder.CreateVector(counts.calls.data(), counts.calls.size());
    services.push_back(
      fb::CreateServiceCounts(aBuilder, name, calls, counts.measuringBytes));
  }
  const auto list = aBuilder.CreateVector(services);
  return {
    fb::Body::BurnReport,
    fb::CreateBurnReport(
      aBuilder, report.reporter, report.sequence, report.generation, list)
      .Union()
  };
}

Encoded
Encode(Builder& aBuilder, const BurnAckMessage& aMessage)
{
  return { fb::Body::BurnAck,
           fb::CreateBurnAck(aBuilder, aMessage.sequence).Union() };
}

Encoded
Encode(Builder& aBuilder, const LoadNewsMessage& aMessage)
{
  const WireLoad load(aMessage.load);
  return { fb::Body::LoadNews,
           fb::CreateLoadNews(aBuilder, load.Get()).Union() };
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
    ServiceCounts read;
    read.service = counts->service()->str();
    read.measuringBytes = counts->measuring_bytes();
    if (counts->calls() == nullptr || counts->calls()->size() != kCallClasses) {
      return Error{ ErrorKind::BadMessage, "counts of other classes", "" };
    }
    std::ranges::copy(*counts->calls(), read.calls.begin());
    message.report.services.push_back(std::move(read));
  }
  return PeerMessage(std::move(message));
}

Result<PeerMessage>
Decode(const fb::Call& aCall)
{
  CallMessage message;
  message.id = FromWire(*aCall.id());
  message.request = { aCall.service()->str(),
                      aCall.method()->str(),
                      aCall.target()->str(),
                      DecodeHeaders(aCall.headers()),
                      DecodeBytes(aCall.body()) };
  message.remaining = ToMicros(aCall.remaining_us());
  message.idempotent = aCall.idempotent();
  message.priority = aCall.priority();
  message.objective = Micros(aCall.objective_us());
  message.work = ToMicros(aCall.work_us());
  message.alternative = ToMicros(aCall.alternative_us());
  message.traced = aCall.traced();
  return PeerMessage(std::move(message));
}

Result<PeerMessage>
Decode(const fb::Answer& aAnswer)
{
  return PeerMessage(AnswerMessage{ FromWire(*aAnswer.id()),
                                    { aAnswer.status(),
                                      DecodeHeaders(aAnswer.headers()),
                                      DecodeBytes(aAnswer.body()) },
                                    DecodeLoad(aAnswer.load()),
                                    ToMicros(aAnswer.work_us()),
                                    ToMicros(aAnswer.held_us()) });
}

Result<PeerMessage>
Decode(const fb::Refusal& aRefusal)
{
  if (aRefusal.reason() > static_cast<std::uint8_t>(kLastRefusalReason)) {
    return Error{ ErrorKind::BadMessage, "unknown reason of a refusal", "" };
  }
  const auto reason = static_cast<RefusalReason>(aRefusal.reason());
  return PeerMessage(RefusalMessage{ FromWire(*aRefusal.id()),
                                     { reason,
                                       TextOf(aRefusal.detail()),
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
      if (entry->size() > kLargestServiceFile) {
        return Error{ ErrorKind::TooLarge, "service file is too large", "" };
      }
      std::string packed = DecodeBytes(entry->deflated());
      auto text = Inflate(packed, entry->size());
      if (!Succeeded(text)) {
        return Failure(text);
      }
      if (ContentHash(Value(text)) == message.delta.entries.back().hash) {
        RememberPacked(message.delta.entries.back().hash, std::move(packed));
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
DecodeBody(const fb::Envelope& aEnvelope)
{
  switch (aEnvelope.body_type()) {
    case fb::Body::Hello: {
      const fb::Hello& hello = *aEnvelope.body_as_Hello();
      return PeerMessage(HelloMessage{
        hello.sender(), hello.connection(), TextOf(hello.region()) });
    }
    case fb::Body::Welcome:
      return PeerMessage(
        WelcomeMessage{ aEnvelope.body_as_Welcome()->incarnation() });
    case fb::Body::Call:
      return Decode(*aEnvelope.body_as_Call());
    case fb::Body::Answer:
      return Decode(*aEnvelope.body_as_Answer());
    case fb::Body::Refusal:
      return Decode(*aEnvelope.body_as_Refusal());
    case fb::Body::Lost:
      return PeerMessage(
        LostMessage{ FromWire(*aEnvelope.body_as_Lost()->id()) });
    case fb::Body::Running:
      return PeerMessage(
        RunningMessage{ FromWire(*aEnvelope.body_as_Running()->id()) });
    case fb::Body::Ask: {
      const fb::Ask& ask = *aEnvelope.body_as_Ask();
      return PeerMessage(AskMessage{ FromWire(*ask.id()), ask.sent_on() });
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
        LoadNewsMessage{ *DecodeLoad(aEnvelope.body_as_LoadNews()->load()) });
    case fb::Body::NONE:
      break;
  }
  return Error{ ErrorKind::BadMessage, "unknown kind of message", "" };
}

}

void
AppendFrame(const PeerMessage& aMessage, std::string& aBuffer)
{
  thread_local Builder builder(4096);
  builder.Clear();
  const Encoded encoded = std::visit(
    [&](const auto& aBody) { return Encode(builder, aBody); }, aMessage);
  builder.Finish(fb::CreateEnvelope(builder, encoded.type, encoded.offset));
  const std::uint32_t length =
    flatbuffers::EndianScalar(static_cast<std::uint32_t>(builder.GetSize()));
  aBuffer.append(reinterpret_cast<const char*>(&length), sizeof length);
  aBuffer.append(reinterpret_cast<const char*>(builder.GetBufferPointer()),
                 builder.GetSize());
}

Result<std::size_t>
FrameLength(std::span<const std::uint8_t, kFrameHeaderBytes> aHeader)
{
  std::uint32_t length = 0;
  std::memcpy(&length, aHeader.data(), sizeof length);
  length = flatbuffers::EndianScalar(length);
  if (length > kLargestFrame) {
    return Error{ ErrorKind::TooLarge, "frame is too large", "" };
  }
  return std::size_t{ length };
}

Result<PeerMessage>
DecodeFrame(std::span<const std::uint8_t> aFrame)
{
  flatbuffers::Verifier verifier(aFrame.data(), aFrame.size());
  if (aFrame.size() < sizeof(std::uint32_t) ||
      !fb::VerifyEnvelopeBuffer(verifier)) {
    return Error{ ErrorKind::BadMessage, "not a message of this protocol", "" };
  }
  return DecodeBody(*fb::GetEnvelope(aFrame.data()));
}

}
