/// @file
#pragma once

#include "baobab/core/call_id.hpp"
#include "baobab/core/endpoint.hpp"
#include "baobab/core/error.hpp"
#include "baobab/core/time.hpp"

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>

namespace baobab {

/// Format of log lines.
enum class LogFormat : std::uint8_t
{
  Json,
  Text,
};

/// Builds a log line from named values. Durations are written in milliseconds.
class LogLine
{
public:
  explicit LogLine(LogFormat aFormat);

  void Add(std::string_view aName, std::string_view aValue);
  void Add(std::string_view aName, const char* aValue);
  void Add(std::string_view aName, double aValue);
  void Add(std::string_view aName, bool aValue);
  void Add(std::string_view aName, Duration aValue);
  void Add(std::string_view aName, const Endpoint& aValue);
  void Add(std::string_view aName, const CallId& aValue);
  void Add(std::string_view aName, const Error& aValue);

  template<std::integral I>
  void Add(std::string_view aName, I aValue)
  {
    this->AddUnquoted(aName, std::to_string(aValue));
  }

  /// Returns the finished line without a line break.
  std::string Finish() &&;

private:
  void AddUnquoted(std::string_view aName, std::string_view aText);
  void AddName(std::string_view aName);

  LogFormat format;
  std::string text;
};

}
