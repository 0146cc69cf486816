#include "baobab/wire/peer_codec.hpp"

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

/// An encoded message, as a member of the union fb::Body.
struct EncodedBody
{
  fb::Body type;
  flatbuffers::Offset<void> offset;
};

/// Encodes a duration; a negative one, which has already passed, becomes 0.
std::uint64_t
ToWireMicros(Micros aTime)
{
  return static_cast<std::uint64_t>(std::max<std::int64_t>(0, aTime.count()));
}

fb::Id
ToWire(const CallId& aId)
{
  return { aId.sender, aId.sequence };
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

flatbuffers::Offset<Bytes>
EncodeBytes(Builder& aBuilder, const std::string& aText)
{
  return aBuilder.CreateVector(
    reinterpret_cast<const std::uint8_t*>(aText.data()), aText.size());
}

/// Holds the encoded form of an optional load report.
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

  /// Returns the encoded load, or a null pointer if there is none.
  const fb::Load* Get() const { return this->present ? &this->load : nullptr; }

private:
  fb::Load load;
  bool present = false;
};

EncodedBody
Encode(Builder& aBuilder, const HelloMessage& aMessage)
{
  const auto region = aBuilder.CreateString(aMessage.region);
  return { fb::Body::Hello,
           fb::CreateHello(
             aBuilder, aMessage.sender, aMessage.connection, region)
             .Union() };
}

EncodedBody
Encode(Builder& aBuilder, const WelcomeMessage& aMessage)
{
  return { fb::Body::Welcome,
           fb::CreateWelcome(aBuilder, aMessage.incarnation).Union() };
}

EncodedBody
Encode(Builder& aBuilder, const CallMessage& aMessage)
{
  const Request& request = aMessage.request;
  const fb::Id id = ToWire(aMessage.id);
  // The first object ends the frame, so that the bytes of a body can follow.
  const auto body = EncodeBytes(aBuilder, request.body);
  const auto service = aBuilder.CreateString(request.service);
  const auto method = aBuilder.CreateString(request.method);
  const auto target = aBuilder.CreateString(request.target);
  const auto headers = EncodeHeaders(aBuilder, request.headers);
  const auto remaining = ToWireMicros(aMessage.remaining);
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
                          ToWireMicros(aMessage.work),
                          ToWireMicros(aMessage.alternative),
                          aMessage.traced,
                          aMessage.answerBytes,
                          aMessage.targetLimit.value_or(-1),
                          aMessage.workspace)
             .Union() };
}

EncodedBody
Encode(Builder& aBuilder, const AnswerMessage& aMessage)
{
  const fb::Id id = ToWire(aMessage.id);
  const WireLoad load(aMessage.load);
  // The first object ends the frame, so that the bytes of a body can follow.
  const auto body = EncodeBytes(aBuilder, aMessage.response.body);
  const auto headers = EncodeHeaders(aBuilder, aMessage.response.headers);
  return { fb::Body::Answer,
           fb::CreateAnswer(
             aBuilder,
             &id,
             static_cast<std::uint16_t>(aMessage.response.status),
             headers,
             body,
             load.Get(),
             ToWireMicros(aMessage.work),
             ToWireMicros(aMessage.held))
             .Union() };
}

EncodedBody
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
                             ToWireMicros(aMessage.refusal.retryAfter))
             .Union() };
}

EncodedBody
Encode(Builder& aBuilder, const OutcomeUnknownMessage& aMessage)
{
  const fb::Id id = ToWire(aMessage.id);
  return { fb::Body::Lost, fb::CreateLost(aBuilder, &id).Union() };
}

EncodedBody
Encode(Builder& aBuilder, const RunningMessage& aMessage)
{
  const fb::Id id = ToWire(aMessage.id);
  return { fb::Body::Running, fb::CreateRunning(aBuilder, &id).Union() };
}

EncodedBody
Encode(Builder& aBuilder, const OutcomeQueryMessage& aMessage)
{
  const fb::Id id = ToWire(aMessage.id);
  return { fb::Body::Ask,
           fb::CreateAsk(aBuilder, &id, aMessage.sentOn).Union() };
}

EncodedBody
Encode(Builder& aBuilder, const ReleaseMessage& aMessage)
{
  const fb::Id id = ToWire(aMessage.id);
  return { fb::Body::Release, fb::CreateRelease(aBuilder, &id).Union() };
}

EncodedBody
Encode(Builder& aBuilder, const CancelMessage& aMessage)
{
  const fb::Id id = ToWire(aMessage.id);
  return { fb::Body::Cancel,
           fb::CreateCancel(aBuilder, &id, aMessage.waitingOnly).Union() };
}

EncodedBody
Encode(Builder& aBuilder, const HeartbeatMessage& aMessage)
{
  return { fb::Body::Heartbeat,
           fb::CreateHeartbeat(aBuilder, aMessage.reply).Union() };
}

EncodedBody
Encode(Builder& aBuilder, const ConfigRequestMessage& aMessage)
{
  return { fb::Body::ConfigRequest,
           fb::CreateConfigRequest(aBuilder, aMessage.generation).Union() };
}

EncodedBody
Encode(Builder& aBuilder, const ConfigReplyMessage& aMessage)
{
  const ConfigDelta& delta = aMessage.delta;
  std::vector<flatbuffers::Offset<fb::ConfigEntry>> entries;
  for (std::size_t i = 0; i < delta.entries.size(); ++i) {
    const ManifestEntry& entry = delta.entries[i];
    const auto name = aBuilder.CreateString(entry.name);
    const auto hash = aBuilder.CreateString(entry.hash);
    const auto size = static_cast<std::uint32_t>(delta.texts[i].size());
    const auto deflated =
      EncodeBytes(aBuilder, CompressedText(entry.hash, delta.texts[i]));
    entries.push_back(fb::CreateConfigEntry(
      aBuilder, name, entry.revision, hash, entry.generation, size, deflated));
  }
  const auto list = aBuilder.CreateVector(entries);
  return { fb::Body::ConfigReply,
           fb::CreateConfigReply(
             aBuilder, delta.base, delta.generation, delta.digest, list)
             .Union() };
}

EncodedBody
Encode(Builder& aBuilder, const TableRequestMessage& aMessage)
{
  const auto digests = aBuilder.CreateVector(aMessage.digests);
  return { fb::Body::TableRequest,
           fb::CreateTableRequest(aBuilder, digests).Union() };
}

EncodedBody
Encode(Builder& aBuilder, const MemberListMessage& aMessage)
{
  Builder list;
  std::vector<flatbuffers::Offset<fb::Member>> members;
  for (const MemberRecord& record : aMessage.members) {
    members.push_back(EncodeMember(list, record));
  }
  // Required by the schema; receivers ignore it.
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

EncodedBody
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

EncodedBody
Encode(Builder& aBuilder, const BurnAckMessage& aMessage)
{
  return { fb::Body::BurnAck,
           fb::CreateBurnAck(aBuilder, aMessage.sequence).Union() };
}

EncodedBody
Encode(Builder& aBuilder, const LoadUpdateMessage& aMessage)
{
  const WireLoad load(aMessage.load);
  return { fb::Body::LoadNews,
           fb::CreateLoadNews(aBuilder, load.Get()).Union() };
}

}

void
AppendFrame(const PeerMessage& aMessage,
            std::string& aBuffer,
            std::size_t aBodyBytes)
{
  thread_local Builder builder(4096);
  builder.Clear();
  const EncodedBody encoded = std::visit(
    [&](const auto& aBody) { return Encode(builder, aBody); }, aMessage);
  builder.Finish(fb::CreateEnvelope(builder, encoded.type, encoded.offset));
  const std::uint32_t length = flatbuffers::EndianScalar(
    static_cast<std::uint32_t>(builder.GetSize() + aBodyBytes));
  aBuffer.append(reinterpret_cast<const char*>(&length), sizeof length);
  aBuffer.append(reinterpret_cast<const char*>(builder.GetBufferPointer()),
                 builder.GetSize());
  if (aBodyBytes > 0) {
    const std::uint32_t size =
      flatbuffers::EndianScalar(static_cast<std::uint32_t>(aBodyBytes));
    std::memcpy(
      aBuffer.data() + aBuffer.size() - sizeof size, &size, sizeof size);
  }
}

}
