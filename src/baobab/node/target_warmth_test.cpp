#include "baobab/node/admin.hpp"
#include "baobab/node/target_probe.hpp"
#include "testing/scripted_server.hpp"

namespace baobab {
namespace {

std::string
HealthAnswer(const std::string& aHeaders)
{
  return "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + aHeaders + "\r\n";
}

std::string
AnnouncementText(const std::string& aExtra)
{
  return R"({"service": "s", "address": "127.0.0.1:9", "slots": 4,
    "state": "ready", "seq": 1)" +
         aExtra + "}";
}

}

BOOST_AUTO_TEST_SUITE(target_warmth)

BOOST_AUTO_TEST_CASE(the_health_path_tells_how_long_a_target_stays_cold)
{
  const Settings settings;
  ScriptedServer server({ HealthAnswer("Baobab-Warmup-Ms: 2500\r\n"),
                          HealthAnswer("Baobab-Warmup-Ms: 0\r\n"),
                          HealthAnswer(""),
                          HealthAnswer("Baobab-Warmup-Ms: soon\r\n"),
                          HealthAnswer("Baobab-Warmup-Ms: -5\r\n") });
  server.Listening(
    [&](boost::asio::io_context& aContext, const Endpoint& aAddress) {
      TargetClient client(aContext, settings);
      client.SetTarget(aAddress, "");
      const std::optional<Millis> expected[] = {
        2500ms, 0ms, std::nullopt, std::nullopt, std::nullopt
      };
      for (const auto& left : expected) {
        const auto health = ProbeHealth(client, "/health", settings);
        BOOST_REQUIRE(health.has_value());
        BOOST_TEST((health->warmupLeft == left));
        BOOST_TEST(!health->load.has_value());
      }
    });
}

BOOST_AUTO_TEST_CASE(an_announcement_tells_how_long_a_target_stays_cold)
{
  const auto leftOf = [](const std::string& aExtra) {
    const auto parsed = ParseAnnouncement(AnnouncementText(aExtra), "i-1");
    BOOST_REQUIRE(Succeeded(parsed));
    return Value(parsed).warmupLeft;
  };
  BOOST_TEST((leftOf("") == std::nullopt));
  BOOST_TEST((leftOf(R"(, "warmup_left_ms": 0)") == 0ms));
  BOOST_TEST((leftOf(R"(, "warmup_left_ms": 4000)") == 4s));
  BOOST_TEST((leftOf(R"(, "warmup_left_ms": -1)") == 0ms));
  BOOST_TEST((leftOf(R"(, "warmup_left_ms": "4")") == std::nullopt));
}

BOOST_AUTO_TEST_SUITE_END()

}
