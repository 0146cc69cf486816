/// @file
/// How much memory the process may use if no setting says so.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace baobab {

/// What limits the memory of the process.
enum class MemorySource : std::uint8_t
{
  Unknown,
  Setting,
  ControlGroup,
  /// A control group above that of the process, which others share.
  SharedControlGroup,
  DataLimit,
  AddressSpaceLimit,
  Host,
};

/// Returns the name of a source in the log. These names are stable.
std::string_view Name(MemorySource aSource);

/// What the system says about memory, in bytes.
struct MemoryFacts
{
  std::optional<std::int64_t> controlGroup;
  std::optional<std::int64_t> sharedControlGroup;
  /// Resource limits of the process.
  std::optional<std::int64_t> data;
  std::optional<std::int64_t> addressSpace;
  std::optional<std::int64_t> host;
  /// Largest stack of a thread.
  std::int64_t stackBytes = 0;
  /// Address space in use before other threads start.
  std::int64_t addressSpaceInUse = 0;
};

/// Memory that the process may use; 0: not known.
struct ProcessMemoryLimit
{
  std::int64_t bytes = 0;
  MemorySource source = MemorySource::Unknown;

  bool operator==(const ProcessMemoryLimit&) const = default;
};

/// Returns the smallest of the known limits. The process leaves a part of what
/// it shares to others, and of a resource limit what threads reserve.
ProcessMemoryLimit MemoryLimitOf(const MemoryFacts& aFacts,
                                 std::int64_t aThreads);

}
