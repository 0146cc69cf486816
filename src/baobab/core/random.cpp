#include "baobab/core/random.hpp"

#include <random>

namespace baobab {

std::uint64_t
EntropySeed()
{
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

}
