#include "baobab/core/settings_change.hpp"

#include <boost/test/unit_test.hpp>

namespace baobab {
namespace {

const std::string kFile = "service = 'quoting'\n"
                          "[listen]\n"
                          "callers = '10.0.0.1:80'\n"
                          "peers = '10.0.0.1:81'\n"
                          "admin = '10.0.0.1:82'\n"
                          "[store]\n"
                          "address = '10.0.0.9:80'\n"
                          "[locality]\n"
                          "region = 'perth'\n"
                          "availability_zone = 'perth-north'\n"
                          "[retry]\n"
                          "ratio = 0.2\n";

LoadedSettings
MustLoad(const std::string& aText)
{
  auto loaded = LoadSettings(aText, "settings.toml");
  BOOST_REQUIRE(Succeeded(loaded));
  return Value(loaded);
}

}

BOOST_AUTO_TEST_SUITE(settings_change)

BOOST_AUTO_TEST_CASE(identical_files_have_no_change)
{
  const auto file = MustLoad(kFile);
  BOOST_TEST(ChangeBetween(file.entries, file.entries).Empty());
}

BOOST_AUTO_TEST_CASE(live_keys_are_separated_from_those_that_need_a_restart)
{
  std::string text = kFile;
  text.replace(text.find("0.2"), 3, "0.1");
  text.replace(text.find("10.0.0.9"), 8, "10.0.0.8");
  text += "[log]\nlevel = 'debug'\n";
  const auto change =
    ChangeBetween(MustLoad(kFile).entries, MustLoad(text).entries);
  BOOST_TEST(
    (change.live == std::vector<std::string>{ "log.level", "retry.ratio" }));
  BOOST_TEST(
    (change.afterRestart == std::vector<std::string>{ "store.address" }));
}

BOOST_AUTO_TEST_CASE(a_removed_key_is_a_change)
{
  std::string text = kFile;
  text.erase(text.find("ratio"));
  const auto change =
    ChangeBetween(MustLoad(kFile).entries, MustLoad(text).entries);
  BOOST_TEST((change.live == std::vector<std::string>{ "retry.ratio" }));
}

BOOST_AUTO_TEST_SUITE_END()

}
