#include "baobab/node/memory_facts.hpp"

#include <algorithm>
#include <charconv>
#include <fstream>
#include <sstream>
#include <string_view>
#include <sys/resource.h>
#include <unistd.h>

namespace baobab {
namespace {

constexpr std::int64_t kKibibyte = 1 << 10;

/// Stack of a thread if the limit says nothing.
constexpr std::int64_t kDefaultStackBytes = 8 << 20;

/// Returns the number that a file begins with, after an optional label.
std::optional<std::int64_t>
ParseNumber(std::string_view aText)
{
  aText.remove_prefix(std::min(aText.find_first_not_of(' '), aText.size()));
  std::int64_t number = 0;
  const auto [end, error] =
    std::from_chars(aText.data(), aText.data() + aText.size(), number);
  if (error != std::errc() || number <= 0) {
    return std::nullopt;
  }
  return number;
}

std::optional<std::int64_t>
ReadNumber(const std::string& aPath)
{
  std::ifstream file(aPath);
  std::string line;
  return std::getline(file, line) ? ParseNumber(line) : std::nullopt;
}

std::optional<std::int64_t>
HostBytes(const std::string& aRoot)
{
  static constexpr std::string_view kLabel = "MemTotal:";
  std::ifstream file(aRoot + "/proc/meminfo");
  std::string line;
  while (std::getline(file, line)) {
    if (line.starts_with(kLabel)) {
      const auto number = ParseNumber(line.substr(kLabel.size()));
      return number ? std::optional(*number * kKibibyte) : std::nullopt;
    }
  }
  return std::nullopt;
}

void
Lower(std::optional<std::int64_t>& aLimit, std::optional<std::int64_t> aOther)
{
  if (aOther) {
    aLimit = std::min(aLimit.value_or(*aOther), *aOther);
  }
}

/// Adds the limits of a control group and of those above it. In a container
/// the path may be one that only its host sees; then the top one is its own.
void
AddGroups(MemoryFacts& aFacts,
          const std::string& aMount,
          std::string aPath,
          const std::string& aFile)
{
  bool own = true;
  while (true) {
    std::string file = aMount;
    if (aPath != "/") {
      file += aPath;
    }
    file += "/";
    file += aFile;
    if (std::ifstream(file)) {
      Lower(own ? aFacts.controlGroup : aFacts.sharedControlGroup,
            ReadNumber(file));
      own = false;
    }
    if (aPath.size() <= 1) {
      return;
    }
    aPath.resize(std::max<std::size_t>(aPath.rfind('/'), 1));
  }
}

bool
HasMemory(const std::string& aControllers)
{
  std::istringstream names(aControllers);
  std::string name;
  while (std::getline(names, name, ',')) {
    if (name == "memory") {
      return true;
    }
  }
  return false;
}

std::optional<std::int64_t>
ResourceLimit(__rlimit_resource aResource)
{
  rlimit limit{};
  if (getrlimit(aResource, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY) {
    return std::nullopt;
  }
  return static_cast<std::int64_t>(limit.rlim_cur);
}

}

MemoryFacts
ReadMemoryFacts(const std::string& aRoot)
{
  MemoryFacts facts;
  facts.host = HostBytes(aRoot);
  std::ifstream file(aRoot + "/proc/self/cgroup");
  std::string line;
  // Each line is "hierarchy:controllers:path".
  while (std::getline(file, line)) {
    const std::size_t first = line.find(':');
    const std::size_t second =
      first == std::string::npos ? first : line.find(':', first + 1);
    if (second == std::string::npos || line.substr(second + 1, 1) != "/") {
      continue;
    }
    const std::string controllers = line.substr(first + 1, second - first - 1);
    const std::string path = line.substr(second + 1);
    if (controllers.empty()) {
      AddGroups(facts, aRoot + "/sys/fs/cgroup", path, "memory.max");
    } else if (HasMemory(controllers)) {
      AddGroups(
        facts, aRoot + "/sys/fs/cgroup/memory", path, "memory.limit_in_bytes");
    }
  }
  return facts;
}

void
AddResourceLimits(MemoryFacts& aFacts)
{
  aFacts.data = ResourceLimit(RLIMIT_DATA);
  aFacts.addressSpace = ResourceLimit(RLIMIT_AS);
  aFacts.stackBytes = ResourceLimit(RLIMIT_STACK).value_or(kDefaultStackBytes);
  // The first number counts pages of the address space.
  aFacts.addressSpaceInUse =
    ReadNumber("/proc/self/statm").value_or(0) * sysconf(_SC_PAGESIZE);
}

}
