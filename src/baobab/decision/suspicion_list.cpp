#include "baobab/decision/suspicion_list.hpp"

#include "baobab/decision/quarantine.hpp"

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <sstream>

namespace baobab {
namespace {

/// Suspicions in a list at most.
constexpr std::size_t kMaxStored = 1000;

/// Reads a number of a base from a word. Returns false if it is malformed.
template<class Number, class... Base>
bool
ReadNumber(const std::string& aWord, Number& aNumber, Base... aBase)
{
  const char* last = aWord.data() + aWord.size();
  const auto [end, code] =
    std::from_chars(aWord.data(), last, aNumber, aBase...);
  return code == std::errc{} && end == last;
}

bool
Contains(std::span<const Suspicion> aSuspicions, const Suspicion& aSuspicion)
{
  return std::ranges::any_of(aSuspicions, [&](const Suspicion& aOther) {
    return aOther.fingerprint == aSuspicion.fingerprint &&
           aOther.crash == aSuspicion.crash;
  });
}

}

std::string
FormatSuspicions(std::span<const Suspicion> aSuspicions, WallTime aNow)
{
  std::string text;
  for (const Suspicion& suspicion : aSuspicions) {
    const auto expiry = (aNow + suspicion.remaining).time_since_epoch();
    char line[96];
    std::snprintf(line,
                  sizeof line,
                  "%s %s %.6f %lld\n",
                  ToHex(suspicion.fingerprint).c_str(),
                  ToHex(suspicion.crash).c_str(),
                  suspicion.weight,
                  static_cast<long long>(expiry / Millis(1)));
    text += line;
  }
  return text;
}

std::vector<Suspicion>
ParseSuspicions(std::string_view aText, WallTime aNow)
{
  constexpr int kHex = 16;
  // Bounds the product of an arbitrary number of milliseconds.
  constexpr std::int64_t kMaxExpiry = std::int64_t{ 1 } << 43;
  std::vector<Suspicion> suspicions;
  std::istringstream lines{ std::string(aText) };
  for (std::string line; std::getline(lines, line);) {
    std::istringstream words(line);
    std::string fingerprint;
    std::string crash;
    std::string weight;
    std::string expiry;
    words >> fingerprint >> crash >> weight >> expiry;
    Suspicion suspicion;
    std::int64_t expiresAt = 0;
    if (!ReadNumber(fingerprint, suspicion.fingerprint, kHex) ||
        !ReadNumber(crash, suspicion.crash, kHex) ||
        !ReadNumber(weight, suspicion.weight) ||
        !ReadNumber(expiry, expiresAt) || expiresAt < 0 ||
        expiresAt > kMaxExpiry || !(suspicion.weight > 0)) {
      continue;
    }
    suspicion.remaining = WallTime(Millis(expiresAt)) - aNow;
    if (suspicion.remaining > Duration::zero()) {
      suspicions.push_back(suspicion);
    }
  }
  return suspicions;
}

std::vector<Suspicion>
MergeSuspicions(std::vector<Suspicion> aStored,
                std::span<const Suspicion> aHeld,
                std::span<const Suspicion> aCleared)
{
  std::ranges::copy_if(
    aHeld, std::back_inserter(aStored), [&](const Suspicion& aSuspicion) {
      return !Contains(aStored, aSuspicion);
    });
  std::erase_if(aStored, [&](const Suspicion& aSuspicion) {
    return Contains(aCleared, aSuspicion);
  });
  if (aStored.size() > kMaxStored) {
    std::ranges::sort(aStored, std::ranges::greater{}, &Suspicion::remaining);
    aStored.resize(kMaxStored);
  }
  return aStored;
}

}
