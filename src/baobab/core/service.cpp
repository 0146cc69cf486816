#include "baobab/core/service.hpp"

#include <array>
#include <cctype>
#include <charconv>
#include <map>
#include <optional>

namespace baobab {
namespace {

constexpr std::string_view kRoutes = "routes.";
constexpr std::string_view kWorkspaces = "workspaces.";

/// Splits a key such as `routes.0.host` into the index of the item and the key
/// within the item. Returns nothing if the key does not belong to the list.
/// @param aList key of the list and a dot
std::optional<std::pair<std::size_t, std::string>>
SplitItemKey(std::string_view aList, const std::string& aKey)
{
  std::size_t index = 0;
  const char* last = aKey.data() + aKey.size();
  if (!aKey.starts_with(aList)) {
    return std::nullopt;
  }
  const auto [end, code] =
    std::from_chars(aKey.data() + aList.size(), last, index);
  if (code != std::errc{} || end == last || *end != '.') {
    return std::nullopt;
  }
  return std::pair(index, std::string(end + 1, last));
}

/// Reads the items of a list and removes their entries.
template<class T>
Result<std::vector<T>>
TakeItems(std::string_view aList,
          const std::vector<Field<T>>& aSchema,
          std::vector<TomlEntry>& aEntries,
          std::string_view aFile)
{
  std::map<std::size_t, std::vector<TomlEntry>> grouped;
  for (const TomlEntry& entry : aEntries) {
    if (auto key = SplitItemKey(aList, entry.key)) {
      TomlEntry item = entry;
      item.key = std::move(key->second);
      grouped[key->first].push_back(std::move(item));
    }
  }
  std::vector<T> items;
  for (const auto& [index, entries] : grouped) {
    auto item = ReadEntries(aSchema, entries, aFile);
    if (!Succeeded(item)) {
      return Failure(item);
    }
    items.push_back(std::move(Value(item)));
  }
  std::erase_if(aEntries, [&](const TomlEntry& aEntry) {
    return SplitItemKey(aList, aEntry.key).has_value();
  });
  return items;
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
IsServiceName(std::string_view aName)
{
  constexpr std::size_t kMaxNameLength = 63;
  return !aName.empty() && aName.size() <= kMaxNameLength &&
         std::ranges::all_of(aName, [](unsigned char aChar) {
           return std::islower(aChar) != 0 || std::isdigit(aChar) != 0 ||
                  aChar == '-' || aChar == '_';
         });
}

/// An error that concerns the document as a whole.
Error
DocumentError(std::string_view aFile,
              ErrorKind aKind,
              std::string_view aMessage,
              std::string_view aRemedy)
{
  return { aKind,
           std::string(aFile) + ":1:1: " + std::string(aMessage),
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
  auto routes = TakeItems(kRoutes, RouteSchema(), Value(entries), aFile);
  if (!Succeeded(routes)) {
    return Failure(routes);
  }
  auto workspaces =
    TakeItems(kWorkspaces, WorkspaceSchema(), Value(entries), aFile);
  if (!Succeeded(workspaces)) {
    return Failure(workspaces);
  }
  auto parsed = ReadEntries(ServiceSchema(), Value(entries), aFile);
  if (!Succeeded(parsed)) {
    return parsed;
  }
  ServiceSpec& service = Value(parsed);
  service.routes = std::move(Value(routes));
  service.workspaces = std::move(Value(workspaces));
  if (auto error = CheckWorkspaces(service.workspaces)) {
    return DocumentError(aFile, error->kind, error->message, error->remedy);
  }
  if (!IsServiceName(service.name)) {
    return DocumentError(aFile,
                         ErrorKind::OutOfRange,
                         "'name' is not a valid service name",
                         "use 1 to 63 lower-case letters, digits, hyphens and "
                         "underscores");
  }
  if (!service.retired && service.hosts.empty() && service.pathPrefix.empty() &&
      !service.unrouted && service.routes.empty()) {
    return DocumentError(aFile,
                         ErrorKind::MissingKey,
                         "none of 'hosts', 'path_prefix' and 'routes' is given",
                         "add one of them, or set 'unrouted' if only routes of "
                         "other files lead to the service");
  }
  const auto isPrefix = [](const std::string& aPrefix) {
    return aPrefix.empty() || aPrefix.front() == '/';
  };
  if (!isPrefix(service.pathPrefix) ||
      !std::ranges::all_of(service.routes, isPrefix, &RouteSpec::pathPrefix)) {
    return DocumentError(aFile,
                         ErrorKind::OutOfRange,
                         "a 'path_prefix' does not start with '/'",
                         "write it as it appears in the request line");
  }
  if (service.measuring.crossRegionBytesPerSecond >
      service.measuring.bytesPerSecond) {
    return DocumentError(
      aFile,
      ErrorKind::OutOfRange,
      "'measuring.cross_region_bytes_per_second' exceeds "
      "'measuring.bytes_per_second'",
      "decrease it or increase 'measuring.bytes_per_second'");
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
