/// @file
#pragma once

#include "baobab/core/outcome.hpp"
#include "baobab/core/workspace.hpp"
#include "baobab/decision/quota_borrower.hpp"
#include "baobab/node/rcu_cell.hpp"

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <variant>

namespace baobab {

/// Shows that a call was let in by the quota of its workspace.
struct QuotaTicket
{
  /// Cell from which a token was taken; null if the workspace has no limit.
  std::shared_ptr<QuotaCell> cell;
  std::uint32_t period = 0;
};

/// Lets calls in while their workspace has tokens. Admit() and Return() may be
/// called on any worker thread; the others only on the control thread.
class QuotaGate
{
public:
  /// Takes a token for a call. If none has been borrowed yet, the fiber waits a
  /// short time for one. Returns the refusal if the workspace is at its limit
  /// or no daemon lends.
  std::variant<QuotaTicket, NotRun> Admit(const WorkspaceSpec& aWorkspace,
                                          WorkspaceId aId);

  /// Returns the token of a call that was not run.
  static void Return(const QuotaTicket& aTicket);

  void SetCells(const QuotaCells& aCells);

  /// Sets whether a daemon is known that lends.
  void SetLender(bool aKnown) { this->lenderKnown.store(aKnown); }

  /// True if a call waits for a token.
  bool AnyWaiting() const { return this->waiting.load() > 0; }

  std::uint64_t OverQuotaCalls() const { return this->overQuota.load(); }
  std::uint64_t NoLenderCalls() const { return this->noLender.load(); }

  /// Called on a worker thread when a call begins to wait.
  std::function<void()> onWaiting;

private:
  std::optional<std::uint32_t> WaitForToken(QuotaCell& aCell);
  NotRun Refuse(QuotaCell& aCell);

  RcuCell<QuotaCells> cells;
  std::atomic<bool> lenderKnown{ false };
  std::atomic<std::int64_t> waiting{ 0 };
  std::atomic<std::uint64_t> overQuota{ 0 };
  std::atomic<std::uint64_t> noLender{ 0 };
};

}
