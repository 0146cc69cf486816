#include "baobab/node/admin.hpp"

#include <array>
#include <boost/json.hpp>

namespace baobab {
namespace {

namespace json = boost::json;

constexpr std::size_t kLargestAnnouncement = 4096;

Error
Bad(std::string_view aMember, std::string_view aRemedy)
{
  return { ErrorKind::BadMessage,
           "announcement: '" + std::string(aMember) + "' is missing or wrong",
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

std::string
TextMember(const json::object& aObject, std::string_view aName)
{
  const auto* value =
    aObject.if_contains(json::string_view(aName.data(), aName.size()));
  return value != nullptr && value->is_string()
           ? json::value_to<std::string>(*value)
           : std::string();
}

Response
Announce(const AdminHooks& aHooks, const Request& aRequest)
{
  auto parsed = ParseAnnouncement(aRequest.body);
  if (!Succeeded(parsed)) {
    return TextResponse(400, Describe(Failure(parsed)) + "\n");
  }
  aHooks.announce(Value(parsed));
  return TextResponse(200, "ok\n");
}

}

Result<TargetAnnouncement>
ParseAnnouncement(std::string_view aJson)
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
  announcement.announcement.service = TextMember(object, "service");
  if (announcement.announcement.service.empty()) {
    return Bad("service", "give the name of the service file");
  }
  auto address = ParseEndpoint(TextMember(object, "address"));
  if (!Succeeded(address)) {
    return Bad("address", Failure(address).remedy);
  }
  announcement.address = Value(address);
  const auto state = ParseState(TextMember(object, "state"));
  if (!state) {
    return Bad("state", "use starting, ready or leaving");
  }
  announcement.announcement.state = *state;
  const auto* slots = object.if_contains("slots");
  constexpr std::int64_t kMostSlots = 10000;
  if (slots == nullptr || !slots->is_int64() || slots->as_int64() < 1 ||
      slots->as_int64() > kMostSlots) {
    return Bad("slots", "give a number from 1 to 10000");
  }
  announcement.announcement.slots =
    static_cast<std::uint16_t>(slots->as_int64());
  return announcement;
}

HttpHandler
AdminHandler(AdminHooks aHooks)
{
  return {
    [](const HttpHead&) { return kLargestAnnouncement; },
    [hooks = std::move(aHooks)](Request&& aRequest) {
      if (aRequest.target == "/announce" && aRequest.method == "POST") {
        return Announce(hooks, aRequest);
      }
      if (aRequest.target == "/healthz") {
        return TextResponse(200, "ok\n");
      }
      if (aRequest.target == "/readyz") {
        return hooks.ready() ? TextResponse(200, "ready\n")
                             : TextResponse(503, "not ready\n");
      }
      if (aRequest.target == "/metrics") {
        return TextResponse(200, hooks.metrics(), "text/plain; version=0.0.4");
      }
      return TextResponse(404, "no such page\n");
    },
    [](HttpFault) { return TextResponse(400, "bad request\n"); },
  };
}

}
