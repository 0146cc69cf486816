#include "baobab/node/settings_reloader.hpp"

#include <boost/test/unit_test.hpp>

namespace baobab {
namespace {

std::string
SettingsText(std::string_view aRatio)
{
  return "[listen]\ncallers = '10.0.0.1:80'\npeers = '10.0.0.1:81'\n"
         "admin = '10.0.0.1:82'\n[store]\naddress = '10.0.0.9:80'\n"
         "[locality]\nregion = 'perth'\navailability_zone = 'perth-north'\n"
         "[retry]\nratio = " +
         std::string(aRatio) + "\n";
}

/// A settings file in memory.
struct MemoryFile
{
  std::string text = SettingsText("0.2");

  SettingsReader Reader()
  {
    return { [this] { return LoadSettings(this->text, "settings.toml"); },
             [] { return 0; } };
  }
};

}

BOOST_AUTO_TEST_SUITE(settings_reloader)

BOOST_AUTO_TEST_CASE(a_changed_file_is_applied_once)
{
  MemoryFile file;
  int applied = 0;
  double ratio = 0;
  SettingsReloader reloader(Value(LoadSettings(file.text, "settings.toml")),
                            file.Reader(),
                            [&](const Settings& aNext) {
                              ++applied;
                              ratio = aNext.live.retries.ratio;
                            });
  reloader.Reload(true);
  BOOST_TEST(applied == 0);
  file.text = SettingsText("0.1");
  reloader.Reload(false);
  reloader.Reload(false);
  BOOST_TEST(applied == 1);
  BOOST_TEST(ratio == 0.1);
}

BOOST_AUTO_TEST_CASE(an_invalid_file_changes_nothing)
{
  MemoryFile file;
  int applied = 0;
  SettingsReloader reloader(Value(LoadSettings(file.text, "settings.toml")),
                            file.Reader(),
                            [&](const Settings&) { ++applied; });
  file.text = SettingsText("'many'");
  reloader.Reload(true);
  BOOST_TEST(applied == 0);
  file.text = SettingsText("0.3");
  reloader.Reload(true);
  BOOST_TEST(applied == 1);
}

BOOST_AUTO_TEST_SUITE_END()

}
