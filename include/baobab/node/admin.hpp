/// @file
/// The loopback port for announcements, health and metrics.
#pragma once

#include "baobab/core/result.hpp"
#include "baobab/decision/announcement_filter.hpp"
#include "baobab/net/http_server.hpp"

#include <functional>
#include <string>

namespace baobab {

/// Parses an announcement. Fails with BadMessage, naming the member.
/// @param aInstance identity of the target; without one no `seq` is needed
Result<TargetAnnouncement> ParseAnnouncement(std::string_view aJson,
                                             std::string_view aInstance = "");

/// What the admin port shows and accepts.
struct AdminHooks
{
  std::function<void(const TargetAnnouncement&)> announce;
  /// A target says that it is gone.
  std::function<void(std::string_view)> depart;
  std::function<bool()> ready;
  std::function<std::string()> metrics;
};

/// Handler for the HTTP server of the admin port. Nothing on it commands the
/// process.
HttpHandler AdminHandler(AdminHooks aHooks);

/// Handler for an address that only tells whether the daemon is ready.
HttpHandler ReadinessHandler(std::function<bool()> aReady);

/// Answers `/metrics`.
HttpHandler MetricsHandler(std::function<std::string()> aMetrics);

}
