/// @file
/// Conversion between Beast's messages and those of this project.
#pragma once

#include "baobab/core/http_message.hpp"
#include "baobab/net/http_server.hpp"

#include <boost/beast/http.hpp>

namespace baobab {

namespace http = boost::beast::http;

/// True for headers that apply to a single connection and are not forwarded.
bool IsHopByHop(std::string_view aName);

/// Returns all headers but the hop-by-hop ones.
template<class Fields>
std::vector<HeaderField>
EndToEndHeaders(const Fields& aFields)
{
  std::vector<HeaderField> headers;
  for (const auto& field : aFields) {
    const std::string_view name(field.name_string().data(),
                                field.name_string().size());
    if (!IsHopByHop(name)) {
      headers.push_back(
        { std::string(name),
          std::string(field.value().data(), field.value().size()) });
    }
  }
  return headers;
}

/// True if a response to a method with a status has no body.
bool HasNoBody(std::string_view aMethod, unsigned aStatus);

/// Returns the head of a request, which refers to the message.
HttpHead HeadOf(const http::request<http::string_body>& aMessage);

/// Returns a request without its hop-by-hop headers.
Request ToRequest(http::request<http::string_body>&& aMessage);

/// Returns the message of a response to a method, for a version of HTTP.
http::response<http::string_body> ToMessage(Response aResponse,
                                            std::string_view aMethod,
                                            unsigned aVersion,
                                            bool aKeepAlive);

}
