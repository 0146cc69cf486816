/// @file
#pragma once

#include "baobab/core/settings.hpp"
#include "baobab/decision/key_lease.hpp"
#include "baobab/decision/membership.hpp"
#include "baobab/decision/pull_plan.hpp"
#include "baobab/decision/store_freshness.hpp"
#include "baobab/net/config_source.hpp"
#include "baobab/net/frame_connection.hpp"
#include "baobab/node/config_log.hpp"
#include "baobab/node/control_pacer.hpp"
#include "baobab/node/route_publisher.hpp"

#include <functional>
#include <memory>
#include <optional>

namespace baobab {

/// Opens a source with a connection of its own.
using ConfigSourceFactory = std::function<std::unique_ptr<ConfigSource>()>;

/// Keeps the configuration at the newest generation: a few daemons of each
/// availability zone watch the store, the others pull from peers. Since the
/// watching ones may have lost the store, every daemon asks it now and then.
/// Used only on the control thread.
class ConfigAgent
{
public:
  ConfigAgent(boost::asio::io_context& aContext,
              ConfigSourceFactory aOpenSource,
              Membership& aMembership,
              StoreFreshness& aFreshness,
              RoutePublisher& aPublisher,
              ControlPacer& aPacer,
              const Settings& aSettings);

  /// Reads the store, and watches it while this daemon is a reader, until the
  /// process ends.
  void Run();

  /// Asks the store for later changes whenever StoreFreshness says so, until
  /// the process ends.
  void RunAudits();

  /// Reads the published configuration and adopts it if it is newer.
  void ReadStore();

  /// Asks the store whether the configuration in force is the newest, and
  /// adopts a newer one. Returns no proof if the store did not answer, or if
  /// what it published could not be adopted.
  std::optional<LeaseProof> Prove();

  /// Handles the generation that a peer advertises; pulls it if it is newer.
  void OnPeerGeneration(const Endpoint& aPeer, std::uint64_t aGeneration);

  /// Answers a peer's request for a configuration.
  void Reply(const std::shared_ptr<FrameConnection>& aFrames,
             const ConfigRequestMessage& aRequest);

  /// True once a configuration is in force and the first read of the store is
  /// over, even if that read failed.
  bool Ready() const { return this->firstReadDone && this->Generation() > 0; }

  /// Members of the availability zone in the order in which they are readers.
  std::vector<Endpoint> RankedZone() const;

  /// True if this daemon watches the store on behalf of its availability zone.
  bool IsReader() const;

  std::uint64_t Generation() const
  {
    return this->publisher.CurrentConfiguration()->Generation();
  }

  /// Calls to the store since the start.
  std::uint64_t StoreCalls() const
  {
    return this->source->Calls() + this->auditCalls;
  }

  void AddMetrics(MetricsPage& aPage) const { this->log.AddMetrics(aPage); }

  /// Called with the new generation once it is in force.
  std::function<void(std::uint64_t)> onAdopted;

  /// Called when the store has lost writes that it had acknowledged.
  std::function<void()> onStoreLoss;

private:
  void WatchStore();
  /// Compares the newest position known with the history seen before.
  void CheckHistory();
  void Audit();
  /// Waits for changes since the source's position; reads everything at once if
  /// the store no longer has them.
  static Result<std::optional<ConfigDelta>> ReadChanges(
    ConfigSource& aSource,
    const Configuration& aCurrent,
    Duration aTime);
  /// Adopts what was read from a source. Returns true if all that is published
  /// up to the source's position is in force, and records that the store
  /// confirmed it; otherwise rewinds the source.
  /// @param aAskedAt time at which the store is known not to have answered yet
  bool HandleRead(const Result<std::optional<ConfigDelta>>& aRead,
                  ConfigSource& aSource,
                  TimePoint aAskedAt);
  void RecordRead(const Result<std::optional<ConfigDelta>>& aRead);
  void LogState();
  void Pull(const Endpoint& aPeer);
  Result<ConfigDelta> Request(const Endpoint& aPeer, std::uint64_t aSince);
  Result<Done> AdoptFromStore(const ConfigDelta& aDelta,
                              const ConfigSource& aSource);
  Result<Done> AdoptFromPeer(const ConfigDelta& aDelta, const Endpoint& aPeer);
  /// @param aOrigin where the delta comes from; its generations are filled in
  Result<Done> Adopt(const ConfigDelta& aDelta, Adoption aOrigin);

  boost::asio::io_context& context;
  ConfigSourceFactory openSource;
  Membership& membership;
  StoreFreshness& freshness;
  RoutePublisher& publisher;
  ControlPacer& pacer;
  const Settings& settings;
  std::unique_ptr<ConfigSource> source;
  PullPlan pulls;
  bool firstReadDone = false;
  std::uint64_t auditCalls = 0;
  /// Position in the store's history up to which Prove() has adopted all; empty
  /// before the first time. Positions of gossip do not serve: a daemon of an
  /// earlier version may have rejected a configuration before them.
  std::string provenPosition;
  /// History of the store, see ConfigSource; 0 until it is known.
  std::uint64_t history = 0;
  ConfigLog log;
  SplitMix random;
};

}
