#include "command_line.hpp"

#include <cerrno>
#include <cstring>
#include <fstream>
#include <gflags/gflags.h>
#include <sstream>

namespace baobab {

void
ParseCommandLine(const char* aUsage,
                 const char* aVersion,
                 int& aCount,
                 char**& aArguments)
{
  gflags::SetUsageMessage(aUsage);
  gflags::SetVersionString(aVersion);
  gflags::ParseCommandLineNonHelpFlags(&aCount, &aArguments, true);
  std::string help;
  if (gflags::GetCommandLineOption("help", &help) && help == "true") {
    // gflags itself exits with 1 after --help.
    gflags::ShowUsageWithFlagsRestrict(aArguments[0], "src/bin");
    std::exit(0);
  }
  gflags::HandleCommandLineHelpFlags();
}

Result<std::string>
ReadTextFile(const std::string& aPath)
{
  std::ifstream file(aPath);
  std::ostringstream text;
  if (!file || !(text << file.rdbuf())) {
    return Error{ ErrorKind::System,
                  "cannot read '" + aPath + "': " + std::strerror(errno),
                  "pass the path of a readable, non-empty file" };
  }
  return text.str();
}

}
