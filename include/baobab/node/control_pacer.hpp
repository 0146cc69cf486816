/// @file
#pragma once

#include "baobab/decision/byte_budget.hpp"
#include "baobab/decision/transfer_budget.hpp"

#include <cstddef>

namespace baobab {

/// Holds the control traffic of a daemon to its bytes a second.
class ControlPacer
{
public:
  explicit ControlPacer(std::int64_t aBytesPerSecond);

  /// Charges bytes that may be left out. Returns false if they must be.
  bool TrySpend(std::size_t aBytes);

  /// Suspends the fiber until the bytes fit.
  void Spend(std::size_t aBytes);

  /// Suspends the fiber until a configuration may be sent. It has bytes of its
  /// own, which are saved up for changes: those are rare, and late ones are
  /// worse than many bytes at once.
  void SpendOnConfiguration(std::size_t aBytes);

  std::int64_t Spent() const
  {
    return this->budget.Spent() + this->configurationSpent;
  }

private:
  ByteBudget budget;
  TransferBudget configuration;
  std::int64_t configurationSpent = 0;
};

}
