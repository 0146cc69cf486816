/// @file
#pragma once

#include "baobab/core/call_class.hpp"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace baobab {

/// Calls of one service within one interval, by class.
struct ServiceCounts
{
  std::string service;
  std::array<std::uint64_t, kCallClassCount> calls{};
  /// Bytes that load reports took.
  std::uint64_t measuringBytes = 0;

  bool operator==(const ServiceCounts&) const = default;
};

/// The calls that one daemon counted in one interval.
struct BurnReport
{
  /// Incarnation of the reporting process.
  std::uint64_t reporter = 0;
  /// Increases by one with each interval. A repeated report keeps its number.
  std::uint64_t sequence = 0;
  /// Generation of the configuration in force there.
  std::uint64_t generation = 0;
  std::vector<ServiceCounts> services;

  bool operator==(const BurnReport&) const = default;
};

}
