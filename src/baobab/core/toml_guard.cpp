#include "toml_guard.hpp"

namespace baobab {
namespace {

/// Scans a document, skipping its strings and comments.
class Scanner
{
public:
  explicit Scanner(std::string_view aText)
    : text(aText)
  {
  }

  std::optional<std::size_t> FindNonAscii()
  {
    constexpr unsigned char kLastAscii = 0x7f;
    while (this->offset < this->text.size()) {
      const char byte = this->text[this->offset];
      if (byte == '#') {
        this->offset = this->text.find('\n', this->offset);
      } else if (byte == '"' || byte == '\'') {
        this->SkipString(byte);
      } else if (static_cast<unsigned char>(byte) > kLastAscii) {
        return this->offset;
      } else {
        ++this->offset;
      }
    }
    return std::nullopt;
  }

private:
  void SkipString(char aQuote)
  {
    const std::string_view rest = this->text.substr(this->offset);
    const bool isMultiLine =
      rest.size() > 2 && rest[1] == aQuote && rest[2] == aQuote;
    const std::size_t quotes = isMultiLine ? 3 : 1;
    const std::string_view closing = rest.substr(0, quotes);
    this->offset += quotes;
    while (this->offset < this->text.size()) {
      if (this->text.substr(this->offset).starts_with(closing)) {
        this->offset += quotes;
        return;
      }
      const char byte = this->text[this->offset];
      if (byte == '\n' && !isMultiLine) {
        return;
      }
      this->offset += aQuote == '"' && byte == '\\' ? 2 : 1;
    }
  }

  std::string_view text;
  std::size_t offset = 0;
};

}

std::optional<std::size_t>
FindUnquotedNonAscii(std::string_view aText)
{
  return Scanner(aText).FindNonAscii();
}

}
