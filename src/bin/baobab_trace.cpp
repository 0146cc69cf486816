/// @file
/// Follows one request through the logs of many daemons.
#include "baobab/trace/request_trace.hpp"
#include "command_line.hpp"

#include <filesystem>
#include <gflags/gflags.h>
#include <iostream>

DEFINE_uint64(bad, 0, "list this many requests that did not end well instead");

namespace {

using namespace baobab;

constexpr char kUsage[] =
  "the way of one request through the logs of daemons\n\n"
  "  baobab-trace REQUEST FILE...\n"
  "  baobab-trace --bad N FILE...\n\n"
  "REQUEST is the identity of a request, or of an attempt. Each file is the\n"
  "log of one daemon in JSON, or of several with their names before each\n"
  "line. Clocks that differ are put in step.\n"
  "Exit codes: 0 found, 1 no line names the request, 2 wrong command line, 3\n"
  "a file cannot be read.";

/// Reads the logs; ends the process if one cannot be read.
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
    auto read =
      ParseLog(Value(text), std::filesystem::path(*path).stem().string());
    std::ranges::move(read, std::back_inserter(records));
  }
  return records;
}

int
Follow(const std::string& aRequest, const std::vector<LogRecord>& aRecords)
{
  const auto way = TraceRequest(aRecords, aRequest);
  if (way.empty()) {
    std::cerr << "no line names '" << aRequest
              << "'; good calls are logged as far as 'log.call_share' says\n";
    return 1;
  }
  std::cout << FormatTrace(way);
  return 0;
}

}

int
main(int aCount, char** aArguments)
{
  ParseCommandLine(kUsage, BAOBAB_VERSION, aCount, aArguments);
  char** const last = aArguments + aCount;
  if (FLAGS_bad > 0 && aCount > 1) {
    std::cout << FormatUnsuccessfulRequests(ReadLogs(aArguments + 1, last),
                                            FLAGS_bad);
    return 0;
  }
  constexpr int kLeast = 3;
  if (aCount < kLeast) {
    std::cerr << "give a request and at least one file; see --help\n";
    return kExitUsage;
  }
  return Follow(aArguments[1], ReadLogs(aArguments + 2, last));
}
