#include "baobab/node/workspace_access.hpp"

#include "baobab/core/http_syntax.hpp"
#include "baobab/node/responses.hpp"

#include <algorithm>
#include <string>

namespace baobab {
namespace {

constexpr std::string_view kKeyHeader = "Authorization";

bool
IsKeyHeader(const HeaderField& aField)
{
  return SameHeaderName(aField.name, kKeyHeader);
}

/// Returns the key in the value of an Authorization header; empty if it has
/// none.
std::string_view
KeyOf(std::string_view aValue)
{
  constexpr std::string_view kBlanks = " \t";
  const auto begin = std::min(aValue.find_first_not_of(kBlanks), aValue.size());
  aValue.remove_prefix(begin);
  aValue = aValue.substr(0, aValue.find_last_not_of(kBlanks) + 1);
  const auto end = std::min(aValue.find_first_of(kBlanks), aValue.size());
  // The names of schemes are compared like those of headers.
  if (!SameHeaderName(aValue.substr(0, end), "Bearer")) {
    return {};
  }
  const auto key =
    std::min(aValue.find_first_not_of(kBlanks, end), aValue.size());
  return aValue.substr(key);
}

}

std::string_view
Name(KeyCheck aCheck)
{
  switch (aCheck) {
    case KeyCheck::NotNeeded:
      return "not_needed";
    case KeyCheck::Valid:
      return "valid";
    case KeyCheck::Missing:
      return "missing";
    case KeyCheck::Unknown:
      return "unknown";
  }
  return "unknown";
}

CallAccess
CheckAccess(const WorkspaceIndex& aWorkspaces,
            const RouteSpec& aRoute,
            const std::vector<HeaderField>& aHeaders)
{
  CallAccess access;
  access.declared = aWorkspaces.Declared();
  if (!access.declared || aRoute.anonymous) {
    return access;
  }
  access.check = KeyCheck::Missing;
  const auto field = std::ranges::find_if(aHeaders, IsKeyHeader);
  if (field == aHeaders.end() ||
      std::ranges::count_if(aHeaders, IsKeyHeader) != 1) {
    return access;
  }
  const std::string_view key = KeyOf(field->value);
  if (key.empty()) {
    return access;
  }
  access.workspace = aWorkspaces.Find(key);
  access.check = access.workspace ? KeyCheck::Valid : KeyCheck::Unknown;
  return access;
}

void
ReplaceWorkspaceHeaders(std::vector<HeaderField>& aHeaders,
                        const CallAccess& aAccess,
                        std::string_view aName)
{
  std::erase_if(aHeaders, [&](const HeaderField& aField) {
    return SameHeaderName(aField.name, aName) ||
           (aAccess.declared && IsKeyHeader(aField));
  });
  if (aAccess.workspace) {
    aHeaders.push_back({ std::string(aName), aAccess.workspace->spec.name });
  }
}

std::uint8_t
CallPriority(const CallAccess& aAccess, const RouteSpec& aRoute)
{
  constexpr std::int64_t kLevels = 16;
  if (!aAccess.declared) {
    return static_cast<std::uint8_t>(aRoute.priority);
  }
  const auto level = [](std::int64_t aPriority) {
    return std::clamp<std::int64_t>(aPriority, 0, kLevels - 1);
  };
  const std::int64_t workspace =
    aAccess.workspace ? level(aAccess.workspace->spec.priority) : 0;
  return static_cast<std::uint8_t>(workspace * kLevels +
                                   level(aRoute.priority));
}

Response
NoAccessResponse(KeyCheck aCheck)
{
  Response response = MarkNotRun(TextResponse(
    401,
    aCheck == KeyCheck::Missing
      ? "Not run: the request needs the key of a workspace. Send it once, as "
        "'Authorization: Bearer KEY'.\n"
      : "Not run: the key belongs to no workspace. Send one that is valid.\n"));
  response.headers.push_back({ "WWW-Authenticate", "Bearer" });
  return response;
}

}
