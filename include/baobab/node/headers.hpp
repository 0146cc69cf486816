/// @file
/// Names of the HTTP headers that daemons add to requests and responses.
#pragma once

#include <string_view>

namespace baobab {

/// Response header for callers: `not-run` or `unknown` on a failed call.
constexpr std::string_view kOutcomeHeader = "Baobab-Outcome";
/// Response header of a refused call: a daemon has already retried it. Read
/// from targets and sent to callers.
constexpr std::string_view kRetriedHeader = "Baobab-Retried";
/// Request header for targets: ID of the attempt, as in the logs.
constexpr std::string_view kCallIdHeader = "Baobab-Call";

/// Returns true for headers with the prefix `Baobab-` in any case. They are
/// not passed on from callers to targets, nor from targets to callers.
bool IsReservedHeader(std::string_view aName);

}
