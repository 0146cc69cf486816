/// @file
#pragma once

#include "baobab/core/call_id.hpp"
#include "baobab/decision/quarantine.hpp"
#include "baobab/node/target_client.hpp"

#include <functional>
#include <vector>

namespace baobab {

/// Tells a crash of the local target from connections that broke one by one,
/// and puts what ran in a crash under suspicion. It belongs to one thread.
class CrashDetector
{
public:
  /// Looks up how long a suspicion lasts.
  using LifetimeLookup = std::function<Duration()>;

  CrashDetector(TargetClient& aTarget,
                Quarantine& aQuarantine,
                LifetimeLookup aLifetime)
    : target(aTarget)
    , quarantine(aQuarantine)
    , lifetime(std::move(aLifetime))
  {
  }

  /// The connection of a call broke before its answer.
  /// @param aTogether calls that still run
  /// @param aRuns tells later whether a call runs on
  void OnConnectionLost(Fingerprint aFingerprint,
                        std::vector<CallId> aTogether,
                        std::function<bool(const CallId&)> aRuns);

  /// Called when a crash has changed the suspects.
  std::function<void()> onSuspectsChanged;

private:
  void Check(const std::vector<CallId>& aTogether,
             const std::function<bool(const CallId&)>& aRuns);

  TargetClient& target;
  Quarantine& quarantine;
  LifetimeLookup lifetime;
  std::vector<Fingerprint> broken;
};

}
