#include "baobab/decision/quota_borrower.hpp"

#include "baobab/decision/rendezvous.hpp"

#include <algorithm>
#include <cmath>

namespace baobab {
namespace {

constexpr std::string_view kLenderRole = "quota";

/// Interval between requests while the only purpose is to vote.
constexpr Duration kIdlePeriod = 500ms;

/// Interval between requests while replies are missing, and while calls wait.
constexpr Duration kRepeatPeriod = 100ms;
constexpr Duration kUrgentPeriod = 40ms;

/// Time without a reply after which a lender counts as silent, and time for
/// which it is then avoided.
constexpr Duration kSilence = 700ms;
constexpr Duration kAvoidance = 5s;

/// Time after which a lender that does not lend is left for another candidate.
constexpr Duration kIdleLender = 1500ms;

/// Tokens are held for this many periods of the mean demand.
constexpr double kHeldPeriods = 1.5;

/// Demand per period below which no tokens are held in advance.
constexpr double kMinDemand = 0.5;

constexpr double kSmoothing = 0.3;

/// Number of requests after which the direct way is tried again.
constexpr std::uint32_t kDirectInterval = 64;

void
Accept(const QuotaLoan& aLoan,
       QuotaCell& aCell,
       TimePoint aExpiresAt,
       TimePoint aNow)
{
  if (aCell.IsExpired(aNow)) {
    aCell.Clear();
  }
  aCell.Add(aLoan.tokens, aExpiresAt);
  if (aLoan.wait > Millis(0)) {
    aCell.Deny(aNow + kQuotaPeriod, aLoan.wait);
  }
}

}

QuotaBorrower::QuotaBorrower(Endpoint aSelf, std::uint32_t aRun, TimePoint aNow)
  : self(aSelf)
  , run(aRun)
  , startedAt(aNow)
  , ranked({ aSelf })
{
}

void
QuotaBorrower::SetCells(QuotaCells aCells)
{
  this->cells = std::move(aCells);
  std::erase_if(this->demands, [&](const auto& aDemand) {
    return !this->cells.contains(aDemand.first);
  });
}

void
QuotaBorrower::SetMembers(const std::vector<Endpoint>& aMembers)
{
  this->ranked = RendezvousPick(aMembers, kLenderRole, aMembers.size());
}

std::optional<Endpoint>
QuotaBorrower::Lender(TimePoint aNow) const
{
  if (!this->bond || this->bond->idleSince ||
      aNow - this->bond->answeredAt > kVoteLife) {
    return std::nullopt;
  }
  return this->bond->lender;
}

std::int64_t
QuotaBorrower::Held(TimePoint aNow) const
{
  std::int64_t held = 0;
  for (const auto& [workspace, cell] : this->cells) {
    held += cell->IsExpired(aNow) ? 0 : cell->Tokens();
  }
  return held;
}

/// The best candidate that is not silent; if all are, the best one.
Endpoint
QuotaBorrower::Candidate(TimePoint aNow) const
{
  const auto found =
    std::ranges::find_if(this->ranked, [&](const Endpoint& aMember) {
      const auto silent = this->silentUntil.find(aMember);
      return silent == this->silentUntil.end() || silent->second <= aNow;
    });
  if (found != this->ranked.end()) {
    return *found;
  }
  return this->ranked.empty() ? this->self : this->ranked.front();
}

/// True if a reply is overdue.
bool
QuotaBorrower::IsMissing(TimePoint aNow) const
{
  return this->unanswered > 0 && aNow - this->unansweredSince >= kRepeatPeriod;
}

bool
QuotaBorrower::IsDue(TimePoint aNow, bool aUrgent) const
{
  const Duration passed = aNow - this->sentAt;
  if (this->IsMissing(aNow)) {
    return passed >= kRepeatPeriod;
  }
  return this->voteDue || this->moreNeeds ||
         passed >= (this->active ? kQuotaPeriod : kIdlePeriod) ||
         (aUrgent && passed >= kUrgentPeriod);
}

/// Leaves a lender that is silent or does not lend, once the vote for it has
/// lapsed.
void
QuotaBorrower::UpdateBond(TimePoint aNow)
{
  if (!this->bond) {
    if (this->asked && this->unanswered > 0 &&
        aNow - this->unansweredSince > kSilence) {
      this->silentUntil[*this->asked] = aNow + kAvoidance;
      this->asked.reset();
      this->unanswered = 0;
    }
    return;
  }
  const bool silent =
    this->unanswered > 0 && aNow - this->unansweredSince > kSilence;
  const bool idle = this->bond->idleSince &&
                    aNow - *this->bond->idleSince > kIdleLender &&
                    this->Candidate(aNow) != this->bond->lender;
  this->releasing = silent || idle;
  if (this->releasing && aNow - this->votedAt > kVoteLife) {
    if (silent) {
      this->silentUntil[this->bond->lender] = aNow + kAvoidance;
    }
    this->bond.reset();
    this->asked.reset();
    this->releasing = false;
    this->unanswered = 0;
  }
}

/// Where to send a request for a lender: to the lender itself, or through
/// other members in turn while it does not answer.
Endpoint
QuotaBorrower::FirstHop(Endpoint aLender, bool aMissing)
{
  if (this->sequence % kDirectInterval == 0) {
    this->relay.reset();
  }
  if (!aMissing) {
    return this->relay.value_or(aLender);
  }
  this->relay.reset();
  if (this->sequence % 2 != 0 || aLender == this->self) {
    return aLender;
  }
  for (std::size_t i = 0; i < this->ranked.size(); ++i) {
    const Endpoint& member =
      this->ranked[this->nextRelay++ % this->ranked.size()];
    if (member != aLender && member != this->self) {
      this->relay = member;
      return member;
    }
  }
  return aLender;
}

std::optional<QuotaSend>
QuotaBorrower::Poll(TimePoint aNow, bool aUrgent)
{
  if (this->cells.empty() || !this->IsDue(aNow, aUrgent)) {
    return std::nullopt;
  }
  this->UpdateBond(aNow);
  QuotaSend send;
  QuotaRequest& request = send.request;
  request.borrower = this->self;
  request.run = this->run;
  request.answered = this->answered;
  if (!this->bond && !this->asked) {
    this->asked = this->Candidate(aNow);
  }
  request.lender = this->bond ? this->bond->lender : *this->asked;
  send.to = this->FirstHop(request.lender, this->IsMissing(aNow));
  // A vote is not repeated while the lender is silent, so that this daemon is
  // soon free to vote for another. An earlier run of this daemon may have voted
  // as well.
  if (this->bond && !this->releasing && !this->IsMissing(aNow) &&
      aNow - this->startedAt > kVoteLife) {
    request.vote = this->bond->stamp;
    this->votedAt = aNow;
  }
  request.sequence = ++this->sequence;
  request.needs = this->Needs(aNow);
  this->sentAt = aNow;
  this->sendTimes[this->sequence % kSendTimes] = aNow;
  this->voteDue = false;
  if (this->unanswered++ == 0) {
    this->unansweredSince = aNow;
  }
  return send;
}

/// Measures the demand for a workspace, and gives back tokens that exceed it.
QuotaNeed
QuotaBorrower::NeedOf(WorkspaceId aWorkspace, QuotaCell& aCell, TimePoint aNow)
{
  Demand& demand = this->demands[aWorkspace];
  const double periods =
    std::chrono::duration<double>(aNow - demand.measuredAt) /
    std::chrono::duration<double>(kQuotaPeriod);
  demand.measuredAt = aNow;
  const auto calls = static_cast<double>(aCell.TakeCalls());
  const double weight = 1 - std::pow(1 - kSmoothing, periods);
  demand.mean += weight * (calls / std::max(periods, 1e-3) - demand.mean);
  aCell.StartPeriod();
  if (aCell.IsExpired(aNow)) {
    aCell.Clear();
  }
  std::int64_t want = aCell.waiting.load(std::memory_order_relaxed);
  if (demand.mean >= kMinDemand) {
    want += static_cast<std::int64_t>(std::ceil(demand.mean * kHeldPeriods));
  }
  const std::int64_t returned = aCell.Remove(aCell.Tokens() - want);
  const std::int64_t held = std::max<std::int64_t>(0, aCell.Tokens());
  return { aWorkspace,
           static_cast<std::uint32_t>(want),
           static_cast<std::uint32_t>(held),
           static_cast<std::uint32_t>(returned) };
}

/// Returns the needs of the workspaces that hold or need tokens. If they do not
/// fit into one message, the next one follows at once with the others.
std::vector<QuotaNeed>
QuotaBorrower::Needs(TimePoint aNow)
{
  std::vector<QuotaNeed> needs;
  auto cell = this->cells.upper_bound(this->lastNeed);
  for (; cell != this->cells.end() && needs.size() < kMaxQuotaEntries; ++cell) {
    const QuotaNeed need = this->NeedOf(cell->first, *cell->second, aNow);
    if (need.want > 0 || need.held > 0 || need.returned > 0) {
      needs.push_back(need);
    }
    this->lastNeed = cell->first;
  }
  this->moreNeeds = cell != this->cells.end();
  if (!this->moreNeeds) {
    this->lastNeed = 0;
  }
  this->active = !needs.empty() || this->moreNeeds;
  return needs;
}

void
QuotaBorrower::OnReply(const QuotaReply& aReply, TimePoint aNow)
{
  const bool expected = aReply.run == this->run &&
                        aReply.sequence > this->answered &&
                        aReply.sequence <= this->sequence &&
                        this->sequence - aReply.sequence < kSendTimes;
  if (!expected || (this->bond && aReply.lender != this->bond->lender)) {
    return;
  }
  this->answered = aReply.sequence;
  this->unanswered = this->sequence - aReply.sequence;
  this->unansweredSince = this->sentAt;
  this->asked.reset();
  if (aReply.leaving) {
    this->silentUntil[aReply.lender] = aNow + kAvoidance;
    this->bond.reset();
    this->voteDue = this->Candidate(aNow) != aReply.lender;
    return;
  }
  this->silentUntil.erase(aReply.lender);
  this->UpdateBond(aReply, aNow);
  const TimePoint expiresAt =
    this->sendTimes[aReply.sequence % kSendTimes] + kLoanLife;
  for (const QuotaLoan& loan : aReply.loans) {
    const auto found = this->cells.find(loan.workspace);
    if (found != this->cells.end()) {
      Accept(loan, *found->second, expiresAt, aNow);
    }
  }
}

/// Notes what a reply says about the lender. A lender that has restarted can
/// be voted for at once, since its earlier run has ended.
void
QuotaBorrower::UpdateBond(const QuotaReply& aReply, TimePoint aNow)
{
  if (!this->bond || this->bond->stamp.run != aReply.stamp.run) {
    this->bond = Bond{ aReply.lender, aReply.stamp, aNow, std::nullopt };
    this->voteDue = true;
  }
  this->bond->stamp = aReply.stamp;
  this->bond->answeredAt = aNow;
  if (aReply.lends) {
    this->bond->idleSince.reset();
  } else if (!this->bond->idleSince) {
    this->bond->idleSince = aNow;
  }
  // Tokens of another lender are not known to this one.
  if (aReply.stamp.run != this->creditor && !aReply.loans.empty()) {
    this->creditor = aReply.stamp.run;
    for (const auto& [workspace, cell] : this->cells) {
      cell->Clear();
    }
  }
}

}
