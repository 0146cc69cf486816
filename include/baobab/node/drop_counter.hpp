/// @file
#pragma once

#include "baobab/core/time.hpp"
#include "baobab/net/log_event.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace baobab {

/// Counts what was dropped by reason, and logs each reason at a bounded rate.
class DropCounter
{
public:
  /// Event with the reason and the number of drops since its last line.
  using Event = LogEvent<2>;

  /// Drops for one reason.
  struct Drops
  {
    std::uint64_t total = 0;
    std::uint64_t unlogged = 0;
    TimePoint nextLine;
  };

  using ByReason = std::map<std::string, Drops, std::less<>>;

  explicit DropCounter(const Event& aEvent)
    : event(aEvent)
  {
  }

  /// Counts one drop. Logs it unless a line with the same reason was logged
  /// in the last seconds.
  void Record(std::string_view aReason, TimePoint aNow);

  /// Drops for any reason.
  std::uint64_t Total() const;

  const ByReason& Reasons() const { return this->reasons; }

private:
  const Event& event;
  ByReason reasons;
};

}
