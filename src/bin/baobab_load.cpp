/// @file
/// Open-loop load generator.
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
DEFINE_bool(print_reference,
            false,
            "print all keys of the experiment file and exit");
DEFINE_bool(json, false, "print the summary as one line of JSON only");

namespace baobab {
namespace {

constexpr char kUsage[] =
  "makes calls at scheduled times and compares results with target records\n\n"
  "  baobab-load --experiment FILE [--json]\n\n"
  "Latency is measured from the scheduled time, so it includes delays of the\n"
  "load generator.\n"
  "Exit codes: 0 no violations, 1 violations found, 2 wrong command line or\n"
  "experiment.";

constexpr int kExitViolations = 1;

TargetRecord
ReadTargetRecords(const Experiment& aExperiment)
{
  std::string text;
  for (const std::string& path : aExperiment.records) {
    auto record = ReadTextFile(path);
    text += Succeeded(record) ? Value(record) : "";
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
  const bool isTerminal = isatty(STDERR_FILENO) != 0;
  const auto results = RunExperiment(experiment, [&](std::size_t aEnded) {
    if (isTerminal) {
      std::fprintf(stderr, "\r%zu calls ended", aEnded);
    }
  });
  if (isTerminal) {
    std::fprintf(stderr, "\n");
  }
  const Reconciliation totals = Reconcile(results,
                                          ReadTargetRecords(experiment),
                                          experiment.leaveGrace,
                                          !experiment.records.empty());
  const LatencySummary latency = Summarise(results);
  if (!FLAGS_json) {
    std::cout << SummaryTable(totals, latency);
  }
  std::cout << SummaryJson(totals, latency, experiment.seconds) << "\n";
  return totals.HasViolations() ? kExitViolations : 0;
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
