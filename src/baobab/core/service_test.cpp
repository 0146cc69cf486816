#include "baobab/core/service.hpp"
#include "baobab/core/settings.hpp"

#include <boost/test/unit_test.hpp>

namespace baobab {

BOOST_AUTO_TEST_SUITE(service_file)

BOOST_AUTO_TEST_CASE(reads_a_minimal_file)
{
  const auto parsed = ParseService(
    "name = 'quoting'\nrevision = 3\nhosts = ['q.example']\n", "quoting.toml");
  BOOST_REQUIRE(Succeeded(parsed));
  BOOST_TEST(Value(parsed).revision == 3);
  const auto routes = RoutesOf(Value(parsed));
  BOOST_REQUIRE(routes.size() == 1);
  BOOST_TEST(routes[0].host == "q.example");
  BOOST_TEST(routes[0].pathPrefix.empty());
  BOOST_TEST(routes[0].timeout.count() == 2000);
  BOOST_TEST(
    (routes[0].split == std::vector{ WeightedService{ "quoting", 1 } }));
}

BOOST_AUTO_TEST_CASE(reads_routes_with_their_defaults)
{
  const auto parsed = ParseService("name = 'quoting'\nrevision = 1\n"
                                   "[[routes]]\nhost = 'q.example'\n"
                                   "path_prefix = '/pay/'\n"
                                   "kind = 'non_idempotent'\n"
                                   "timeout_ms = 700\npriority = 1\n"
                                   "[[routes]]\npath_prefix = '/look/'\n"
                                   "split = ['quoting:90', 'crewdesk:10']\n",
                                   "quoting.toml");
  BOOST_REQUIRE(Succeeded(parsed));
  const auto routes = RoutesOf(Value(parsed));
  BOOST_REQUIRE(routes.size() == 2);
  BOOST_TEST(routes[0].timeout.count() == 700);
  BOOST_TEST(!IsIdempotent(routes[0], Value(parsed), "GET", "/pay/now"));
  BOOST_TEST(routes[1].timeout.count() == 2000);
  BOOST_TEST(
    (routes[1].split == std::vector{ WeightedService{ "quoting", 90 },
                                     WeightedService{ "crewdesk", 10 } }));
}

BOOST_AUTO_TEST_CASE(reports_the_location_of_an_invalid_route)
{
  const auto parsed = ParseService("name = 'quoting'\nrevision = 1\n"
                                   "[[routes]]\npath_prefix = '/pay/'\n"
                                   "kind = 'sometimes'\n",
                                   "quoting.toml");
  BOOST_REQUIRE(!Succeeded(parsed));
  BOOST_TEST((Failure(parsed).kind == ErrorKind::OutOfRange));
  BOOST_TEST(Failure(parsed).message.starts_with("quoting.toml:5:"));
}

BOOST_AUTO_TEST_CASE(reports_location_and_remedy_of_an_unknown_key)
{
  const auto parsed = ParseService(
    "name = 'quoting'\nrevision = 3\ndeadline = 5\n", "quoting.toml");
  BOOST_REQUIRE(!Succeeded(parsed));
  BOOST_TEST((Failure(parsed).kind == ErrorKind::UnknownKey));
  BOOST_TEST(Failure(parsed).message ==
             "quoting.toml:3:12: unknown key 'deadline'");
  BOOST_TEST(Failure(parsed).remedy.find("deadline_ms") != std::string::npos);
}

/// Found by fuzzing: an assertion of the TOML library failed for this file and
/// ended the process.
BOOST_AUTO_TEST_CASE(an_invalid_table_header_is_a_syntax_error)
{
  const auto parsed = ParseService("[!", "broken.toml");
  BOOST_REQUIRE(!Succeeded(parsed));
  BOOST_TEST((Failure(parsed).kind == ErrorKind::Syntax));
}

BOOST_AUTO_TEST_CASE(rejects_wrong_types_ranges_and_missing_keys)
{
  const auto kind = [](std::string_view aText) {
    return Failure(ParseService(aText, "s.toml")).kind;
  };
  BOOST_TEST((kind("name = 4\nrevision = 1\n") == ErrorKind::WrongType));
  BOOST_TEST((kind("name = 'a'\nrevision = 0\n") == ErrorKind::OutOfRange));
  BOOST_TEST((kind("revision = 1\n") == ErrorKind::MissingKey));
  BOOST_TEST((kind("name = 'a'\nrevision = 1\n") == ErrorKind::MissingKey));
  BOOST_TEST((kind("name = \n") == ErrorKind::Syntax));
  BOOST_TEST((kind("name='a'\nrevision=1\nhosts=['h']\n[measuring]\n"
                   "bytes_per_second=5\ncross_region_bytes_per_second=6\n") ==
              ErrorKind::OutOfRange));
}

BOOST_AUTO_TEST_CASE(path_lists_override_the_method)
{
  ServiceSpec service;
  service.idempotentPaths = { "/search" };
  service.nonIdempotentPaths = { "/count" };
  BOOST_TEST(IsIdempotent(service, "GET", "/quote"));
  BOOST_TEST(!IsIdempotent(service, "POST", "/quote"));
  BOOST_TEST(IsIdempotent(service, "POST", "/search?q=1"));
  BOOST_TEST(!IsIdempotent(service, "GET", "/count/up"));
}

BOOST_AUTO_TEST_CASE(silence_must_be_at_least_two_heartbeats)
{
  const std::string base = "[listen]\ncallers='127.0.0.1:1'\n"
                           "peers='127.0.0.1:2'\nadmin='127.0.0.1:3'\n"
                           "[store]\naddress='127.0.0.1:4'\n"
                           "[locality]\nregion='r'\navailability_zone='z'\n";
  BOOST_TEST(Succeeded(ParseSettings(base, "d.toml")));
  const auto parsed = ParseSettings(
    base + "[timeouts]\nheartbeat_ms=600\nsilence_ms=1000\n", "d.toml");
  BOOST_REQUIRE(!Succeeded(parsed));
  BOOST_TEST((Failure(parsed).kind == ErrorKind::OutOfRange));
}

BOOST_AUTO_TEST_SUITE_END()

}
