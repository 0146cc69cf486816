#include "baobab/net/log_line.hpp"

#include <chrono>
#include <cstdio>
#include <utility>

namespace baobab {
namespace {

/// Bytes reserved for a line; enough for most.
constexpr std::size_t kReservedLineBytes = 384;

/// Longer values are cut, so that data sent by callers cannot fill the log.
constexpr std::size_t kMaxValueBytes = 512;

void
AppendEscaped(std::string& aText, std::string_view aValue)
{
  constexpr unsigned char kFirstPrintable = 0x20;
  constexpr unsigned char kLastPrintable = 0x7e;
  for (const char byte : aValue) {
    if (byte == '"' || byte == '\\') {
      aText += '\\';
      aText += byte;
    } else if (const auto code = static_cast<unsigned char>(byte);
               code < kFirstPrintable || code > kLastPrintable) {
      char escape[8];
      std::snprintf(escape, sizeof escape, "\\u%04x", code);
      aText += escape;
    } else {
      aText += byte;
    }
  }
}

/// True if a value needs no quotes in a text line.
bool
IsPlain(std::string_view aValue)
{
  return !aValue.empty() &&
         aValue.find_first_of(" \"\\=\n\r\t") == std::string_view::npos;
}

}

LogLine::LogLine(LogFormat aFormat)
  : format(aFormat)
{
  this->text.reserve(kReservedLineBytes);
  if (this->format == LogFormat::Json) {
    this->text += '{';
  }
}

void
LogLine::AddName(std::string_view aName)
{
  const bool first = this->text.size() <= 1;
  if (this->format == LogFormat::Json) {
    this->text += first ? "\"" : ",\"";
    this->text += aName;
    this->text += "\":";
    return;
  }
  this->text += first ? "" : " ";
  this->text += aName;
  this->text += '=';
}

void
LogLine::AddUnquoted(std::string_view aName, std::string_view aText)
{
  this->AddName(aName);
  this->text += aText;
}

void
LogLine::Add(std::string_view aName, std::string_view aValue)
{
  this->AddName(aName);
  const std::string_view value = aValue.substr(0, kMaxValueBytes);
  if (this->format == LogFormat::Text && IsPlain(value)) {
    this->text += value;
    return;
  }
  this->text += '"';
  AppendEscaped(this->text, value);
  this->text += '"';
}

void
LogLine::Add(std::string_view aName, const char* aValue)
{
  this->Add(aName, std::string_view(aValue));
}

void
LogLine::Add(std::string_view aName, double aValue)
{
  char number[32];
  std::snprintf(number, sizeof number, "%.6g", aValue);
  this->AddUnquoted(aName, number);
}

void
LogLine::Add(std::string_view aName, bool aValue)
{
  this->AddUnquoted(aName, aValue ? "true" : "false");
}

void
LogLine::Add(std::string_view aName, Duration aValue)
{
  char number[32];
  std::snprintf(number,
                sizeof number,
                "%.3f",
                std::chrono::duration<double, std::milli>(aValue).count());
  this->AddUnquoted(aName, number);
}

void
LogLine::Add(std::string_view aName, const Endpoint& aValue)
{
  this->Add(aName, std::string_view(ToString(aValue)));
}

void
LogLine::Add(std::string_view aName, const CallId& aValue)
{
  this->Add(aName, std::string_view(ToString(aValue)));
}

void
LogLine::Add(std::string_view aName, const Error& aValue)
{
  this->Add(aName, std::string_view(Describe(aValue)));
}

std::string
LogLine::Finish() &&
{
  if (this->format == LogFormat::Json) {
    this->text += '}';
  }
  return std::move(this->text);
}

}
