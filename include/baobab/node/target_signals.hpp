/// @file
#pragma once

#include "baobab/core/http_message.hpp"
#include "baobab/core/settings.hpp"

#include <optional>

namespace baobab {

/// What a target says of itself in the headers of each answer.
struct TargetSignals
{
  /// True if the target is leaving and must get no new calls.
  bool leaving = false;
  /// Requests a second that the target takes from all daemons together.
  std::optional<double> requestLimit;
};

/// Reads the signals of an answer. A limit that is no decimal number counts as
/// none.
TargetSignals ReadSignals(const Response& aAnswer, const HeaderNames& aNames);

}
