#include "baobab/core/random.hpp"
#include "baobab/wire/deflate.hpp"
#include "baobab/wire/gossip_codec.hpp"
#include "baobab/wire/peer_codec.hpp"

#include <boost/test/unit_test.hpp>
#include <cstring>

namespace baobab {
namespace {

constexpr int kMutations = 20000;

/// Copy of some bytes, aligned to 8 bytes as DecodeFrame requires.
class AlignedBytes
{
public:
  explicit AlignedBytes(std::string_view aBytes)
    : words(aBytes.size() / sizeof(std::uint64_t) + 1)
    , size(aBytes.size())
  {
    std::memcpy(this->words.data(), aBytes.data(), aBytes.size());
  }

  std::span<const std::uint8_t> Span() const
  {
    return { reinterpret_cast<const std::uint8_t*>(this->words.data()),
             this->size };
  }

private:
  std::vector<std::uint64_t> words;
  std::size_t size;
};

GossipMessage
SampleGossip()
{
  GossipMessage message;
  message.kind = GossipKind::PingRequest;
  message.nonce = 5;
  message.generation = 9;
  message.confirmation = ConfirmationAge{ 70ms, "1234" };
  message.digest = 77;
  message.suspicionDigest = 88;
  message.sender = {
    { 0x7f000001, 7100 }, 3, MemberState::Alive, { "perth", "north" }, "q",
    TargetState::Ready,   20
  };
  message.subject = Endpoint{ 0x7f000002, 7100 };
  message.updates = { message.sender, message.sender };
  message.suspicions = { { 1, 2, 0.5, true, 3s } };
  message.contacts = { { "perth", 20ms } };
  message.evacuated = EvacuatedZones{ 41, { "north", "south" }, 3 };
  return message;
}

/// Returns a datagram whose texts have a length and whose lists have a number
/// of entries.
GossipMessage
GossipWith(GossipKind aKind,
           std::size_t aTextLength,
           std::size_t aUpdates,
           std::size_t aSuspicions,
           std::size_t aContacts)
{
  GossipMessage message = SampleGossip();
  message.kind = aKind;
  message.sender.locality.region = std::string(aTextLength, 'r');
  message.sender.service = std::string(aTextLength + 1, 's');
  if (aKind != GossipKind::PingRequest) {
    message.subject.reset();
  }
  if (aUpdates == 0) {
    message.confirmation.reset();
    message.evacuated.reset();
  } else {
    message.evacuated->zones.assign(aUpdates, std::string(aTextLength, 'z'));
    message.confirmation->position = std::string(aTextLength, 'p');
  }
  message.updates.assign(aUpdates, message.sender);
  message.contacts.clear();
  for (std::size_t i = 0; i < aContacts; ++i) {
    message.contacts.push_back({ std::string(aTextLength + i, 'c'), 20ms });
  }
  message.suspicions.clear();
  for (std::size_t i = 0; i < aSuspicions; ++i) {
    message.suspicions.push_back({ i, i + 1, 0.25, i % 2 == 0, 3s });
  }
  return message;
}

bool
SameGossip(const GossipMessage& aLeft, const GossipMessage& aRight)
{
  return aLeft.kind == aRight.kind && aLeft.nonce == aRight.nonce &&
         aLeft.generation == aRight.generation &&
         aLeft.confirmation == aRight.confirmation &&
         aLeft.evacuated == aRight.evacuated && aLeft.digest == aRight.digest &&
         aLeft.suspicionDigest == aRight.suspicionDigest &&
         aLeft.sender == aRight.sender && aLeft.subject == aRight.subject &&
         aLeft.updates == aRight.updates && aLeft.contacts == aRight.contacts &&
         aLeft.suspicions == aRight.suspicions;
}

CallMessage
SampleCall()
{
  return { { 1, 2 },
           { "quoting", "POST", "/a?b", { { "Host", "h" } }, "body" },
           Micros(1500),
           true };
}

/// Returns the frame of a message without its length field.
std::string
Payload(const PeerMessage& aMessage)
{
  std::string frame;
  AppendFrame(aMessage, frame);
  return frame.substr(kFrameHeaderBytes);
}

/// Overwrites some bytes and sometimes truncates.
std::string
Mutate(std::string aBytes, SplitMix& aRandom)
{
  const std::size_t changes = 1 + UniformBelow(aRandom, 6);
  for (std::size_t i = 0; i < changes && !aBytes.empty(); ++i) {
    aBytes[UniformBelow(aRandom, aBytes.size())] = static_cast<char>(aRandom());
  }
  if (UniformBelow(aRandom, 4) == 0) {
    aBytes.resize(UniformBelow(aRandom, aBytes.size() + 1));
  }
  return aBytes;
}

}

BOOST_AUTO_TEST_SUITE(codec)

BOOST_AUTO_TEST_CASE(gossip_is_decoded_as_encoded)
{
  const GossipMessage sent = SampleGossip();
  const auto decoded = DecodeGossip(AlignedBytes(EncodeGossip(sent)).Span());
  BOOST_REQUIRE(Succeeded(decoded));
  const GossipMessage& received = Value(decoded);
  BOOST_TEST(received.nonce == sent.nonce);
  BOOST_TEST(received.digest == sent.digest);
  BOOST_TEST((received.sender == sent.sender));
  BOOST_TEST((received.updates == sent.updates));
  BOOST_TEST((received.subject == sent.subject));
  BOOST_TEST((received.contacts == sent.contacts));
  BOOST_TEST((received.confirmation == sent.confirmation));
  BOOST_TEST((received.evacuated == sent.evacuated));
  BOOST_REQUIRE(received.suspicions.size() == 1U);
  BOOST_TEST(received.suspicions[0].cleared);
  BOOST_TEST((received.suspicions[0].remaining == 3s));
}

/// Guards against a refusal of valid datagrams: the elements of an empty vector
/// have no alignment, and most datagrams carry no suspicion.
BOOST_AUTO_TEST_CASE(gossip_with_any_number_of_entries_is_decoded_as_encoded)
{
  constexpr std::size_t kTextLengths = 8;
  constexpr std::array<std::size_t, 3> kCounts = { 0, 1, 5 };
  std::size_t refused = 0;
  std::size_t changed = 0;
  std::size_t total = 0;
  const auto check = [&](const GossipMessage& aSent) {
    ++total;
    const auto decoded = DecodeGossip(AlignedBytes(EncodeGossip(aSent)).Span());
    if (!Succeeded(decoded)) {
      ++refused;
      return;
    }
    changed += SameGossip(Value(decoded), aSent) ? 0 : 1;
  };
  for (std::uint8_t kind = 0;
       kind <= static_cast<std::uint8_t>(GossipKind::Update);
       ++kind) {
    for (std::size_t length = 0; length < kTextLengths; ++length) {
      for (const std::size_t updates : kCounts) {
        for (const std::size_t suspicions : kCounts) {
          for (const std::size_t contacts : kCounts) {
            check(GossipWith(static_cast<GossipKind>(kind),
                             length,
                             updates,
                             suspicions,
                             contacts));
          }
        }
      }
    }
  }
  BOOST_TEST(refused == 0U, refused << " of " << total << " refused");
  BOOST_TEST(changed == 0U);
}

BOOST_AUTO_TEST_CASE(a_call_is_decoded_as_encoded)
{
  const auto decoded = DecodeFrame(AlignedBytes(Payload(SampleCall())).Span());
  BOOST_REQUIRE(Succeeded(decoded));
  const auto* call = std::get_if<CallMessage>(&Value(decoded));
  BOOST_REQUIRE(call != nullptr);
  BOOST_TEST((call->id == SampleCall().id));
  BOOST_TEST((call->request == SampleCall().request));
  BOOST_TEST((call->remaining == 1500us));
  BOOST_TEST(call->idempotent);
}

BOOST_AUTO_TEST_CASE(other_messages_are_decoded_as_encoded)
{
  const RefusalMessage refusal{ { 1, 2 },
                                { RefusalReason::Leaving, "why", true },
                                LoadReport{ 3, 4, 20 } };
  const auto decoded = DecodeFrame(AlignedBytes(Payload(refusal)).Span());
  BOOST_REQUIRE(Succeeded(decoded));
  const auto& received = std::get<RefusalMessage>(Value(decoded));
  BOOST_TEST((received.refusal.reason == RefusalReason::Leaving));
  BOOST_TEST(received.refusal.retried);
  BOOST_TEST((received.load == LoadReport{ 3, 4, 20 }));
  const BurnReportMessage burn{
    { 1, 2, 3, { { "q", { 1, 2, 3, 4, 5 }, 6 } } }
  };
  const auto report = DecodeFrame(AlignedBytes(Payload(burn)).Span());
  BOOST_REQUIRE(Succeeded(report));
  BOOST_TEST(
    (std::get<BurnReportMessage>(Value(report)).report == burn.report));
  const MemberListMessage list{ SampleGossip().updates };
  const auto members = DecodeFrame(AlignedBytes(Payload(list)).Span());
  BOOST_REQUIRE(Succeeded(members));
  BOOST_TEST(
    (std::get<MemberListMessage>(Value(members)).members == list.members));
}

/// Damaged messages must not crash the decoders. The lower bound on rejected
/// messages shows that the mutations do damage them.
BOOST_AUTO_TEST_CASE(mutated_bytes_are_rejected_or_decoded)
{
  SplitMix random(42);
  const std::string gossip = EncodeGossip(SampleGossip());
  const std::vector<std::string> frames = {
    Payload(SampleCall()),
    Payload(AnswerMessage{ { 1, 2 }, { 200, { { "A", "b" } }, "x" }, {} }),
    Payload(MemberListMessage{ SampleGossip().updates }),
    Payload(
      ConfigReplyMessage{ { 1, 2, { { "a", 1, "hash", 2 } }, { "text" } } }),
  };
  std::size_t rejected = 0;
  for (int i = 0; i < kMutations; ++i) {
    rejected +=
      Succeeded(DecodeGossip(AlignedBytes(Mutate(gossip, random)).Span())) ? 0
                                                                           : 1;
    const auto& frame = frames[UniformBelow(random, frames.size())];
    rejected +=
      Succeeded(DecodeFrame(AlignedBytes(Mutate(frame, random)).Span())) ? 0
                                                                         : 1;
  }
  BOOST_TEST(rejected > 1000U);
}

/// The body of a large call is sent from where it is, behind the frame's front.
BOOST_AUTO_TEST_CASE(a_body_sent_behind_its_frame_is_decoded)
{
  for (const std::size_t size : { 1U, 7U, 1000U, 300000U }) {
    const std::string body(size, 'b');
    CallMessage sent = SampleCall();
    sent.request.body.clear();
    std::string frame;
    AppendFrame(sent, frame, body.size());
    frame.erase(0, kFrameHeaderBytes);
    frame += body;
    sent.request.body = body;
    const auto copied = DecodeFrame(AlignedBytes(frame).Span());
    BOOST_REQUIRE(Succeeded(copied));
    BOOST_TEST((std::get<CallMessage>(Value(copied)).request == sent.request));
    const auto moved = DecodeLargeFrame(frame);
    BOOST_REQUIRE(Succeeded(moved));
    BOOST_TEST((std::get<CallMessage>(Value(moved)).request == sent.request));
  }
}

BOOST_AUTO_TEST_CASE(the_length_of_a_frame_includes_the_body_behind_it)
{
  CallMessage message = SampleCall();
  message.request.body.clear();
  std::string frame;
  AppendFrame(message, frame, 100);
  std::uint32_t length = 0;
  std::memcpy(&length, frame.data(), sizeof length);
  BOOST_TEST(length == frame.size() - kFrameHeaderBytes + 100);
}

BOOST_AUTO_TEST_CASE(a_body_is_found_by_the_front_of_its_frame)
{
  const std::string body(100000, 'b');
  const AnswerMessage answer{ { 1, 2 }, { 200, { { "A", "b" } }, body }, {} };
  CallMessage call = SampleCall();
  call.request.body = body;
  for (const PeerMessage& message :
       { PeerMessage(answer), PeerMessage(call) }) {
    const std::string frame = Payload(message);
    std::string front = frame.substr(0, 1000);
    const auto found = FindFrameBody(AlignedBytes(front).Span());
    BOOST_REQUIRE(found);
    BOOST_TEST(found->answer == std::holds_alternative<AnswerMessage>(message));
    BOOST_TEST(found->size == body.size());
    BOOST_TEST(frame.substr(found->position, found->size) == body);
    BOOST_TEST(found->position + found->size == frame.size());
    RemoveFrameBody(front, *found);
    const auto decoded = DecodeLargeFrame(front);
    BOOST_REQUIRE(Succeeded(decoded));
    if (found->answer) {
      BOOST_TEST(std::get<AnswerMessage>(Value(decoded)).response.body.empty());
    } else {
      const auto& request = std::get<CallMessage>(Value(decoded)).request;
      BOOST_TEST(request.body.empty());
      BOOST_TEST((request.headers == call.request.headers));
    }
  }
  BOOST_TEST(!FindFrameBody(AlignedBytes(Payload(HeartbeatMessage{})).Span()));
}

BOOST_AUTO_TEST_CASE(damaged_fronts_are_no_danger)
{
  SplitMix random(7);
  const std::string frame = Payload(SampleCall());
  for (int i = 0; i < 20000; ++i) {
    const std::string damaged = Mutate(frame, random);
    (void)FindFrameBody(AlignedBytes(damaged).Span());
    (void)DecodeLargeFrame(damaged);
  }
}

BOOST_AUTO_TEST_CASE(foreign_and_oversized_bytes_are_rejected)
{
  BOOST_TEST(!Succeeded(DecodeGossip({})));
  BOOST_TEST(
    !Succeeded(DecodeGossip(AlignedBytes("GET / HTTP/1.1\r\n").Span())));
  BOOST_TEST(!Succeeded(DecodeFrame({})));
  const std::array<std::uint8_t, kFrameHeaderBytes> huge = {
    0xff, 0xff, 0xff, 0x7f
  };
  const auto length =
    FrameLength(std::span<const std::uint8_t, kFrameHeaderBytes>(huge));
  BOOST_REQUIRE(!Succeeded(length));
  BOOST_TEST((Failure(length).kind == ErrorKind::TooLarge));
}

BOOST_AUTO_TEST_CASE(compressed_files_are_restored_and_damaged_ones_rejected)
{
  const std::string file(5000, 'a');
  const std::string compressed = Deflate(file);
  BOOST_TEST(compressed.size() < file.size() / 10);
  BOOST_TEST(Value(Inflate(compressed, file.size())) == file);
  BOOST_TEST(!Succeeded(Inflate(compressed, file.size() - 1)));
  BOOST_TEST(!Succeeded(Inflate(compressed.substr(0, 5), file.size())));
  BOOST_TEST(Value(Inflate(Deflate(""), 0)).empty());
}

/// About 2 % of all texts were once rejected as damaged after compression, so
/// that their configuration never reached some daemons.
BOOST_AUTO_TEST_CASE(texts_of_all_sizes_are_restored)
{
  SplitMix random(1);
  std::string text;
  for (int i = 0; i < 1500; ++i) {
    text += "timeout_ms = " + std::to_string(UniformBelow(random, 5000)) + "\n";
    const auto size = UniformBelow(random, text.size());
    const std::string sample = text.substr(0, size);
    const auto restored = Inflate(Deflate(sample), sample.size());
    BOOST_REQUIRE(Succeeded(restored));
    BOOST_REQUIRE(Value(restored) == sample);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}
