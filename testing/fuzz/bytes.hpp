/// @file
/// The fuzzer's entry point hands bytes over as a view.
#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

namespace baobab {

/// Feeds one input to the decoder under test.
void Fuzz(std::span<const std::uint8_t> aBytes);

/// The same bytes as text.
inline std::string_view
AsText(std::span<const std::uint8_t> aBytes)
{
  return { reinterpret_cast<const char*>(aBytes.data()), aBytes.size() };
}

}

// NOLINTNEXTLINE(readability-identifier-naming): the name is the fuzzer's.
extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  baobab::Fuzz({ aData, aSize });
  return 0;
}
