#include "baobab/core/http_message.hpp"
#include "baobab/decision/quarantine.hpp"

#include <boost/test/unit_test.hpp>
#include <vector>

namespace baobab {
namespace {

constexpr TimePoint kNow{ 1h };
constexpr Fingerprint kCrashing = 666;
constexpr double kThreshold = 2;

std::vector<Fingerprint>
RunningWith(Fingerprint aFirst)
{
  std::vector<Fingerprint> running{ kCrashing };
  for (Fingerprint i = 0; i < 19; ++i) {
    running.push_back(aFirst + i);
  }
  return running;
}

}

BOOST_AUTO_TEST_SUITE(quarantine)

BOOST_AUTO_TEST_CASE(
  a_crashing_request_among_healthy_ones_is_refused_after_three_crashes)
{
  Quarantine quarantine;
  std::uint64_t crash = 0;
  int crashes = 0;
  while (quarantine.Evaluate(kCrashing, kThreshold, kNow) != Verdict::Refuse) {
    ++crash;
    quarantine.RecordCrash(crash, RunningWith(1000 * crash), 600s, kNow);
    BOOST_REQUIRE_LE(++crashes, 3);
  }
  BOOST_TEST((quarantine.Evaluate(1005, kThreshold, kNow) == Verdict::Isolate));
}

BOOST_AUTO_TEST_CASE(a_healthy_request_is_cleared_when_it_completes)
{
  Quarantine quarantine;
  quarantine.RecordCrash(1, RunningWith(1000), 600s, kNow);
  quarantine.RecordCompletion(1005, 200, kNow);
  BOOST_TEST((quarantine.Evaluate(1005, kThreshold, kNow) == Verdict::Allow));
  BOOST_TEST(
    (quarantine.Evaluate(kCrashing, kThreshold, kNow) == Verdict::Isolate));
}

/// Guards against a request that is cleared of its crashes by a target that
/// fails everything.
BOOST_AUTO_TEST_CASE(a_server_error_does_not_clear_a_request)
{
  Quarantine quarantine;
  quarantine.RecordCrash(1, std::vector<Fingerprint>{ kCrashing }, 600s, kNow);
  for (const unsigned status : { 500U, 502U, 503U, 504U }) {
    quarantine.RecordCompletion(kCrashing, status, kNow);
    BOOST_TEST(
      (quarantine.Evaluate(kCrashing, kThreshold, kNow) == Verdict::Isolate));
  }
  quarantine.RecordCompletion(kCrashing, 404, kNow);
  BOOST_TEST(
    (quarantine.Evaluate(kCrashing, kThreshold, kNow) == Verdict::Allow));
}

BOOST_AUTO_TEST_CASE(suspicions_and_clearances_spread_and_expire)
{
  Quarantine here;
  Quarantine there;
  here.RecordCrash(1, std::vector<Fingerprint>{ kCrashing }, 600s, kNow);
  here.RecordCrash(2, std::vector<Fingerprint>{ kCrashing }, 600s, kNow);
  for (const Suspicion& suspicion : here.SelectForDatagram(8, kNow)) {
    there.Merge(suspicion, kNow);
    there.Merge(suspicion, kNow);
  }
  BOOST_TEST((there.Evaluate(kCrashing, kThreshold, kNow) == Verdict::Refuse));
  there.RecordCompletion(kCrashing, 200, kNow);
  for (const Suspicion& suspicion : there.SelectForDatagram(8, kNow)) {
    here.Merge(suspicion, kNow);
  }
  BOOST_TEST((here.Evaluate(kCrashing, kThreshold, kNow) == Verdict::Allow));
  here.Expire(kNow + 601s);
  BOOST_TEST(here.Size() == 0U);
}

/// Guards against a daemon that restarts and runs a request that crashes
/// targets, because its peers no longer send what they all know.
BOOST_AUTO_TEST_CASE(a_daemon_that_starts_later_learns_of_every_suspicion)
{
  constexpr std::uint64_t kCrashes = 20;
  Quarantine running;
  for (std::uint64_t crash = 1; crash <= kCrashes; ++crash) {
    const Fingerprint first = 1000 * crash;
    running.RecordCrash(crash, RunningWith(first), 600s, kNow);
  }
  running.RecordCompletion(1005, 200, kNow);
  while (!running.SelectForDatagram(8, kNow).empty()) {
  }
  Quarantine started;
  int datagrams = 0;
  while (started.Digest() != running.Digest() && datagrams < 100) {
    ++datagrams;
    for (const Suspicion& suspicion :
         running.SelectForDatagram(8, kNow, true)) {
      started.Merge(suspicion, kNow);
    }
    // The request that crashed alone comes first.
    BOOST_TEST(
      (started.Evaluate(kCrashing, kThreshold, kNow) == Verdict::Refuse));
  }
  BOOST_TEST(started.Digest() == running.Digest());
  BOOST_TEST((started.Evaluate(1005, kThreshold, kNow) == Verdict::Allow));
  running.Expire(kNow + 601s);
  started.Expire(kNow + 601s);
  BOOST_TEST(running.Digest() == 0U);
  BOOST_TEST(started.Digest() == 0U);
}

/// Guards against a request that shares the blame with copies of itself, so
/// that it is refused late and never kept as confirmed.
BOOST_AUTO_TEST_CASE(copies_of_a_request_that_run_together_count_as_one)
{
  Quarantine quarantine;
  const std::vector<Fingerprint> copies(5, kCrashing);
  quarantine.RecordCrash(1, copies, 600s, kNow);
  BOOST_TEST(quarantine.Confirmed(kNow).size() == 1U);
  quarantine.RecordCrash(2, copies, 600s, kNow);
  BOOST_TEST(
    (quarantine.Evaluate(kCrashing, kThreshold, kNow) == Verdict::Refuse));
}

/// Guards against memory that grows with each crash of a busy target.
BOOST_AUTO_TEST_CASE(the_number_of_suspects_is_bounded_and_culprits_remain)
{
  Quarantine quarantine;
  const std::vector<Fingerprint> culprit{ kCrashing };
  quarantine.RecordCrash(1, culprit, 600s, kNow);
  quarantine.RecordCrash(2, culprit, 600s, kNow);
  for (std::uint64_t crash = 3; crash < 500; ++crash) {
    const std::vector<Fingerprint> running = RunningWith(1000 * crash);
    quarantine.RecordCrash(crash, std::span(running).subspan(1), 600s, kNow);
  }
  BOOST_TEST(quarantine.Size() <= 4096U);
  BOOST_TEST(
    (quarantine.Evaluate(kCrashing, kThreshold, kNow) == Verdict::Refuse));
  quarantine.Expire(kNow + 601s);
  BOOST_TEST(quarantine.Digest() == 0U);
}

/// Guards against a request that crashes the targets of each service that its
/// route is split between, or is moved to, as if it were another request.
BOOST_AUTO_TEST_CASE(a_request_is_recognised_whatever_service_runs_it)
{
  const Request request{
    "old-office", "POST", "/order?x=1", { { "Host", "Q.example:80" } }, "body"
  };
  const auto with = [&](auto aChange) {
    Request changed = request;
    aChange(changed);
    return FingerprintOf(changed) == FingerprintOf(request);
  };
  BOOST_TEST(with([](Request& aRequest) { aRequest.service = "quoting"; }));
  BOOST_TEST(with([](Request& aRequest) {
    aRequest.headers = { { "X-Request-Id", "2" }, { "host", "q.example" } };
  }));
  BOOST_TEST(!with([](Request& aRequest) { aRequest.method = "PUT"; }));
  BOOST_TEST(!with([](Request& aRequest) { aRequest.target = "/order?x=2"; }));
  BOOST_TEST(!with([](Request& aRequest) { aRequest.body = "other"; }));
  BOOST_TEST(!with([](Request& aRequest) {
    aRequest.headers = { { "Host", "other.example" } };
  }));
}

/// After the store had come back from an older copy, suspicions that it no
/// longer had were never stored again, and a restart of the fleet forgot them.
BOOST_AUTO_TEST_CASE(a_loss_of_the_store_makes_suspicions_unstored)
{
  Quarantine quarantine;
  quarantine.RecordCrash(1, std::vector<Fingerprint>{ kCrashing }, 600s, kNow);
  quarantine.Merge({ kCrashing + 1, 2, 1, false, 600s }, kNow);
  quarantine.MarkStored(quarantine.Confirmed(kNow));
  BOOST_TEST(!quarantine.HasUnstored(kNow));
  quarantine.MarkAllUnstored();
  BOOST_TEST(quarantine.HasUnstored(kNow));
  BOOST_TEST(quarantine.HasUnstoredOfThisHost(kNow));
  BOOST_TEST(quarantine.Confirmed(kNow).size() == 2U);
  quarantine.MarkStored(quarantine.Confirmed(kNow));
  BOOST_TEST(!quarantine.HasUnstored(kNow));
}

BOOST_AUTO_TEST_CASE(repeating_a_suspicion_does_not_extend_it)
{
  Quarantine quarantine;
  const Suspicion suspicion{ kCrashing, 1, 9, false, 600s };
  quarantine.Merge(suspicion, kNow);
  quarantine.Merge(suspicion, kNow + 300s);
  quarantine.Expire(kNow + 601s);
  BOOST_TEST(quarantine.Size() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}
