#include "baobab/node/crash_detector.hpp"

#include "baobab/core/random.hpp"
#include "baobab/net/clock.hpp"
#include "baobab/net/log.hpp"
#include "baobab/net/log_events.hpp"
#include "baobab/net/worker.hpp"

#include <algorithm>
#include <boost/fiber/operations.hpp>

namespace baobab {
namespace {

/// Time in which broken connections are taken for one crash.
constexpr Duration kCrashWindow = 20ms;

}

void
CrashDetector::OnConnectionLost(Fingerprint aFingerprint,
                                std::vector<CallId> aTogether,
                                std::function<bool(const CallId&)> aRuns)
{
  this->broken.push_back(aFingerprint);
  if (this->broken.size() > 1) {
    return;
  }
  Spawn([this, together = std::move(aTogether), runs = std::move(aRuns)] {
    boost::this_fiber::sleep_for(kCrashWindow);
    this->Check(together, runs);
  });
}

void
CrashDetector::Check(const std::vector<CallId>& aTogether,
                     const std::function<bool(const CallId&)>& aRuns)
{
  const std::vector<Fingerprint> suspects = std::move(this->broken);
  this->broken.clear();
  // A target that was restarted at once listens already; it has crashed if
  // none of the calls that ran together goes on.
  const bool goesOn = std::ranges::any_of(aTogether, aRuns);
  if (goesOn && this->target.IsListening()) {
    return;
  }
  this->quarantine.Crashed(EntropySeed(), suspects, this->lifetime(), Now());
  Log(kTargetCrashed, suspects.size());
  if (this->onSuspectsChanged) {
    this->onSuspectsChanged();
  }
}

}
