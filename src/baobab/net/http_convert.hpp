/// @file
/// Conversion between Beast messages and the project's own.
#pragma once

#include "baobab/core/http_message.hpp"

#include <boost/beast/http.hpp>

namespace baobab {

namespace http = boost::beast::http;

/// True for headers that concern one connection only.
bool IsHopByHop(std::string_view aName);

/// Copies the end-to-end headers.
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

/// True if a response to this method with this status has no body.
bool HasNoBody(std::string_view aMethod, unsigned aStatus);

}
