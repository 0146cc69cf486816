/// @file
#pragma once

#include "baobab/core/result.hpp"

#include <cstddef>
#include <string>
#include <string_view>

namespace baobab {

/// Compresses a text.
std::string Deflate(std::string_view aText);

/// Restores a compressed text. Fails with BadMessage.
/// @param aSize its size, which bounds the memory that is used
Result<std::string> Inflate(std::string_view aPacked, std::size_t aSize);

}
