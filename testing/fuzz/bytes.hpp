/// @file
/// The fuzzer's entry point hands bytes over as a view.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace baobab {

/// Feeds one input to the decoder under test.
void Fuzz(std::span<const std::uint8_t> aBytes);

/// The same bytes as text.
inline std::string_view
AsText(std::span<const std::uint8_t> aBytes)
{
  return { reinterpret_cast<const char*>(aBytes.data()), aBytes.size() };
}

/// A copy of bytes on an 8-byte boundary, as frames and datagrams are read.
class AlignedBytes
{
public:
  explicit AlignedBytes(std::span<const std::uint8_t> aBytes)
    : words(aBytes.size() / sizeof(std::uint64_t) + 1)
    , size(aBytes.size())
  {
    std::ranges::copy(aBytes,
                      reinterpret_cast<std::uint8_t*>(this->words.data()));
  }

  std::span<const std::uint8_t> Span() const
  {
    return { reinterpret_cast<const std::uint8_t*>(this->words.data()),
             this->size };
  }

private:
  std::vector<std::uint64_t> words;
  std::size_t size;
};

}

// NOLINTNEXTLINE(readability-identifier-naming): the name is the fuzzer's.
extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  baobab::Fuzz({ aData, aSize });
  return 0;
}
