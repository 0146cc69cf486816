/// @file
#pragma once

#include "baobab/decision/quota_cell.hpp"
#include "baobab/decision/quota_message.hpp"
#include "baobab/decision/quota_terms.hpp"

#include <array>
#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace baobab {

/// The cells of all limited workspaces.
using QuotaCells = std::map<WorkspaceId, std::shared_ptr<QuotaCell>>;

/// A request and the daemon to which it goes first.
struct QuotaSend
{
  Endpoint to;
  QuotaRequest request;
};

/// Borrows tokens for the calls of this daemon, and votes for a lender. It
/// keeps to a lender that answers and lends; otherwise it turns to the first
/// candidate that is not silent, but not before its last vote has lapsed.
class QuotaBorrower
{
public:
  /// @param aRun number that differs from those of earlier runs
  QuotaBorrower(Endpoint aSelf, std::uint32_t aRun, TimePoint aNow);

  /// Sets the cells to borrow for; with none, nothing is sent.
  void SetCells(QuotaCells aCells);

  /// Sets the daemons that can lend, this one included.
  void SetMembers(const std::vector<Endpoint>& aMembers);

  /// Returns the next request if one is due.
  /// @param aUrgent true if a call waits for a token
  std::optional<QuotaSend> Poll(TimePoint aNow, bool aUrgent);

  void OnReply(const QuotaReply& aReply, TimePoint aNow);

  /// The lender that answers this daemon and lends; nothing if there is none.
  std::optional<Endpoint> Lender(TimePoint aNow) const;

  /// Unspent tokens, over all workspaces.
  std::int64_t Held(TimePoint aNow) const;

private:
  static constexpr std::uint32_t kSendTimes = 8;

  /// The lender that this daemon votes for.
  struct Bond
  {
    Endpoint lender;
    QuotaStamp stamp;
    TimePoint answeredAt;
    /// Since when the lender does not lend.
    std::optional<TimePoint> idleSince;
  };

  struct Demand
  {
    /// Mean number of calls in a period.
    double mean = 0;
    TimePoint measuredAt;
  };

  bool IsMissing(TimePoint aNow) const;
  bool IsDue(TimePoint aNow, bool aUrgent) const;
  void UpdateBond(TimePoint aNow);
  void UpdateBond(const QuotaReply& aReply, TimePoint aNow);
  Endpoint Candidate(TimePoint aNow) const;
  Endpoint FirstHop(Endpoint aLender, bool aMissing);
  QuotaNeed NeedOf(WorkspaceId aWorkspace, QuotaCell& aCell, TimePoint aNow);
  std::vector<QuotaNeed> Needs(TimePoint aNow);

  Endpoint self;
  std::uint32_t run;
  TimePoint startedAt;
  QuotaCells cells;
  std::unordered_map<WorkspaceId, Demand> demands;
  /// Candidates, the preferred one first.
  std::vector<Endpoint> ranked;
  std::unordered_map<Endpoint, TimePoint> silentUntil;
  std::optional<Bond> bond;
  /// Lender that is asked while there is no bond.
  std::optional<Endpoint> asked;
  /// Run of the lender that lent what is held.
  std::uint32_t creditor = 0;
  /// True if the bond ends as soon as the last vote lapses.
  bool releasing = false;
  TimePoint votedAt;
  std::uint32_t sequence = 0;
  std::uint32_t answered = 0;
  /// True if a vote for a new lender is to follow at once.
  bool voteDue = false;
  TimePoint sentAt;
  /// Times of the last requests, by their sequence.
  std::array<TimePoint, kSendTimes> sendTimes;
  TimePoint unansweredSince;
  std::uint32_t unanswered = 0;
  std::size_t nextRelay = 0;
  std::optional<Endpoint> relay;
  /// Last workspace in the last message, and true if others did not fit.
  WorkspaceId lastNeed = 0;
  bool moreNeeds = false;
  bool active = false;
};

}
