/// @file
#pragma once

#include "baobab/core/random.hpp"
#include "baobab/decision/membership.hpp"
#include "baobab/decision/quarantine.hpp"
#include "baobab/net/fiber_event.hpp"
#include "baobab/net/store.hpp"

#include <functional>
#include <memory>

namespace baobab {

/// Keeps confirmed suspicions in the object store, so that they outlive a
/// restart of all daemons. Used only on the control thread.
class QuarantineAgent
{
public:
  QuarantineAgent(std::unique_ptr<Store> aStore,
                  Quarantine& aQuarantine,
                  Membership& aMembership);

  /// Reads the stored suspicions, then stores confirmed ones as they appear,
  /// until the process ends.
  void Run();

  /// Reports that the suspicions may have changed.
  void OnSuspicions() { this->changed.Notify(); }

  /// Stores the confirmed suspicions again, because the store has lost writes
  /// that it had acknowledged.
  void OnStoreLoss();

  std::uint64_t StoreCalls() const { return this->store->Calls(); }

  /// Called after suspicions were read, which may change routing.
  std::function<void()> onSuspicions;

private:
  void Restore();
  void Merge(const std::vector<Suspicion>& aSuspicions);
  bool ShouldStore();
  bool IsKeeper() const;
  void StoreConfirmed();
  void SleepBeforeRetry();
  Result<Done> Write();

  std::unique_ptr<Store> store;
  Quarantine& quarantine;
  Membership& membership;
  FiberEvent changed;
  /// Next check whether this daemon stores suspicions of other hosts; max if
  /// none is due.
  TimePoint nextKeeperCheck = TimePoint::max();
  SplitMix random;
};

}
