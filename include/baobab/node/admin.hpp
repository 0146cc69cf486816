/// @file
/// The loopback port for announcements, health and metrics.
#pragma once

#include "baobab/core/result.hpp"
#include "baobab/decision/admission.hpp"
#include "baobab/net/http_server.hpp"

#include <functional>
#include <string>

namespace baobab {

/// What a target sends once a second.
struct TargetAnnouncement
{
  Announcement announcement;
  Endpoint address;
};

/// Parses an announcement. Fails with BadMessage, naming the member.
Result<TargetAnnouncement> ParseAnnouncement(std::string_view aJson);

/// What the admin port shows and accepts.
struct AdminHooks
{
  std::function<void(const TargetAnnouncement&)> announce;
  std::function<bool()> ready;
  std::function<std::string()> metrics;
};

/// Handler for the HTTP server of the admin port. Nothing on it commands the
/// process.
HttpHandler AdminHandler(AdminHooks aHooks);

}
