/// @file
#pragma once

#include "baobab/core/call_id.hpp"
#include "baobab/decision/quarantine.hpp"
#include "baobab/node/target_client.hpp"

#include <functional>
#include <vector>

namespace baobab {

/// Distinguishes a crash of the local target from the loss of single
/// connections, and reports the requests that ran during a crash to the
/// quarantine. Used on one thread only.
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

  /// Handles the loss of a call's connection before its answer.
  /// @param aFingerprint fingerprint of the call's request
  /// @param aOthers calls that were running at the target as well
  /// @param aIsRunning returns whether a call is still running; called later
  void OnConnectionLost(Fingerprint aFingerprint,
                        std::vector<CallId> aOthers,
                        std::function<bool(const CallId&)> aIsRunning);

  /// Called when a crash has changed the suspects.
  std::function<void()> onSuspectsChanged;

private:
  void CheckForCrash(const std::vector<CallId>& aOthers,
                     const std::function<bool(const CallId&)>& aIsRunning);

  TargetClient& target;
  Quarantine& quarantine;
  LifetimeLookup lifetime;
  /// Requests whose connections broke in the current window.
  std::vector<Fingerprint> broken;
};

}
