#include "baobab/node/crash_detector.hpp"

#include "baobab/core/random.hpp"
#include "baobab/net/clock.hpp"
#include "baobab/net/log.hpp"
#include "baobab/net/log_events.hpp"
#include "baobab/net/worker.hpp"

#include <algorithm>
#include <boost/fiber/operations.hpp>
#include <ranges>

namespace baobab {
namespace {

/// Time within which broken connections are attributed to the same crash.
constexpr Duration kCrashWindow = 20ms;

/// Fingerprints in one log line.
constexpr std::size_t kMaxLoggedFingerprints = 8;

/// Lists the first fingerprints as they appear in logs.
std::string
FormatFingerprints(const std::vector<Fingerprint>& aFingerprints)
{
  std::string text;
  for (const Fingerprint fingerprint :
       aFingerprints | std::views::take(kMaxLoggedFingerprints)) {
    text += (text.empty() ? "" : " ") + ToHex(fingerprint);
  }
  return text;
}

}

void
CrashDetector::OnConnectionLost(Fingerprint aFingerprint,
                                std::vector<CallId> aOthers,
                                std::function<bool(const CallId&)> aIsRunning)
{
  this->broken.push_back(aFingerprint);
  if (this->broken.size() > 1) {
    return;
  }
  Spawn([this, others = std::move(aOthers), isRunning = std::move(aIsRunning)] {
    boost::this_fiber::sleep_for(kCrashWindow);
    this->CheckForCrash(others, isRunning);
  });
}

void
CrashDetector::CheckForCrash(
  const std::vector<CallId>& aOthers,
  const std::function<bool(const CallId&)>& aIsRunning)
{
  const std::vector<Fingerprint> suspects = std::move(this->broken);
  this->broken.clear();
  // A target that was restarted immediately may be listening again already; it
  // has crashed if none of the other calls is still running.
  const bool othersRun = std::ranges::any_of(aOthers, aIsRunning);
  if (othersRun && this->target.IsListening()) {
    return;
  }
  this->quarantine.RecordCrash(
    EntropySeed(), suspects, this->lifetime(), Now());
  Log(kTargetCrashed, suspects.size(), FormatFingerprints(suspects));
  if (this->onSuspectsChanged) {
    this->onSuspectsChanged();
  }
}

}
