/// @file
#pragma once

#include "baobab/decision/byte_budget.hpp"
#include "baobab/decision/transfer_budget.hpp"

#include <cstddef>

namespace baobab {

/// Limits the control traffic of a daemon to a rate in bytes per second.
class ControlPacer
{
public:
  explicit ControlPacer(std::int64_t aBytesPerSecond);

  /// Charges bytes of a message that may be dropped. Returns false if the
  /// message must be dropped because it exceeds the rate.
  bool TrySpend(std::size_t aBytes);

  /// Charges bytes; suspends the fiber until they fit into the rate.
  void Spend(std::size_t aBytes);

  /// Charges a configuration; suspends the fiber until it may be sent.
  /// Configurations have a budget of their own, in which unused bytes
  /// accumulate: changes are rare, and a late one does more harm than a burst.
  void SpendOnConfiguration(std::size_t aBytes);

  /// Bytes charged since the start.
  std::int64_t Spent() const
  {
    return this->budget.Spent() + this->configurationSpent;
  }

private:
  ByteBudget budget;
  TransferBudget configurationBudget;
  std::int64_t configurationSpent = 0;
};

}
