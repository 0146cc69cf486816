/// @file
#pragma once

#include "baobab/core/result.hpp"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace baobab {

/// An IPv4 address and a port, both in host byte order.
struct Endpoint
{
  std::uint32_t address = 0;
  std::uint16_t port = 0;

  auto operator<=>(const Endpoint&) const = default;
};

/// Returns `a.b.c.d:port`.
std::string ToString(const Endpoint& aEndpoint);

/// Parses `a.b.c.d:port`. Fails with Syntax.
Result<Endpoint> ParseEndpoint(std::string_view aText);

}

template<>
struct std::hash<baobab::Endpoint>
{
  std::size_t operator()(const baobab::Endpoint& aEndpoint) const noexcept
  {
    const std::uint64_t key =
      (std::uint64_t{ aEndpoint.address } << 16U) | aEndpoint.port;
    return key * 0x9e3779b97f4a7c15ULL;
  }
};
