#include "baobab/core/service.hpp"

#include <array>
#include <cctype>
#include <charconv>
#include <map>
#include <optional>

namespace baobab {
namespace {

/// Index of the route that a key such as `routes.0.host` belongs to, and the
/// key within it.
std::optional<std::pair<std::size_t, std::string>>
RouteKey(const std::string& aKey)
{
  constexpr std::string_view kList = "routes.";
  std::size_t index = 0;
  const char* last = aKey.data() + aKey.size();
  if (!aKey.starts_with(kList)) {
    return std::nullopt;
  }
  const auto [end, code] =
    std::from_chars(aKey.data() + kList.size(), last, index);
  if (code != std::errc{} || end == last || *end != '.') {
    return std::nullopt;
  }
  return std::pair(index, std::string(end + 1, last));
}

Result<std::vector<RouteSpec>>
ReadRoutes(const std::vector<TomlEntry>& aEntries, std::string_view aFile)
{
  std::map<std::size_t, std::vector<TomlEntry>> grouped;
  for (const TomlEntry& entry : aEntries) {
    if (auto key = RouteKey(entry.key)) {
      TomlEntry inner = entry;
      inner.key = std::move(key->second);
      grouped[key->first].push_back(std::move(inner));
    }
  }
  std::vector<RouteSpec> routes;
  for (const auto& [index, entries] : grouped) {
    auto route = ReadEntries(RouteSchema(), entries, aFile);
    if (!Succeeded(route)) {
      return Failure(route);
    }
    routes.push_back(std::move(Value(route)));
  }
  return routes;
}

bool
StartsWithAny(const std::vector<std::string>& aPrefixes,
              std::string_view aTarget)
{
  return std::ranges::any_of(aPrefixes, [&](const std::string& aPrefix) {
    return aTarget.starts_with(aPrefix);
  });
}

bool
IsName(std::string_view aName)
{
  constexpr std::size_t kLongestName = 63;
  return !aName.empty() && aName.size() <= kLongestName &&
         std::ranges::all_of(aName, [](unsigned char aChar) {
           return std::islower(aChar) != 0 || std::isdigit(aChar) != 0 ||
                  aChar == '-' || aChar == '_';
         });
}

Error
DocumentError(std::string_view aFile,
              ErrorKind aKind,
              std::string_view aWhat,
              std::string_view aRemedy)
{
  return { aKind,
           std::string(aFile) + ":1:1: " + std::string(aWhat),
           std::string(aRemedy) };
}

}

Result<ServiceSpec>
ParseService(std::string_view aText, std::string_view aFile)
{
  auto entries = ReadToml(aText, aFile);
  if (!Succeeded(entries)) {
    return Failure(entries);
  }
  auto routes = ReadRoutes(Value(entries), aFile);
  if (!Succeeded(routes)) {
    return Failure(routes);
  }
  std::erase_if(Value(entries), [](const TomlEntry& aEntry) {
    return RouteKey(aEntry.key).has_value();
  });
  auto parsed = ReadEntries(ServiceSchema(), Value(entries), aFile);
  if (!Succeeded(parsed)) {
    return parsed;
  }
  ServiceSpec& service = Value(parsed);
  service.routes = std::move(Value(routes));
  if (!IsName(service.name)) {
    return DocumentError(aFile,
                         ErrorKind::OutOfRange,
                         "'name' is not a service name",
                         "use 1 to 63 lower-case letters, digits, hyphens and "
                         "underscores");
  }
  if (!service.retired && service.hosts.empty() && service.pathPrefix.empty() &&
      !service.unrouted && service.routes.empty()) {
    return DocumentError(aFile,
                         ErrorKind::MissingKey,
                         "neither 'hosts', 'path_prefix' nor 'routes' is given",
                         "say by which Host or path callers reach the service, "
                         "or set 'unrouted'");
  }
  const auto isPrefix = [](const std::string& aPrefix) {
    return aPrefix.empty() || aPrefix.front() == '/';
  };
  if (!isPrefix(service.pathPrefix) ||
      !std::ranges::all_of(service.routes, isPrefix, &RouteSpec::pathPrefix)) {
    return DocumentError(aFile,
                         ErrorKind::OutOfRange,
                         "a 'path_prefix' does not start with '/'",
                         "write it as it stands in the request line");
  }
  if (service.measuring.crossRegionBytesPerSecond >
      service.measuring.bytesPerSecond) {
    return DocumentError(
      aFile,
      ErrorKind::OutOfRange,
      "'measuring.cross_region_bytes_per_second' exceeds the whole budget",
      "lower it or raise 'measuring.bytes_per_second'");
  }
  return parsed;
}

bool
IsIdempotent(const ServiceSpec& aService,
             std::string_view aMethod,
             std::string_view aTarget)
{
  if (StartsWithAny(aService.nonIdempotentPaths, aTarget)) {
    return false;
  }
  if (StartsWithAny(aService.idempotentPaths, aTarget)) {
    return true;
  }
  constexpr std::array<std::string_view, 6> kIdempotentMethods = {
    "GET", "HEAD", "PUT", "DELETE", "OPTIONS", "TRACE"
  };
  return std::ranges::find(kIdempotentMethods, aMethod) !=
         kIdempotentMethods.end();
}

std::vector<RouteSpec>
RoutesOf(const ServiceSpec& aService)
{
  std::vector<RouteSpec> routes;
  for (const std::string& host : aService.hosts) {
    routes.push_back({ host, aService.pathPrefix });
  }
  if (aService.hosts.empty() && !aService.pathPrefix.empty()) {
    routes.push_back({ "", aService.pathPrefix });
  }
  std::ranges::copy(aService.routes, std::back_inserter(routes));
  for (RouteSpec& route : routes) {
    if (route.timeout == Millis::zero()) {
      route.timeout = aService.deadline;
    }
    if (route.attempts == 0) {
      route.attempts = aService.retry.attempts;
    }
    if (route.objective == Millis::zero()) {
      route.objective = aService.objective.latency;
    }
    if (route.split.empty()) {
      route.split.push_back({ aService.name, 1 });
    }
  }
  return routes;
}

bool
IsIdempotent(const RouteSpec& aRoute,
             const ServiceSpec& aService,
             std::string_view aMethod,
             std::string_view aTarget)
{
  switch (aRoute.kind) {
    case RouteKind::Idempotent:
    case RouteKind::Download:
      return true;
    case RouteKind::NonIdempotent:
      return false;
    case RouteKind::ByMethod:
      break;
  }
  return IsIdempotent(aService, aMethod, aTarget);
}

}
