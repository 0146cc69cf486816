#include "baobab/node/admin.hpp"

#include "baobab/net/log.hpp"
#include "baobab/net/log_events.hpp"

#include <algorithm>
#include <array>
#include <boost/json.hpp>

namespace baobab {
namespace {

namespace json = boost::json;

constexpr std::size_t kMaxAnnouncementBytes = 4096;

/// Longest time for which a target may say that it stays cold.
constexpr std::int64_t kMaxWarmupMs = 600000;

Error
InvalidMember(std::string_view aMember, std::string_view aRemedy)
{
  return { ErrorKind::BadMessage,
           "announcement: '" + std::string(aMember) + "' is missing or invalid",
           std::string(aRemedy) };
}

std::optional<TargetState>
ParseState(std::string_view aText)
{
  constexpr std::array<TargetState, 3> kStates = { TargetState::Starting,
                                                   TargetState::Ready,
                                                   TargetState::Leaving };
  for (const TargetState state : kStates) {
    if (Name(state) == aText) {
      return state;
    }
  }
  return std::nullopt;
}

/// Returns a string member; empty if it is absent or of another type.
std::string
StringMember(const json::object& aObject, std::string_view aName)
{
  const auto* value =
    aObject.if_contains(json::string_view(aName.data(), aName.size()));
  return value != nullptr && value->is_string()
           ? json::value_to<std::string>(*value)
           : std::string();
}

/// Returns an integer member; nothing if it is absent or of another type.
std::optional<std::int64_t>
IntegerMember(const json::object& aObject, std::string_view aName)
{
  const auto* value =
    aObject.if_contains(json::string_view(aName.data(), aName.size()));
  return value != nullptr && value->is_int64()
           ? std::optional(value->as_int64())
           : std::nullopt;
}

constexpr std::string_view kTargetsPrefix = "/targets/";
constexpr std::string_view kMetricsPath = "/metrics";

Response
Announce(const AdminHooks& aHooks,
         const Request& aRequest,
         std::string_view aInstance)
{
  auto parsed = ParseAnnouncement(aRequest.body, aInstance);
  if (!Succeeded(parsed)) {
    Log(kAnnouncementInvalid, Failure(parsed));
    return TextResponse(400, Describe(Failure(parsed)) + "\n");
  }
  aHooks.announce(Value(parsed));
  return TextResponse(200, "{}", "application/json");
}

Response
ReadinessResponse(bool aReady)
{
  return aReady ? TextResponse(200, "ready\n")
                : TextResponse(503, "not ready\n");
}

Response
MetricsResponse(std::string aPage)
{
  return TextResponse(200, std::move(aPage), "text/plain; version=0.0.4");
}

Response
ServeTarget(const AdminHooks& aHooks, const Request& aRequest)
{
  const auto instance = aRequest.target.substr(kTargetsPrefix.size());
  if (aRequest.method == "PUT") {
    return Announce(aHooks, aRequest, instance);
  }
  if (aRequest.method == "DELETE") {
    aHooks.depart(instance);
    return TextResponse(200, "{}", "application/json");
  }
  return TextResponse(405, "use PUT or DELETE\n");
}

}

Result<TargetAnnouncement>
ParseAnnouncement(std::string_view aJson, std::string_view aInstance)
{
  boost::system::error_code error;
  const json::value value =
    json::parse(json::string_view(aJson.data(), aJson.size()), error);
  if (error || !value.is_object()) {
    return Error{ ErrorKind::BadMessage,
                  "the announcement is not a JSON object",
                  "send {\"service\", \"address\", \"slots\", \"state\"}" };
  }
  const json::object& object = value.as_object();
  TargetAnnouncement announcement;
  announcement.announcement.service = StringMember(object, "service");
  if (announcement.announcement.service.empty()) {
    return InvalidMember("service", "use the name from the service file");
  }
  auto address = ParseEndpoint(StringMember(object, "address"));
  if (!Succeeded(address)) {
    return InvalidMember("address", Failure(address).remedy);
  }
  announcement.address = Value(address);
  const auto state = ParseState(StringMember(object, "state"));
  if (!state) {
    return InvalidMember("state", "use starting, ready or leaving");
  }
  announcement.announcement.state = *state;
  const auto* slots = object.if_contains("slots");
  constexpr std::int64_t kMaxSlots = 10000;
  if (slots == nullptr || !slots->is_int64() || slots->as_int64() < 1 ||
      slots->as_int64() > kMaxSlots) {
    return InvalidMember("slots", "use an integer from 1 to 10000");
  }
  announcement.announcement.slots =
    static_cast<std::uint16_t>(slots->as_int64());
  if (const auto left = IntegerMember(object, "warmup_left_ms")) {
    announcement.warmupLeft =
      Millis(std::clamp<std::int64_t>(*left, 0, kMaxWarmupMs));
  }
  announcement.instance = aInstance;
  if (aInstance.empty()) {
    return announcement;
  }
  const auto sequence = IntegerMember(object, "seq");
  if (!sequence) {
    return InvalidMember(
      "seq", "use an integer that increases with each announcement");
  }
  announcement.sequence = *sequence;
  if (object.contains("born")) {
    const auto born = IntegerMember(object, "born");
    if (!born) {
      return InvalidMember(
        "born", "use the start time in milliseconds since the Unix epoch");
    }
    announcement.startedAtMs = *born;
  }
  return announcement;
}

HttpHandler
AdminHandler(AdminHooks aHooks)
{
  return {
    [](const HttpHead&) { return kMaxAnnouncementBytes; },
    [hooks = std::move(aHooks)](Request&& aRequest, DisconnectNotifier&) {
      if (aRequest.target == "/announce" && aRequest.method == "POST") {
        return Announce(hooks, aRequest, "");
      }
      if (aRequest.target.starts_with(kTargetsPrefix)) {
        return ServeTarget(hooks, aRequest);
      }
      if (aRequest.target == "/healthz") {
        return TextResponse(200, "ok\n");
      }
      if (aRequest.target == "/readyz") {
        return ReadinessResponse(hooks.ready());
      }
      if (aRequest.target == kMetricsPath) {
        return MetricsResponse(hooks.metrics());
      }
      return TextResponse(404, "not found\n");
    },
    [](HttpRequestError) { return TextResponse(400, "bad request\n"); },
  };
}

HttpHandler
ReadinessHandler(std::function<bool()> aReady)
{
  return {
    [](const HttpHead&) { return kMaxAnnouncementBytes; },
    [ready = std::move(aReady)](Request&& aRequest, DisconnectNotifier&) {
      return aRequest.target == "/readyz" ? ReadinessResponse(ready())
                                          : TextResponse(404, "not found\n");
    },
    [](HttpRequestError) { return TextResponse(400, "bad request\n"); },
  };
}

HttpHandler
MetricsHandler(std::function<std::string()> aMetrics)
{
  return {
    [](const HttpHead&) { return kMaxAnnouncementBytes; },
    [metrics = std::move(aMetrics)](Request&& aRequest, DisconnectNotifier&) {
      return aRequest.target == kMetricsPath ? MetricsResponse(metrics())
                                             : TextResponse(404, "not found\n");
    },
    [](HttpRequestError) { return TextResponse(400, "bad request\n"); },
  };
}

}
