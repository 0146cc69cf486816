#include "baobab/net/status_json.hpp"

#include <boost/test/unit_test.hpp>

namespace baobab {
namespace {

/// Limit of the object store for the size of an object.
constexpr std::size_t kMaxObjectBytes = 1U << 20U;
constexpr StatusTime kNow{ 3600000000LL };

/// Returns the status of a zone in which every bucket of every service is used.
ZoneStatus
FullZone(int aServices, int aReporters)
{
  ZoneStatus status;
  for (int i = 0; i < aReporters; ++i) {
    status.reporters[~std::uint64_t{ 0 } - static_cast<std::uint64_t>(i)] = {
      1000000, 100000, kNow
    };
  }
  for (int i = 0; i < aServices; ++i) {
    ServiceStatus& service = status.services["service-" + std::to_string(i)];
    service.targets["ready"] = 40;
    for (std::size_t level = 0; level < BurnSeries::kLevels.size(); ++level) {
      const BurnLevel& burnLevel = BurnSeries::kLevels[level];
      // 400 calls per second, one in a thousand of them bad.
      const auto good =
        static_cast<std::uint64_t>(400 * burnLevel.width.count());
      const std::int64_t last = kNow / burnLevel.width;
      for (std::int64_t j = 0; j < burnLevel.bucketCount; ++j) {
        service.series.levels[level][last - j] = { good, good / 1000 };
      }
    }
  }
  return status;
}

}

BOOST_AUTO_TEST_SUITE(status_json)

BOOST_AUTO_TEST_CASE(encoded_status_decodes_to_the_same_status)
{
  ZoneStatus original;
  original.Add({ 1, 2, 3, { { "quoting", { 9, 1, 0, 2, 0 }, 40 } } }, kNow);
  original.Add({ 1, 3, 3, { { "quoting", { 5, 0, 0, 0, 0 }, 10 } } },
               kNow + std::chrono::hours(5));
  original.services["quoting"].targets["ready"] = 2;
  const auto decoded = DecodeStatus(EncodeStatus(original));
  BOOST_REQUIRE(Succeeded(decoded));
  const ServiceStatus& actual = Value(decoded).services.at("quoting");
  const ServiceStatus& expected = original.services.at("quoting");
  BOOST_TEST((actual.series.levels == expected.series.levels));
  BOOST_TEST((actual.calls == expected.calls));
  BOOST_TEST((actual.targets == expected.targets));
  BOOST_TEST((Value(decoded).reporters == original.reporters));
  BOOST_TEST((Value(decoded).updatedAt == original.updatedAt));
}

/// A status larger than the store's limit for objects could not be written.
BOOST_AUTO_TEST_CASE(status_of_a_full_zone_fits_into_an_object)
{
  constexpr int kServices = 290;
  constexpr int kDaemonsOfZone = 532;
  const std::string text = EncodeStatus(FullZone(kServices, kDaemonsOfZone));
  BOOST_TEST_MESSAGE("status of a full zone: " << text.size() << " bytes");
  BOOST_TEST(text.size() <= kMaxObjectBytes);
}

BOOST_AUTO_TEST_CASE(other_objects_are_rejected)
{
  BOOST_TEST(!Succeeded(DecodeStatus("")));
  BOOST_TEST(!Succeeded(DecodeStatus("[]")));
  BOOST_TEST(!Succeeded(DecodeStatus("{\"updated_at\": 1}")));
}

BOOST_AUTO_TEST_SUITE_END()

}
