/// @file
/// Compression of texts with DEFLATE.
#pragma once

#include "baobab/core/result.hpp"

#include <cstddef>
#include <string>
#include <string_view>

namespace baobab {

/// Compresses a text.
std::string Deflate(std::string_view aText);

/// Decompresses a text. Fails with BadMessage if the data is damaged or its
/// decompressed size is not aSize.
/// @param aSize size of the text in bytes, which limits the memory used
Result<std::string> Inflate(std::string_view aCompressed, std::size_t aSize);

}
