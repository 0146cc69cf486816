#include "http_convert.hpp"

#include "baobab/core/http_syntax.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace baobab {
namespace {

std::string_view
ToStringView(boost::beast::string_view aText)
{
  return { aText.data(), aText.size() };
}

}

bool
IsHopByHop(std::string_view aName)
{
  constexpr std::array<std::string_view, 9> kHopByHop = {
    "connection", "keep-alive",       "transfer-encoding",
    "te",         "trailer",          "upgrade",
    "expect",     "proxy-connection", "content-length",
  };
  return std::ranges::any_of(kHopByHop, [&](std::string_view aHopByHop) {
    return SameHeaderName(aHopByHop, aName);
  });
}

bool
HasNoBody(std::string_view aMethod, unsigned aStatus)
{
  constexpr unsigned kNoContent = 204;
  constexpr unsigned kNotModified = 304;
  return aMethod == "HEAD" || aStatus == kNoContent ||
         aStatus == kNotModified || aStatus < 200;
}

HttpHead
HeadOf(const http::request<http::string_body>& aMessage)
{
  return { ToStringView(aMessage.method_string()),
           ToStringView(aMessage.target()),
           WithoutPort(ToStringView(aMessage[http::field::host])) };
}

Request
ToRequest(http::request<http::string_body>&& aMessage)
{
  return { "",
           std::string(ToStringView(aMessage.method_string())),
           std::string(ToStringView(aMessage.target())),
           EndToEndHeaders(aMessage),
           std::move(aMessage.body()) };
}

http::response<http::string_body>
ToMessage(Response aResponse,
          std::string_view aMethod,
          unsigned aVersion,
          bool aKeepAlive)
{
  http::response<http::string_body> message;
  message.version(aVersion);
  message.result(aResponse.status);
  for (const HeaderField& field : aResponse.headers) {
    message.insert(field.name, field.value);
  }
  message.keep_alive(aKeepAlive);
  if (!HasNoBody(aMethod, aResponse.status)) {
    message.body() = std::move(aResponse.body);
    message.content_length(message.body().size());
  } else if (aMethod == "HEAD") {
    message.content_length(aResponse.body.size());
  }
  return message;
}

}
