#include "baobab/wire/quota_codec.hpp"

#include "baobab/core/random.hpp"
#include "baobab/wire/gossip_codec.hpp"

#include <boost/test/unit_test.hpp>

namespace baobab {
namespace {

constexpr std::uint32_t kMax = 0xffffffff;

std::span<const std::uint8_t>
BytesOf(const std::string& aText)
{
  return { reinterpret_cast<const std::uint8_t*>(aText.data()), aText.size() };
}

QuotaRequest
SampleRequest()
{
  return { { 0x7f000001, 7100 },
           { 0x7f000002, 65535 },
           true,
           kMax,
           300,
           127,
           { 17, kMax },
           { { 1, 0, 128, kMax }, { UINT64_MAX, 5, 6, 7 } } };
}

QuotaReply
SampleReply()
{
  return { { 1, 2 }, { 3, 4 }, false,
           5,        kMax,     { 6, 0 },
           true,     true,     { { 9, 70000, Millis(400) } } };
}

}

BOOST_AUTO_TEST_SUITE(quota_codec)

BOOST_AUTO_TEST_CASE(messages_are_read_as_written)
{
  for (const QuotaMessage& message : { QuotaMessage(SampleRequest()),
                                       QuotaMessage(SampleReply()),
                                       QuotaMessage(QuotaRequest{}),
                                       QuotaMessage(QuotaReply{}) }) {
    const std::string bytes = EncodeQuota(message);
    BOOST_TEST(IsQuotaDatagram(BytesOf(bytes)));
    const auto decoded = DecodeQuota(BytesOf(bytes));
    BOOST_REQUIRE(Succeeded(decoded));
    BOOST_TEST((Value(decoded) == message));
  }
}

BOOST_AUTO_TEST_CASE(a_vote_alone_is_small)
{
  QuotaRequest request = SampleRequest();
  request.needs.clear();
  BOOST_TEST(EncodeQuota(request).size() <= 40U);
}

BOOST_AUTO_TEST_CASE(the_largest_message_fits_into_a_datagram)
{
  QuotaRequest request = SampleRequest();
  request.needs.assign(2 * kMaxQuotaEntries, { 1, kMax, kMax, kMax });
  const std::string bytes = EncodeQuota(request);
  BOOST_TEST(bytes.size() <= kMaxDatagramBytes);
  const auto decoded = DecodeQuota(BytesOf(bytes));
  BOOST_REQUIRE(Succeeded(decoded));
  BOOST_TEST(std::get<QuotaRequest>(Value(decoded)).needs.size() ==
             kMaxQuotaEntries);
}

BOOST_AUTO_TEST_CASE(damaged_messages_are_refused_or_read_without_harm)
{
  SplitMix random(1);
  const std::string whole = EncodeQuota(SampleRequest());
  for (std::size_t size = 0; size < whole.size(); ++size) {
    BOOST_TEST(!Succeeded(DecodeQuota(BytesOf(whole.substr(0, size)))));
  }
  BOOST_TEST(!Succeeded(DecodeQuota(BytesOf(whole + "x"))));
  for (int i = 0; i < 20000; ++i) {
    std::string bytes = whole;
    for (std::size_t n = 1 + UniformBelow(random, 5); n > 0; --n) {
      bytes[UniformBelow(random, bytes.size())] = static_cast<char>(random());
    }
    const auto decoded = DecodeQuota(BytesOf(bytes));
    BOOST_TEST((!Succeeded(decoded) ||
                EncodeQuota(Value(decoded)).size() <= kMaxDatagramBytes));
  }
}

BOOST_AUTO_TEST_CASE(gossip_is_told_apart)
{
  const std::string gossip = EncodeGossip({});
  BOOST_TEST(!IsQuotaDatagram(BytesOf(gossip)));
}

BOOST_AUTO_TEST_SUITE_END()

}
