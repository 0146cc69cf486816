/// @file
#pragma once

#include <string>

namespace baobab {

/// Compresses a text, or returns what it was compressed to before on this
/// thread: the same service files go to many peers.
/// @param aHash hash of the text
const std::string& PackedText(const std::string& aHash,
                              const std::string& aText);

/// Keeps the compressed form of a text that arrived.
void CachePackedText(const std::string& aHash, std::string aPacked);

}
