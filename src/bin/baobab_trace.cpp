/// @file
/// Traces one request through the logs of several daemons.
#include "baobab/trace/request_trace.hpp"
#include "command_line.hpp"

#include <filesystem>
#include <gflags/gflags.h>
#include <iostream>

DEFINE_uint64(bad, 0, "list up to this many unsuccessful requests instead");

namespace {

using namespace baobab;

constexpr char kUsage[] =
  "traces one request through the logs of daemons\n\n"
  "  baobab-trace REQUEST FILE...\n"
  "  baobab-trace --bad N FILE...\n\n"
  "REQUEST is the ID of a request or of an attempt. Each file is the JSON log\n"
  "of one daemon, or of several daemons with the daemon's name before each\n"
  "line. Differences between the daemons' clocks are corrected.\n"
  "Exit codes: 0 found, 1 request not found, 2 wrong command line, 3 a file\n"
  "cannot be read.";

/// Reads the log files. Exits the process if one cannot be read.
std::vector<LogRecord>
ReadLogs(char** aBegin, char** aEnd)
{
  std::vector<LogRecord> records;
  for (char** path = aBegin; path != aEnd; ++path) {
    const auto text = ReadTextFile(*path);
    if (!Succeeded(text)) {
      std::cerr << Describe(Failure(text)) << "\n";
      std::exit(kExitUnavailable);
    }
    auto parsed =
      ParseLog(Value(text), std::filesystem::path(*path).stem().string());
    std::ranges::move(parsed, std::back_inserter(records));
  }
  return records;
}

int
PrintTrace(const std::string& aRequest, const std::vector<LogRecord>& aRecords)
{
  const auto trace = TraceRequest(aRecords, aRequest);
  if (trace.empty()) {
    std::cerr << "no log line contains '" << aRequest
              << "'; 'log.call_share' limits how many good calls are logged\n";
    return 1;
  }
  std::cout << FormatTrace(trace);
  return 0;
}

}

int
main(int aCount, char** aArguments)
{
  ParseCommandLine(kUsage, BAOBAB_VERSION, aCount, aArguments);
  char** const end = aArguments + aCount;
  if (FLAGS_bad > 0 && aCount > 1) {
    std::cout << FormatUnsuccessfulRequests(ReadLogs(aArguments + 1, end),
                                            FLAGS_bad);
    return 0;
  }
  constexpr int kMinArguments = 3;
  if (aCount < kMinArguments) {
    std::cerr << "a request and at least one file are required; see --help\n";
    return kExitUsage;
  }
  return PrintTrace(aArguments[1], ReadLogs(aArguments + 2, end));
}
