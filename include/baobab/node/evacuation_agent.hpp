/// @file
#pragma once

#include "baobab/core/random.hpp"
#include "baobab/core/settings.hpp"
#include "baobab/decision/evacuation.hpp"
#include "baobab/decision/membership.hpp"
#include "baobab/net/evacuation_source.hpp"

#include <functional>
#include <memory>

namespace baobab {

/// Learns which availability zones are evacuated: a few daemons of each zone
/// watch the store, the others learn from peers. A daemon that starts reads the
/// store once. Used only on the control thread.
class EvacuationAgent
{
public:
  /// @param aSource null if the platform has no evacuations
  EvacuationAgent(std::unique_ptr<EvacuationSource> aSource,
                  Membership& aMembership,
                  const Settings& aSettings);

  /// Reads and watches the store until the process ends. Returns at once if the
  /// settings do not provide for evacuations.
  void Run();

  /// Merges what the store or a peer says.
  void Merge(const EvacuatedZones& aZones);

  const Evacuations& Known() const { return this->evacuations; }

  /// Calls to the store since the start.
  std::uint64_t StoreCalls() const
  {
    return this->source ? this->source->Calls() : 0;
  }

  /// Called after the evacuated zones have changed.
  std::function<void()> onChanged;

private:
  bool IsReader() const;
  void WatchStore();
  void LogChange(const std::vector<std::string>& aBefore) const;
  /// Suspends the fiber for a random time about an interval.
  void Pause(Duration aMean);

  std::unique_ptr<EvacuationSource> source;
  Membership& membership;
  const Settings& settings;
  Evacuations evacuations;
  SplitMix random;
};

}
