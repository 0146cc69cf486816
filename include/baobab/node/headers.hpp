/// @file
/// HTTP headers that the product reads or writes.
#pragma once

#include <string_view>

namespace baobab {

/// To callers: `not-run` or `unknown` on a failed call.
constexpr std::string_view kOutcomeHeader = "Baobab-Outcome";
/// To callers and back: a daemon has already tried again.
constexpr std::string_view kRetriedHeader = "Baobab-Retried";
/// To targets: identity of the call. To callers: the same, for logs.
constexpr std::string_view kCallIdHeader = "Baobab-Call";

/// True for headers that must not be passed on from one hop to the next.
bool IsReservedHeader(std::string_view aName);

}
