#include "baobab/net/status_json.hpp"

#include <boost/test/unit_test.hpp>

namespace baobab {
namespace {

constexpr std::size_t kLargestObject = 1U << 20U;
constexpr StatusTime kNow{ 3600000000LL };

/// A zone in which every bucket of every service is in use.
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
      const BurnLevel& shape = BurnSeries::kLevels[level];
      // 400 calls a second, one in a thousand bad.
      const auto good = static_cast<std::uint64_t>(400 * shape.width.count());
      const std::int64_t last = kNow / shape.width;
      for (std::int64_t j = 0; j < shape.kept; ++j) {
        service.series.levels[level][last - j] = { good, good / 1000 };
      }
    }
  }
  return status;
}

}

BOOST_AUTO_TEST_SUITE(status_json)

BOOST_AUTO_TEST_CASE(status_survives_the_store)
{
  ZoneStatus sent;
  sent.Add({ 1, 2, 3, { { "quoting", { 9, 1, 0, 2, 0 }, 40 } } }, kNow);
  sent.Add({ 1, 3, 3, { { "quoting", { 5, 0, 0, 0, 0 }, 10 } } },
           kNow + std::chrono::hours(5));
  sent.services["quoting"].targets["ready"] = 2;
  const auto read = DecodeStatus(EncodeStatus(sent));
  BOOST_REQUIRE(Succeeded(read));
  const ServiceStatus& got = Value(read).services.at("quoting");
  const ServiceStatus& want = sent.services.at("quoting");
  BOOST_TEST((got.series.levels == want.series.levels));
  BOOST_TEST((got.calls == want.calls));
  BOOST_TEST((got.targets == want.targets));
  BOOST_TEST((Value(read).reporters == sent.reporters));
  BOOST_TEST((Value(read).updatedAt == sent.updatedAt));
}

BOOST_AUTO_TEST_CASE(a_full_zone_fits_into_an_object)
{
  constexpr int kServices = 290;
  constexpr int kDaemonsOfZone = 532;
  const std::string text = EncodeStatus(FullZone(kServices, kDaemonsOfZone));
  BOOST_TEST_MESSAGE("status of a full zone: " << text.size() << " bytes");
  BOOST_TEST(text.size() <= kLargestObject);
}

BOOST_AUTO_TEST_CASE(foreign_objects_are_refused)
{
  BOOST_TEST(!Succeeded(DecodeStatus("")));
  BOOST_TEST(!Succeeded(DecodeStatus("[]")));
  BOOST_TEST(!Succeeded(DecodeStatus("{\"updated_at\": 1}")));
}

BOOST_AUTO_TEST_SUITE_END()

}
