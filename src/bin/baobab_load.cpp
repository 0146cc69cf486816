/// @file
/// Open-loop load and experiments.
#include "baobab/load/experiment.hpp"
#include "baobab/load/reconcile.hpp"
#include "baobab/load/runner.hpp"
#include "baobab/load/summary.hpp"
#include "command_line.hpp"

#include <cstdio>
#include <gflags/gflags.h>
#include <iostream>
#include <unistd.h>

DEFINE_string(experiment, "", "experiment file (TOML)");
DEFINE_bool(print_reference, false, "print all keys of the file and exit");
DEFINE_bool(json, false, "print one line of JSON only");

namespace baobab {
namespace {

constexpr char kUsage[] =
  "makes calls at fixed arrival times and reconciles what ran\n\n"
  "  baobab-load --experiment FILE [--json]\n\n"
  "Latency counts from the intended arrival, so that a stall shows.\n"
  "Exit codes: 0 every promise held, 1 a promise was broken, 2 wrong command\n"
  "line or experiment.";

constexpr int kExitBroken = 1;

TargetRecord
ReadRecords(const Experiment& aExperiment)
{
  std::string text;
  for (const std::string& path : aExperiment.records) {
    auto part = ReadTextFile(path);
    text += Succeeded(part) ? Value(part) : "";
  }
  return ParseRecord(text, CallIdPrefix(aExperiment));
}

int
Run()
{
  if (PrintReference(FLAGS_print_reference, ExperimentSchema())) {
    return 0;
  }
  const auto text = ReadTextFile(FLAGS_experiment);
  if (!Succeeded(text)) {
    std::cerr << Describe(Failure(text)) << "\n";
    return kExitUsage;
  }
  const auto parsed = ParseExperiment(Value(text), FLAGS_experiment);
  if (!Succeeded(parsed)) {
    std::cerr << Describe(Failure(parsed)) << "\n";
    return kExitUsage;
  }
  const Experiment& experiment = Value(parsed);
  const bool terminal = isatty(STDERR_FILENO) != 0;
  const auto results = RunExperiment(experiment, [&](std::size_t aEnded) {
    if (terminal) {
      std::fprintf(stderr, "\r%zu calls ended", aEnded);
    }
  });
  if (terminal) {
    std::fprintf(stderr, "\n");
  }
  const Reconciliation totals = Reconcile(results,
                                          ReadRecords(experiment),
                                          experiment.leaveGrace,
                                          !experiment.records.empty());
  const LatencySummary latency = Summarise(results);
  if (!FLAGS_json) {
    std::cout << SummaryTable(totals, latency);
  }
  std::cout << SummaryJson(totals, latency, experiment.seconds) << "\n";
  return totals.HasViolations() ? kExitBroken : 0;
}

}
}

int
main(int aCount, char** aArguments)
{
  baobab::ParseCommandLine(baobab::kUsage, BAOBAB_VERSION, aCount, aArguments);
  const int code = baobab::Run();
  std::cout.flush();
  std::_Exit(code);
}
