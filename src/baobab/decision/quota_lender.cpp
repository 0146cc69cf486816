#include "baobab/decision/quota_lender.hpp"

#include <algorithm>
#include <cmath>
#include <functional>
#include <iterator>
#include <vector>

namespace baobab {
namespace {

/// Time after the start in which a daemon learns the size of the fleet. Pauses
/// of the process do not count.
constexpr Duration kLearningTime = 2s;
constexpr Duration kMaxLearningStep = 100ms;

/// The size of the fleet is the largest of the last one to two such times.
constexpr Duration kFleetMemory = 150s;

/// Minimum time between two first stocks from one lender. Those of several
/// lenders are as far apart by the life of votes and loans.
constexpr Duration kStockPeriod = 2s;

constexpr Duration kSweepPeriod = 100ms;

/// Time for which the last request of a borrower is remembered.
constexpr Duration kBorrowerMemory = 10s;

/// Bounds of the time after which callers are told to come back.
constexpr Millis kMinWait{ 400 };
constexpr Millis kMaxWait{ 10000 };

constexpr double kPeriodSeconds =
  std::chrono::duration<double>(kQuotaPeriod).count();

}

QuotaLender::QuotaLender(Endpoint aSelf, std::uint32_t aRun, TimePoint aNow)
  : self(aSelf)
  , run(aRun)
  , startedAt(aNow)
  , sizedAt(aNow)
  , fleetEpoch(aNow)
  , filledAt(aNow)
{
}

void
QuotaLender::SetLimits(QuotaLimits aLimits, TimePoint aNow)
{
  this->Advance(aNow);
  std::erase_if(this->accounts, [&](const auto& aAccount) {
    return !aLimits.contains(aAccount.first);
  });
  for (const auto& [workspace, limit] : aLimits) {
    const auto [found, added] = this->accounts.try_emplace(workspace);
    Account& account = found->second;
    account.limit = limit;
    if (added) {
      account.bucket = limit.Stock();
    }
    account.bucket =
      std::clamp(limit.Capacity() - static_cast<double>(account.lent),
                 0.0,
                 account.bucket);
  }
}

void
QuotaLender::SetFleetSize(std::size_t aDaemons, TimePoint aNow)
{
  this->learned += std::min(aNow - this->sizedAt, kMaxLearningStep);
  this->sizedAt = aNow;
  if (aNow - this->fleetEpoch >= kFleetMemory) {
    this->fleetEpoch = aNow;
    this->fleet = std::max(aDaemons, this->recentFleet);
    this->recentFleet = aDaemons;
  }
  this->recentFleet = std::max(this->recentFleet, aDaemons);
  this->fleet = std::max(this->fleet, aDaemons);
}

void
QuotaLender::Leave()
{
  this->leaving = true;
}

bool
QuotaLender::Lends(TimePoint aNow)
{
  this->Advance(aNow);
  return aNow < this->majorityUntil && aNow >= this->lendsFrom;
}

std::int64_t
QuotaLender::Lent(TimePoint aNow)
{
  this->Advance(aNow);
  std::int64_t lent = 0;
  for (const auto& [workspace, account] : this->accounts) {
    lent += account.lent;
  }
  return lent;
}

/// Brings the buckets up to date. A majority that was lost in between, as in a
/// pause of the process, empties them.
void
QuotaLender::Advance(TimePoint aNow)
{
  if (aNow >= this->nextSweep) {
    this->nextSweep = aNow + kSweepPeriod;
    this->DropExpired(aNow);
  }
  this->Fill(aNow);
  this->filledAt = std::max(this->filledAt, aNow);
  if (aNow >= this->majorityUntil || this->leaving) {
    this->majorityUntil = TimePoint();
    for (auto& [workspace, account] : this->accounts) {
      account.bucket = 0;
    }
  }
}

/// Adds the tokens of the time since the last fill.
void
QuotaLender::Fill(TimePoint aUntil)
{
  const TimePoint from = std::max(this->filledAt, this->lendsFrom);
  if (aUntil <= from) {
    return;
  }
  const double seconds = std::chrono::duration<double>(aUntil - from).count();
  for (auto& [workspace, account] : this->accounts) {
    const double room =
      account.limit.Capacity() - static_cast<double>(account.lent);
    account.bucket = std::max(
      0.0,
      std::min(account.bucket + account.limit.ratePerSecond * seconds, room));
  }
  this->filledAt = aUntil;
}

void
QuotaLender::DropExpired(TimePoint aNow)
{
  std::erase_if(this->borrowers, [&](const auto& aBorrower) {
    return aNow - aBorrower.second.heardAt > kBorrowerMemory;
  });
  for (auto& [workspace, account] : this->accounts) {
    std::erase_if(account.loans, [&](const auto& aLoan) {
      const Loan& loan = aLoan.second;
      if (aNow < loan.expiresAt) {
        return false;
      }
      account.lent -= loan.tokens;
      account.wanted -= loan.want;
      return true;
    });
  }
}

/// Finds the time until which more than half of the fleet is bound to this
/// daemon. After a time without a majority, nothing is lent until all loans of
/// another lender have expired.
void
QuotaLender::FindMajority(TimePoint aNow)
{
  std::vector<TimePoint> votes;
  for (const auto& [endpoint, borrower] : this->borrowers) {
    if (borrower.voteUntil > aNow) {
      votes.push_back(borrower.voteUntil);
    }
  }
  const std::size_t needed = this->fleet / 2 + 1;
  if (this->leaving || votes.size() < needed || this->learned < kLearningTime) {
    return;
  }
  const auto last = votes.begin() + static_cast<std::ptrdiff_t>(needed) - 1;
  std::ranges::nth_element(votes, last, std::greater());
  if (this->majorityUntil <= aNow) {
    this->lendsFrom = aNow + kLoanLife;
    this->AddStock(aNow);
  }
  this->majorityUntil = *last;
}

/// Gives each bucket a first stock, so that a workspace below its limit is not
/// refused after a change of the lender.
void
QuotaLender::AddStock(TimePoint aNow)
{
  if (aNow < this->nextStock) {
    return;
  }
  this->nextStock = aNow + kStockPeriod;
  for (auto& [workspace, account] : this->accounts) {
    account.bucket = account.limit.Stock();
  }
}

/// A vote holds from the time of the reply that it echoes: the voter sent it
/// later than that.
void
QuotaLender::CountVote(Borrower& aBorrower,
                       const QuotaRequest& aRequest,
                       TimePoint aNow)
{
  if (aRequest.vote.run != this->run) {
    return;
  }
  const TimePoint sentAt = this->startedAt + Millis(aRequest.vote.millis);
  if (sentAt <= aNow) {
    aBorrower.voteUntil = std::max(aBorrower.voteUntil, sentAt + kVoteLife);
  }
}

QuotaReply
QuotaLender::Handle(const QuotaRequest& aRequest, TimePoint aNow)
{
  this->Advance(aNow);
  QuotaReply reply;
  reply.borrower = aRequest.borrower;
  reply.lender = this->self;
  reply.run = aRequest.run;
  reply.sequence = aRequest.sequence;
  reply.stamp = { this->run,
                  static_cast<std::uint32_t>((aNow - this->startedAt) / 1ms) };
  reply.leaving = this->leaving;
  Borrower& borrower = this->borrowers[aRequest.borrower];
  const bool sameRun = borrower.run == aRequest.run;
  if (sameRun && aRequest.sequence <= borrower.sequence) {
    reply.lends = this->Lends(aNow);
    return reply;
  }
  const bool allAnswered = sameRun && aRequest.answered == borrower.sequence;
  borrower.run = aRequest.run;
  borrower.sequence = aRequest.sequence;
  borrower.heardAt = aNow;
  this->CountVote(borrower, aRequest, aNow);
  this->FindMajority(aNow);
  reply.lends = this->Lends(aNow);
  if (reply.lends) {
    for (const QuotaNeed& need : aRequest.needs) {
      if (this->accounts.contains(need.workspace)) {
        reply.loans.push_back(this->Lend(aRequest, need, allAnswered, aNow));
      }
    }
  }
  return reply;
}

/// Returns the largest number of tokens that a borrower may hold so that, if
/// all that want more hold as many, the tokens of one period suffice.
std::int64_t
QuotaLender::FairShare(const Account& aAccount)
{
  std::vector<std::int64_t> wants;
  for (const auto& [endpoint, loan] : aAccount.loans) {
    wants.push_back(loan.want);
  }
  std::ranges::sort(wants);
  double supply =
    aAccount.bucket + aAccount.limit.ratePerSecond * kPeriodSeconds;
  std::size_t sharers = wants.size();
  for (const std::int64_t want : wants) {
    const double share = supply / static_cast<double>(sharers);
    if (static_cast<double>(want) > share) {
      return std::max<std::int64_t>(1, static_cast<std::int64_t>(share));
    }
    supply -= static_cast<double>(want);
    --sharers;
  }
  return wants.empty() ? 0 : wants.back();
}

QuotaLoan
QuotaLender::Lend(const QuotaRequest& aRequest,
                  const QuotaNeed& aNeed,
                  bool aAllAnswered,
                  TimePoint aNow)
{
  Account& account = this->accounts.at(aNeed.workspace);
  Loan& loan = account.loans[aRequest.borrower];
  const std::int64_t returned =
    std::min<std::int64_t>(aNeed.returned, loan.tokens);
  const std::int64_t before = loan.tokens;
  loan.tokens -= returned;
  account.bucket += static_cast<double>(returned);
  // Tokens of a reply that may still arrive count as held.
  if (aAllAnswered) {
    loan.tokens = std::min<std::int64_t>(loan.tokens, aNeed.held);
  }
  account.wanted += std::int64_t{ aNeed.want } - loan.want;
  loan.want = aNeed.want;
  account.lent += loan.tokens - before;

  const auto available = static_cast<std::int64_t>(account.bucket);
  std::int64_t missing =
    std::max<std::int64_t>(0, std::int64_t{ aNeed.want } - aNeed.held);
  QuotaLoan lent{ aNeed.workspace, 0, Millis(0) };
  const auto stock = available + account.lent;
  if (account.wanted > stock) {
    missing = std::clamp<std::int64_t>(FairShare(account) - aNeed.held,
                                       std::min<std::int64_t>(missing, 1),
                                       missing);
  }
  const std::int64_t granted = std::min(missing, available);
  lent.tokens = static_cast<std::uint32_t>(granted);
  const bool empty = account.bucket - static_cast<double>(granted) < 1;
  if (empty && aNeed.held + granted < aNeed.want) {
    const double seconds = static_cast<double>(account.wanted) /
                           std::max(account.limit.ratePerSecond, 1e-3);
    constexpr double kMillisPerSecond = 1000;
    lent.wait = Millis(static_cast<std::int64_t>(
      std::clamp(seconds * kMillisPerSecond,
                 static_cast<double>(kMinWait.count()),
                 static_cast<double>(kMaxWait.count()))));
  }
  loan.tokens += granted;
  account.lent += granted;
  account.bucket -= static_cast<double>(granted);
  loan.expiresAt = aNow + kLoanLife;
  return lent;
}

}
