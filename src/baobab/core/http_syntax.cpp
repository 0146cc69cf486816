#include "baobab/core/http_syntax.hpp"

#include <algorithm>
#include <cctype>

namespace baobab {
namespace {

bool
IsTokenCharacter(char aCharacter)
{
  constexpr std::string_view kPunctuation = "!#$%&'*+-.^_`|~";
  return (aCharacter >= '0' && aCharacter <= '9') ||
         (aCharacter >= 'A' && aCharacter <= 'Z') ||
         (aCharacter >= 'a' && aCharacter <= 'z') ||
         kPunctuation.find(aCharacter) != std::string_view::npos;
}

bool
IsControl(char aCharacter)
{
  constexpr unsigned char kFirstPrintable = 0x20;
  constexpr unsigned char kDelete = 0x7f;
  const auto byte = static_cast<unsigned char>(aCharacter);
  return byte < kFirstPrintable || byte == kDelete;
}

}

bool
SameHeaderName(std::string_view aLeft, std::string_view aRight)
{
  return std::ranges::equal(aLeft, aRight, {}, ::tolower, ::tolower);
}

bool
IsToken(std::string_view aText)
{
  return !aText.empty() && std::ranges::all_of(aText, IsTokenCharacter);
}

bool
IsFieldValue(std::string_view aText)
{
  return std::ranges::none_of(aText, [](char aCharacter) {
    return IsControl(aCharacter) && aCharacter != '\t';
  });
}

}
