/// @file
/// Whole HTTP messages as the decision code and the wire see them.
#pragma once

#include <string>
#include <vector>

namespace baobab {

struct HeaderField
{
  std::string name;
  std::string value;

  bool operator==(const HeaderField&) const = default;
};

/// A caller's request with its whole body.
struct Request
{
  std::string service;
  std::string method;
  /// Path and query.
  std::string target;
  std::vector<HeaderField> headers;
  std::string body;

  bool operator==(const Request&) const = default;
};

/// A target's answer with its whole body.
struct Response
{
  unsigned status = 0;
  std::vector<HeaderField> headers;
  std::string body;

  bool operator==(const Response&) const = default;
};

}
