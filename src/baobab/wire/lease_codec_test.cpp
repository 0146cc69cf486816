#include "baobab/wire/lease_codec.hpp"

#include "baobab/wire/gossip_codec.hpp"

#include <boost/test/unit_test.hpp>

namespace baobab {
namespace {

std::span<const std::uint8_t>
BytesOf(const std::string& aText)
{
  return { reinterpret_cast<const std::uint8_t*>(aText.data()), aText.size() };
}

const LeaseMessage kAnswer{ true,
                            0x1122334455667788,
                            1ULL << 40U,
                            1234ms,
                            { 0x7f000001, 7100 } };

}

BOOST_AUTO_TEST_SUITE(lease_codec)

BOOST_AUTO_TEST_CASE(messages_survive_encoding)
{
  BOOST_TEST((DecodeLease(BytesOf(EncodeLease(kAnswer))) == kAnswer));
  const LeaseMessage question{ false, 5, 0, 0ms, { 1, 2 } };
  BOOST_TEST((DecodeLease(BytesOf(EncodeLease(question))) == question));
}

BOOST_AUTO_TEST_CASE(other_datagrams_are_told_apart)
{
  const std::string lease = EncodeLease(kAnswer);
  BOOST_TEST(!Succeeded(DecodeGossip(BytesOf(lease))));
  BOOST_TEST(!DecodeLease(BytesOf(EncodeGossip({}))).has_value());
  for (std::size_t size = 0; size < lease.size(); ++size) {
    BOOST_TEST(!DecodeLease(BytesOf(lease.substr(0, size))).has_value());
  }
  BOOST_TEST(!DecodeLease(BytesOf(lease + "x")).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}
