#include "daemon_program.hpp"

#include "baobab/core/settings_change.hpp"
#include "baobab/net/log.hpp"
#include "baobab/net/log_events.hpp"
#include "baobab/net/process_signals.hpp"
#include "command_line.hpp"

#include <csignal>
#include <filesystem>
#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(settings, "", "settings file (TOML)");
DEFINE_bool(print_reference, false, "print all keys of the file and exit");
DEFINE_bool(print_log_reference, false, "print all log events and exit");
DEFINE_bool(check_settings, false, "check the settings file and exit");

namespace {

constexpr char kUsage[] =
  "runs the load balancer's daemon for one target\n\n"
  "  baobabd --settings FILE [--check_settings]\n\n"
  "Exit codes: 0 stopped after a graceful shutdown, 2 wrong command line or\n"
  "settings, 3 an address cannot be used.\n"
  "Signals: SIGTERM and SIGINT start a graceful shutdown, SIGHUP reloads the\n"
  "settings.";

using namespace baobab;

Result<LoadedSettings>
ReadSettings()
{
  const auto text = ReadTextFile(FLAGS_settings);
  if (!Succeeded(text)) {
    return Failure(text);
  }
  return LoadSettings(Value(text), FLAGS_settings);
}

/// Returns the modification time of the settings file; 0 if it is unknown.
std::int64_t
SettingsFileTime()
{
  std::error_code error;
  const auto time = std::filesystem::last_write_time(FLAGS_settings, error);
  return error ? 0 : time.time_since_epoch().count();
}

void
StartLog(const Settings& aSettings)
{
  // Without this, a write to a log pipe whose reader has exited would end the
  // process.
  std::signal(SIGPIPE, SIG_IGN);
  InitLog({ aSettings.logFormat == "text" ? LogFormat::Text : LogFormat::Json,
            aSettings.logLevel });
}

int
Run(const Platform& aPlatform)
{
  if (PrintReference(FLAGS_print_reference, SettingsSchema())) {
    return 0;
  }
  if (FLAGS_print_log_reference) {
    std::cout << LogReference();
    return 0;
  }
  const auto settings = ReadSettings();
  if (!Succeeded(settings)) {
    std::cerr << Describe(Failure(settings)) << "\n";
    return kExitUsage;
  }
  if (FLAGS_check_settings) {
    std::cout << FLAGS_settings << ": ok\n";
    return 0;
  }
  StartLog(Value(settings).settings);
  const auto result =
    RunDaemon(Value(settings), aPlatform, { ReadSettings, SettingsFileTime });
  StopLog();
  if (!Succeeded(result)) {
    std::cerr << Describe(Failure(result)) << "\n";
    return kExitUnavailable;
  }
  return 0;
}

}

int
DaemonProgram(int aCount, char** aArguments, const Platform& aPlatform)
{
  BlockSignals();
  ParseCommandLine(kUsage, BAOBAB_VERSION, aCount, aArguments);
  return Run(aPlatform);
}
