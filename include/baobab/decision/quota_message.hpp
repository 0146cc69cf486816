/// @file
/// Messages between borrowers and lenders of tokens.
#pragma once

#include "baobab/core/endpoint.hpp"
#include "baobab/core/time.hpp"
#include "baobab/core/workspace.hpp"

#include <cstdint>
#include <variant>
#include <vector>

namespace baobab {

/// A point in time of one run of a lender. Only that run can interpret it.
struct QuotaStamp
{
  /// Identifies the run; 0: none.
  std::uint32_t run = 0;
  /// Milliseconds since the run started.
  std::uint32_t millis = 0;

  bool operator==(const QuotaStamp&) const = default;
};

/// What a borrower holds and needs of one workspace.
struct QuotaNeed
{
  WorkspaceId workspace = 0;
  /// Tokens that the borrower wants to hold.
  std::uint32_t want = 0;
  /// Unspent tokens that it keeps.
  std::uint32_t held = 0;
  /// Unspent tokens that it gives back.
  std::uint32_t returned = 0;

  bool operator==(const QuotaNeed&) const = default;
};

/// Asks a lender for tokens. It is a vote for the lender if it echoes the stamp
/// of the lender's last reply.
struct QuotaRequest
{
  Endpoint borrower;
  Endpoint lender;
  /// True if another daemon has passed the request on.
  bool relayed = false;
  /// Identifies the run of the borrower.
  std::uint32_t run = 0;
  /// Increases with each request of the run.
  std::uint32_t sequence = 0;
  /// Request whose reply the borrower received last.
  std::uint32_t answered = 0;
  QuotaStamp vote;
  std::vector<QuotaNeed> needs;

  bool operator==(const QuotaRequest&) const = default;
};

/// Tokens of one workspace that are lent.
struct QuotaLoan
{
  WorkspaceId workspace = 0;
  std::uint32_t tokens = 0;
  /// Time in which the workspace's demand would be served; 0 if the loan meets
  /// the need.
  Millis wait{ 0 };

  bool operator==(const QuotaLoan&) const = default;
};

struct QuotaReply
{
  Endpoint borrower;
  Endpoint lender;
  /// True if another daemon has passed the reply on.
  bool relayed = false;
  std::uint32_t run = 0;
  std::uint32_t sequence = 0;
  QuotaStamp stamp;
  /// True if the lender has the votes of a majority and lends.
  bool lends = false;
  /// True if the lender never lends again; votes for it no longer bind.
  bool leaving = false;
  std::vector<QuotaLoan> loans;

  bool operator==(const QuotaReply&) const = default;
};

using QuotaMessage = std::variant<QuotaRequest, QuotaReply>;

}
