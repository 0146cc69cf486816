#include "toml_guard.hpp"

namespace baobab {
namespace {

/// Walks over a document, past its strings and comments.
class Walker
{
public:
  explicit Walker(std::string_view aText)
    : text(aText)
  {
  }

  std::optional<std::size_t> Run()
  {
    constexpr unsigned char kLastAscii = 0x7f;
    while (this->place < this->text.size()) {
      const char byte = this->text[this->place];
      if (byte == '#') {
        this->place = this->text.find('\n', this->place);
      } else if (byte == '"' || byte == '\'') {
        this->SkipString(byte);
      } else if (static_cast<unsigned char>(byte) > kLastAscii) {
        return this->place;
      } else {
        ++this->place;
      }
    }
    return std::nullopt;
  }

private:
  void SkipString(char aQuote)
  {
    const std::string_view rest = this->text.substr(this->place);
    const bool isLong =
      rest.size() > 2 && rest[1] == aQuote && rest[2] == aQuote;
    const std::size_t quotes = isLong ? 3 : 1;
    const std::string_view closing = rest.substr(0, quotes);
    this->place += quotes;
    while (this->place < this->text.size()) {
      if (this->text.substr(this->place).starts_with(closing)) {
        this->place += quotes;
        return;
      }
      const char byte = this->text[this->place];
      if (byte == '\n' && !isLong) {
        return;
      }
      this->place += aQuote == '"' && byte == '\\' ? 2 : 1;
    }
  }

  std::string_view text;
  std::size_t place = 0;
};

}

std::optional<std::size_t>
FindUnquotedNonAscii(std::string_view aText)
{
  return Walker(aText).Run();
}

}
