/// @file
#pragma once

#include "baobab/core/settings.hpp"
#include "baobab/decision/key_lease.hpp"
#include "baobab/decision/membership.hpp"
#include "baobab/node/config_agent.hpp"
#include "baobab/node/gossip_agent.hpp"
#include "baobab/node/lease_cell.hpp"
#include "baobab/node/route_publisher.hpp"
#include "baobab/wire/lease_codec.hpp"

namespace baobab {

/// Keeps the proof that the configuration in force is recent enough for the
/// keys of workspaces, if the settings limit how long withdrawn keys stay valid
/// and the configuration declares workspaces. Used only on the control thread.
class KeyLeaseAgent
{
public:
  KeyLeaseAgent(ConfigAgent& aConfig,
                GossipAgent& aGossip,
                Membership& aMembership,
                RoutePublisher& aPublisher,
                LeaseCell& aCell,
                const Settings& aSettings);

  /// Asks the store and peers, until the process ends.
  void Run();

  /// Handles a datagram of another daemon.
  void Handle(const LeaseMessage& aMessage);

  /// Passes the proof on to the workers. Called after a configuration was
  /// adopted, too.
  void Publish();

private:
  bool Needed() const;
  void AskStore();
  void AskPeer(const std::vector<Endpoint>& aRanked);

  ConfigAgent& config;
  GossipAgent& gossip;
  Membership& membership;
  RoutePublisher& publisher;
  LeaseCell& cell;
  const Settings& settings;
  KeyLease lease;
  std::size_t storeQuestions = 0;
};

}
