/// @file
/// HTTP messages with complete bodies.
#pragma once

#include "baobab/core/memory_ledger.hpp"

#include <string>
#include <vector>

namespace baobab {

struct HeaderField
{
  std::string name;
  std::string value;

  bool operator==(const HeaderField&) const = default;
};

/// A caller's request with its complete body.
struct Request
{
  /// Name of the service that the request is routed to.
  std::string service;
  std::string method;
  /// Path and query of the request line.
  std::string target;
  std::vector<HeaderField> headers;
  std::string body;
  HeldMemory held{};

  bool operator==(const Request&) const = default;
};

/// A target's answer with its complete body.
struct Response
{
  unsigned status = 0;
  std::vector<HeaderField> headers;
  std::string body;
  HeldMemory held{};

  bool operator==(const Response&) const = default;
};

/// Returns true for the statuses of the classes that HTTP defines, from 100 to
/// 599.
constexpr bool
IsDefinedStatus(unsigned aStatus)
{
  constexpr unsigned kFirst = 100;
  constexpr unsigned kLast = 599;
  return aStatus >= kFirst && aStatus <= kLast;
}

/// Returns true for the statuses from 100 to 199, whose responses precede the
/// final one.
constexpr bool
IsInterim(unsigned aStatus)
{
  constexpr unsigned kContinue = 100;
  constexpr unsigned kOk = 200;
  return aStatus >= kContinue && aStatus < kOk;
}

/// Returns true for the statuses from 200 to 299.
constexpr bool
IsSuccess(unsigned aStatus)
{
  constexpr unsigned kOk = 200;
  constexpr unsigned kRedirect = 300;
  return aStatus >= kOk && aStatus < kRedirect;
}

}
