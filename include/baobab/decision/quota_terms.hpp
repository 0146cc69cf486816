/// @file
/// Limit of a workspace, and the times by which daemons lend tokens for it.
#pragma once

#include "baobab/core/time.hpp"
#include "baobab/core/workspace.hpp"

#include <cstddef>
#include <cstdint>
#include <map>

namespace baobab {

/// Interval between the requests of a borrower that holds or needs tokens.
constexpr Duration kQuotaPeriod = 300ms;

/// Time for which a loan may be spent, from the sending of its request.
constexpr Duration kLoanLife = 800ms;

/// Time for which a vote binds its voter, from the sending of the vote.
constexpr Duration kVoteLife = 1200ms;

/// Maximum number of workspaces in a message, so that it fits into a datagram.
constexpr std::size_t kMaxQuotaEntries = 56;

/// Limit of a workspace for all daemons together.
struct QuotaLimit
{
  double ratePerSecond = 0;
  std::int64_t burst = 0;

  /// Tokens that exist at most, lent ones included. Besides the burst they
  /// cover what is in use between two reports of each borrower.
  double Capacity() const
  {
    constexpr double kWorkingSeconds = 0.45;
    constexpr double kWorkingTokens = 8;
    return static_cast<double>(this->burst) +
           this->ratePerSecond * kWorkingSeconds + kWorkingTokens;
  }

  /// Tokens with which a new lender starts.
  double Stock() const
  {
    constexpr double kBurstShare = 0.03;
    constexpr double kStockTokens = 4;
    return static_cast<double>(this->burst) * kBurstShare + kStockTokens;
  }

  bool operator==(const QuotaLimit&) const = default;
};

/// The limited workspaces of a configuration.
using QuotaLimits = std::map<WorkspaceId, QuotaLimit>;

}
