/// @file
#pragma once

#include "baobab/core/settings.hpp"
#include "baobab/decision/membership.hpp"
#include "baobab/decision/pull_plan.hpp"
#include "baobab/net/config_source.hpp"
#include "baobab/net/frame_connection.hpp"
#include "baobab/node/control_pacer.hpp"
#include "baobab/node/route_publisher.hpp"

#include <functional>
#include <memory>
#include <optional>

namespace baobab {

/// Keeps the configuration at the newest generation: a few daemons of each
/// availability zone watch the store, the others pull from peers. Used only on
/// the control thread.
class ConfigAgent
{
public:
  ConfigAgent(boost::asio::io_context& aContext,
              std::unique_ptr<ConfigSource> aSource,
              Membership& aMembership,
              RoutePublisher& aPublisher,
              ControlPacer& aPacer,
              const Settings& aSettings);

  /// Runs until the process ends.
  void Run();

  /// Reads the published configuration and adopts it if it is newer.
  void ReadStore();

  /// Handles the generation that a peer advertises; pulls it if it is newer.
  void OnPeerGeneration(const Endpoint& aPeer, std::uint64_t aGeneration);

  /// Answers a peer's request for a configuration.
  void Reply(const std::shared_ptr<FrameConnection>& aFrames,
             const ConfigRequestMessage& aRequest);

  /// True once a configuration is in force and the first read of the store is
  /// over, even if that read failed.
  bool Ready() const { return this->firstReadDone && this->Generation() > 0; }

  /// True if this daemon watches the store on behalf of its availability zone.
  bool IsReader() const;

  std::uint64_t Generation() const
  {
    return this->publisher.CurrentConfiguration()->Generation();
  }

  /// Calls to the store since the start.
  std::uint64_t StoreCalls() const { return this->source->Calls(); }

  /// Called with the new generation once it is in force.
  std::function<void(std::uint64_t)> onAdopted;

private:
  void WatchStore();
  void HandleRead(const Result<std::optional<ConfigDelta>>& aRead);
  void LogStoreState(const Result<std::optional<ConfigDelta>>& aRead);
  void Pull(const Endpoint& aPeer);
  Result<ConfigDelta> Request(const Endpoint& aPeer, std::uint64_t aSince);
  Result<Done> Adopt(const ConfigDelta& aDelta, std::string_view aSource);

  boost::asio::io_context& context;
  Membership& membership;
  RoutePublisher& publisher;
  ControlPacer& pacer;
  const Settings& settings;
  std::unique_ptr<ConfigSource> source;
  PullPlan pulls;
  bool firstReadDone = false;
  /// Time of the last generation advertised by a peer.
  TimePoint lastPeerGenerationAt;
  /// Set while the store does not answer.
  std::optional<TimePoint> storeLostAt;
  SplitMix random;
};

}
