/// @file
/// Random number generators that are injected into the decision code.
#pragma once

#include <concepts>
#include <cstdint>
#include <limits>

namespace baobab {

/// A source of uniformly distributed 64-bit numbers.
template<class T>
concept RandomSource = requires(T aSource) {
  {
    aSource()
  } -> std::same_as<std::uint64_t>;
};

/// The SplitMix64 generator: 8 bytes of state, reproducible from a seed.
class SplitMix
{
public:
  using result_type = std::uint64_t;

  explicit SplitMix(std::uint64_t aSeed)
    : state(aSeed)
  {
  }

  static constexpr result_type min() { return 0; }
  static constexpr result_type max()
  {
    return std::numeric_limits<result_type>::max();
  }

  result_type operator()()
  {
    this->state += 0x9e3779b97f4a7c15ULL;
    std::uint64_t mixed = this->state;
    mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebULL;
    return mixed ^ (mixed >> 31U);
  }

private:
  std::uint64_t state;
};

/// Returns a uniformly distributed integer in [0, aBound). aBound must not
/// be 0.
template<RandomSource R>
std::uint64_t
UniformBelow(R& aRandom, std::uint64_t aBound)
{
  return static_cast<std::uint64_t>(
    (static_cast<unsigned __int128>(aRandom()) * aBound) >> 64U);
}

/// Returns a uniformly distributed real number in [0, 1).
template<RandomSource R>
double
UniformFraction(R& aRandom)
{
  return static_cast<double>(aRandom() >> 11U) * 0x1.0p-53;
}

/// Returns a seed from the system's entropy source.
std::uint64_t EntropySeed();

}
