/// @file
/// Cache of compressed service files, one for each thread.
#pragma once

#include <string>

namespace baobab {

/// Returns the compressed form of a text, from the cache of this thread if
/// possible: the same service files are sent to many peers.
/// @param aHash hash of the text, the cache's key
/// @return a reference that is valid until the thread's next call
const std::string& CompressedText(const std::string& aHash,
                                  const std::string& aText);

/// Stores the compressed form of a received text in the cache of this thread.
/// @param aHash hash of the uncompressed text
void CacheCompressedText(const std::string& aHash, std::string aCompressed);

}
