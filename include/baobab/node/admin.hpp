/// @file
/// HTTP handlers of the admin port (announcements, health, metrics) and of the
/// separate readiness and metrics ports.
#pragma once

#include "baobab/core/result.hpp"
#include "baobab/decision/announcement_filter.hpp"
#include "baobab/net/http_server.hpp"

#include <functional>
#include <string>

namespace baobab {

/// Parses the JSON body of an announcement. Fails with BadMessage; the error
/// names the invalid member.
/// @param aInstance instance of the target, from the request path; if empty,
///   `seq` and `born` are ignored
Result<TargetAnnouncement> ParseAnnouncement(std::string_view aJson,
                                             std::string_view aInstance = "");

/// Functions of the daemon that the admin port calls.
struct AdminHooks
{
  std::function<void(const TargetAnnouncement&)> announce;
  /// Removes a target instance that reported its departure.
  std::function<void(std::string_view)> depart;
  std::function<bool()> ready;
  /// Returns the metrics page.
  std::function<std::string()> metrics;
};

/// Returns the handler of the admin port. None of its endpoints controls the
/// process.
HttpHandler AdminHandler(AdminHooks aHooks);

/// Returns a handler that serves only `/readyz`.
HttpHandler ReadinessHandler(std::function<bool()> aReady);

/// Returns a handler that serves only `/metrics`.
HttpHandler MetricsHandler(std::function<std::string()> aMetrics);

}
