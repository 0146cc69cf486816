/// @file
/// Entry point of the fuzz targets, and conversions of the fuzzer's input.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace baobab {

/// Passes one input to the decoders under test; each fuzz target defines it.
void Fuzz(std::span<const std::uint8_t> aBytes);

/// Returns a view of the bytes as text.
inline std::string_view
AsText(std::span<const std::uint8_t> aBytes)
{
  return { reinterpret_cast<const char*>(aBytes.data()), aBytes.size() };
}

/// Copy of the input at an 8-byte boundary. The decoders of frames and
/// datagrams require that alignment.
class AlignedBytes
{
public:
  explicit AlignedBytes(std::span<const std::uint8_t> aBytes)
    : storage(aBytes.size() / sizeof(std::uint64_t) + 1)
    , size(aBytes.size())
  {
    std::ranges::copy(aBytes,
                      reinterpret_cast<std::uint8_t*>(this->storage.data()));
  }

  std::span<const std::uint8_t> Span() const
  {
    return { reinterpret_cast<const std::uint8_t*>(this->storage.data()),
             this->size };
  }

private:
  std::vector<std::uint64_t> storage;
  std::size_t size;
};

}

// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer requires this name.
extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  baobab::Fuzz({ aData, aSize });
  return 0;
}
