/// @file
#pragma once

#include "baobab/decision/byte_budget.hpp"

namespace baobab {

/// Holds the control traffic of a daemon to its bytes a second.
class ControlPacer
{
public:
  explicit ControlPacer(std::int64_t aBytesPerSecond)
    : budget(aBytesPerSecond)
  {
  }

  /// Charges bytes that may be left out. Returns false if they must be.
  bool TrySpend(std::size_t aBytes);

  /// Suspends the fiber until the bytes fit.
  void Spend(std::size_t aBytes);

  std::int64_t Spent() const { return this->budget.Spent(); }

private:
  ByteBudget budget;
};

}
