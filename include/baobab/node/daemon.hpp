/// @file
/// The whole daemon: ingress on its workers, admission and control beside.
#pragma once

#include "baobab/core/result.hpp"
#include "baobab/core/settings.hpp"

namespace baobab {

/// Runs a daemon until SIGTERM or SIGINT, then drains it. Fails with System
/// if an address cannot be used.
Result<Done> RunDaemon(const Settings& aSettings);

}
