/// @file
/// The daemon beside each target.
#include "baobab/core/settings.hpp"
#include "baobab/net/log.hpp"
#include "baobab/node/daemon.hpp"
#include "command_line.hpp"

#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(settings, "", "settings file (TOML)");
DEFINE_bool(print_reference, false, "print all keys of the file and exit");
DEFINE_bool(check_settings, false, "check the settings file and exit");

namespace {

constexpr char kUsage[] =
  "the load balancer's process beside each target\n\n"
  "  baobabd --settings FILE [--check_settings]\n\n"
  "Exit codes: 0 stopped after a graceful shutdown, 2 wrong command line or\n"
  "settings, 3 an address cannot be used.\n"
  "Signals: SIGTERM and SIGINT start a graceful shutdown.";

int
Run()
{
  using namespace baobab;
  if (PrintReference(FLAGS_print_reference, SettingsSchema())) {
    return 0;
  }
  const auto text = ReadTextFile(FLAGS_settings);
  if (!Succeeded(text)) {
    std::cerr << Describe(Failure(text)) << "\n";
    return kExitUsage;
  }
  const auto settings = ParseSettings(Value(text), FLAGS_settings);
  if (!Succeeded(settings)) {
    std::cerr << Describe(Failure(settings)) << "\n";
    return kExitUsage;
  }
  if (FLAGS_check_settings) {
    std::cout << FLAGS_settings << ": ok\n";
    return 0;
  }
  InitLog(Value(settings).logFormat, Value(settings).logLevel);
  const auto ended = RunDaemon(Value(settings));
  if (!Succeeded(ended)) {
    std::cerr << Describe(Failure(ended)) << "\n";
    return kExitUnavailable;
  }
  return 0;
}

}

int
main(int aCount, char** aArguments)
{
  baobab::ParseCommandLine(kUsage, BAOBAB_VERSION, aCount, aArguments);
  const int code = Run();
  std::cout.flush();
  std::_Exit(code);
}
