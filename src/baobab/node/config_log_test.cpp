#include "baobab/node/config_log.hpp"

#include <boost/test/unit_test.hpp>

namespace baobab {
namespace {

constexpr TimePoint kNow{ 1h };

bool
Contains(const ConfigLog& aLog, const std::string& aLine)
{
  MetricsPage page;
  aLog.AddMetrics(page);
  return page.Text().find(aLine) != std::string::npos;
}

}

BOOST_AUTO_TEST_SUITE(config_log)

BOOST_AUTO_TEST_CASE(reads_pulls_and_adoptions_are_counted_by_origin)
{
  ConfigLog log;
  const Error error{ ErrorKind::StoreUnavailable, "no response", "" };
  log.OnStoreFailed(error, kNow);
  log.OnStoreFailed(error, kNow + 1s);
  log.OnStoreRead(true, kNow + 2s);
  log.OnPullFailed({ 1, 7100 }, error);
  log.OnAdvertised(9, 4, kNow);
  log.OnAdopted({ 7, 4, "store", { 1, 7000 }, "2:117" }, kNow);
  log.OnAdopted({ 9, 7, "peer", { 1, 7100 }, "" }, kNow);
  for (const char* line : { "config_store_reads_total{result=\"failed\"} 2",
                            "config_store_reads_total{result=\"changed\"} 1",
                            "config_failed_pulls_total 1",
                            "config_adopted_total{source=\"store\"} 1",
                            "config_adopted_total{source=\"peer\"} 1",
                            "config_advertised_generation 9" }) {
    BOOST_TEST(Contains(log, line), line);
  }
}

BOOST_AUTO_TEST_CASE(the_state_is_due_at_once_and_then_every_ten_seconds)
{
  ConfigLog log;
  BOOST_TEST(log.StateDue(kNow));
  log.LogState({}, kNow);
  BOOST_TEST(!log.StateDue(kNow + 9999ms));
  BOOST_TEST(log.StateDue(kNow + 10s));
}

BOOST_AUTO_TEST_SUITE_END()

}
