#include "baobab/node/config_log.hpp"

#include "baobab/net/log.hpp"
#include "baobab/net/log_events.hpp"

#include <algorithm>

namespace baobab {
namespace {

constexpr Duration kMinFailureInterval = 1s;
constexpr Duration kStateInterval = 10s;

}

void
ConfigLog::OnStoreRead(bool aChanged, TimePoint aNow)
{
  ++(aChanged ? this->changedReads : this->unchangedReads);
  if (this->failingSince && !this->loggedFailure.empty()) {
    Log(kStoreRegained, aNow - *this->failingSince);
  }
  this->failingSince.reset();
  this->loggedFailure.clear();
}

void
ConfigLog::OnStoreFailed(const Error& aError, TimePoint aNow)
{
  ++this->failedReads;
  if (!this->failingSince) {
    this->failingSince = aNow;
  }
  if (aError.message == this->loggedFailure ||
      (this->failureLoggedAt &&
       aNow - *this->failureLoggedAt < kMinFailureInterval)) {
    return;
  }
  this->failureLoggedAt = aNow;
  this->loggedFailure = aError.message;
  Log(kStoreLost, aError);
}

void
ConfigLog::OnAdvertised(std::uint64_t aGeneration,
                        std::uint64_t aInForce,
                        TimePoint aNow)
{
  this->advertised = std::max(this->advertised, aGeneration);
  if (aGeneration > aInForce && !this->newerSince) {
    this->newerSince = aNow;
  }
}

void
ConfigLog::OnPullFailed(const Endpoint& aPeer, const Error& aError)
{
  ++this->failedPulls;
  Log(kPullFailed, aPeer, aError);
}

void
ConfigLog::OnAdopted(const Adoption& aAdoption, TimePoint aNow)
{
  constexpr std::string_view kStore = "store";
  ++(aAdoption.source == kStore ? this->adoptedFromStore
                                : this->adoptedFromPeers);
  Log(kConfigurationAdopted,
      aAdoption.generation,
      aAdoption.source,
      aAdoption.from,
      aAdoption.previous,
      aAdoption.position,
      aNow - this->newerSince.value_or(aNow));
  if (this->advertised <= aAdoption.generation) {
    this->newerSince.reset();
  }
}

bool
ConfigLog::StateDue(TimePoint aNow) const
{
  return !this->stateLoggedAt || aNow - *this->stateLoggedAt >= kStateInterval;
}

void
ConfigLog::LogState(const ConfigState& aState, TimePoint aNow)
{
  this->stateLoggedAt = aNow;
  Log(kConfigurationState,
      aState.generation,
      this->advertised,
      aState.reader,
      aState.confirmedAge.value_or(Duration(-1ms)),
      aState.position,
      this->failedReads,
      this->failedPulls);
}

void
ConfigLog::AddMetrics(MetricsPage& aPage) const
{
  const auto add = [&](std::string_view aName,
                       std::string_view aLabels,
                       std::uint64_t aValue) {
    aPage.Add(aName, aLabels, static_cast<double>(aValue));
  };
  add("config_store_reads_total", "result=\"changed\"", this->changedReads);
  add("config_store_reads_total", "result=\"unchanged\"", this->unchangedReads);
  add("config_store_reads_total", "result=\"failed\"", this->failedReads);
  add("config_failed_pulls_total", "", this->failedPulls);
  add("config_adopted_total", "source=\"store\"", this->adoptedFromStore);
  add("config_adopted_total", "source=\"peer\"", this->adoptedFromPeers);
  add("config_advertised_generation", "", this->advertised);
}

}
