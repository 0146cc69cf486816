/// @file
#pragma once

#include "baobab/decision/quota_message.hpp"
#include "baobab/decision/quota_terms.hpp"

#include <cstddef>
#include <unordered_map>

namespace baobab {

/// Lends the tokens of all limited workspaces to the daemons of the fleet,
/// while it has the votes of a majority of them. A daemon's vote binds it for
/// kVoteLife, so at most one lender lends at any time.
///
/// Tokens in the bucket and tokens lent never exceed the capacity of the limit
/// together, so any window of t seconds sees at most capacity + rate * t calls.
class QuotaLender
{
public:
  /// @param aRun number that differs from those of earlier runs; not 0
  QuotaLender(Endpoint aSelf, std::uint32_t aRun, TimePoint aNow);

  void SetLimits(QuotaLimits aLimits, TimePoint aNow);

  /// Sets the number of daemons that are known, dead ones included; to be
  /// called regularly. Nothing is lent before that has gone on for some time. A
  /// number that decreases takes effect after some minutes only, since daemons
  /// that are cut off look like dead ones.
  void SetFleetSize(std::size_t aDaemons, TimePoint aNow);

  /// Stops lending for good.
  void Leave();

  /// Answers a request.
  QuotaReply Handle(const QuotaRequest& aRequest, TimePoint aNow);

  /// True if this daemon lends.
  bool Lends(TimePoint aNow);

  /// Tokens that are lent, over all workspaces.
  std::int64_t Lent(TimePoint aNow);

private:
  struct Loan
  {
    std::int64_t tokens = 0;
    std::int64_t want = 0;
    TimePoint expiresAt;
  };

  struct Account
  {
    QuotaLimit limit;
    double bucket = 0;
    /// Sums over `loans`.
    std::int64_t lent = 0;
    std::int64_t wanted = 0;
    std::unordered_map<Endpoint, Loan> loans;
  };

  struct Borrower
  {
    std::uint32_t run = 0;
    std::uint32_t sequence = 0;
    TimePoint voteUntil;
    TimePoint heardAt;
  };

  void Advance(TimePoint aNow);
  void Fill(TimePoint aUntil);
  void FindMajority(TimePoint aNow);
  void AddStock(TimePoint aNow);
  void DropExpired(TimePoint aNow);
  void CountVote(Borrower& aBorrower,
                 const QuotaRequest& aRequest,
                 TimePoint aNow);
  static std::int64_t FairShare(const Account& aAccount);
  QuotaLoan Lend(const QuotaRequest& aRequest,
                 const QuotaNeed& aNeed,
                 bool aAllAnswered,
                 TimePoint aNow);

  Endpoint self;
  std::uint32_t run;
  TimePoint startedAt;
  bool leaving = false;
  std::size_t fleet = 1;
  std::size_t recentFleet = 1;
  Duration learned{ 0 };
  TimePoint sizedAt;
  TimePoint fleetEpoch;
  std::unordered_map<WorkspaceId, Account> accounts;
  std::unordered_map<Endpoint, Borrower> borrowers;
  /// Time from which on this daemon may lend, and until which it has a
  /// majority.
  TimePoint lendsFrom;
  TimePoint majorityUntil;
  TimePoint filledAt;
  TimePoint nextStock;
  TimePoint nextSweep;
};

}
