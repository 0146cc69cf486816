#include "baobab/node/quota_gate.hpp"

#include "baobab/net/clock.hpp"

#include <algorithm>
#include <boost/fiber/operations.hpp>

namespace baobab {
namespace {

/// Longest wait for the answer of a lender, which may be in another region.
constexpr Duration kMaxWait = 150ms;

/// Calls of one workspace that wait at most.
constexpr std::int64_t kMaxWaiting = 256;

constexpr Duration kFirstPause = 1ms;
constexpr Duration kLongestPause = 8ms;

/// Time in which a lender is usually found.
constexpr Micros kNoLenderRetry = 500ms;

}

std::variant<QuotaTicket, NotRun>
QuotaGate::Admit(const WorkspaceSpec& aWorkspace, WorkspaceId aId)
{
  if (aWorkspace.ratePerSecond <= 0) {
    return QuotaTicket{};
  }
  const auto cell = this->cells.Read(
    [&](const QuotaCells& aCells) -> std::shared_ptr<QuotaCell> {
      const auto found = aCells.find(aId);
      return found == aCells.end() ? nullptr : found->second;
    });
  if (!cell) {
    return NotRun{ RefusalReason::NotReady,
                   "the quota of the workspace is not known yet" };
  }
  cell->CountCall();
  // Read first: a token that is put back later must not count for a period
  // that began after it was taken.
  const std::uint32_t period = cell->Period();
  if (cell->TryTake(Now())) {
    return QuotaTicket{ cell, period };
  }
  if (const auto waited = this->WaitForToken(*cell)) {
    return QuotaTicket{ cell, *waited };
  }
  return this->Refuse(*cell);
}

/// Waits until a token has been taken, the lender has denied one, or the time
/// is over. Returns the period in which a token was taken.
std::optional<std::uint32_t>
QuotaGate::WaitForToken(QuotaCell& aCell)
{
  const TimePoint end = Now() + kMaxWait;
  if (!this->lenderKnown.load() || aCell.IsDenied(Now()) ||
      aCell.waiting.load(std::memory_order_relaxed) >= kMaxWaiting) {
    return std::nullopt;
  }
  aCell.waiting.fetch_add(1);
  this->waiting.fetch_add(1);
  if (this->onWaiting) {
    this->onWaiting();
  }
  bool taken = false;
  std::uint32_t period = 0;
  Duration pause = kFirstPause;
  while (!taken && Now() < end && !aCell.IsDenied(Now())) {
    boost::this_fiber::sleep_for(pause);
    pause = std::min(pause * 2, kLongestPause);
    period = aCell.Period();
    taken = aCell.TryTake(Now());
  }
  aCell.waiting.fetch_sub(1);
  this->waiting.fetch_sub(1);
  return taken ? std::optional(period) : std::nullopt;
}

NotRun
QuotaGate::Refuse(QuotaCell& aCell)
{
  if (aCell.IsDenied(Now())) {
    this->overQuota.fetch_add(1, std::memory_order_relaxed);
    aCell.refused.fetch_add(1, std::memory_order_relaxed);
    return NotRun{ RefusalReason::OverQuota,
                   "the workspace has used up its quota",
                   false,
                   std::chrono::duration_cast<Micros>(aCell.RetryAfter()) };
  }
  this->noLender.fetch_add(1, std::memory_order_relaxed);
  return NotRun{ RefusalReason::NotReady,
                 "no daemon lends tokens of the workspace at the moment",
                 false,
                 kNoLenderRetry };
}

void
QuotaGate::Return(const QuotaTicket& aTicket)
{
  if (aTicket.cell) {
    aTicket.cell->PutBack(aTicket.period);
  }
}

void
QuotaGate::SetCells(const QuotaCells& aCells)
{
  this->cells.Replace(std::make_unique<QuotaCells>(aCells));
}

}
