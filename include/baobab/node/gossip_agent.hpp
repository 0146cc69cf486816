/// @file
#pragma once

#include "baobab/core/settings.hpp"
#include "baobab/decision/membership.hpp"
#include "baobab/decision/quarantine.hpp"
#include "baobab/decision/store_freshness.hpp"
#include "baobab/net/frame_connection.hpp"
#include "baobab/net/log_events.hpp"
#include "baobab/net/store.hpp"
#include "baobab/node/control_pacer.hpp"
#include "baobab/node/drop_counter.hpp"
#include "baobab/wire/lease_codec.hpp"

#include <functional>
#include <memory>

namespace baobab {

/// Counts of gossip traffic since the start.
struct GossipCounts
{
  std::uint64_t sent = 0;
  std::uint64_t sentBytes = 0;
  std::uint64_t received = 0;
  std::uint64_t receivedBytes = 0;
  /// Received datagrams that could not be decoded.
  DropCounter refused{ kGossipRefused };
  /// Datagrams that were not sent, or not with all their updates.
  DropCounter unsent{ kGossipUnsent };
  /// Full table exchanges that this daemon started.
  std::uint64_t exchanges = 0;
};

/// Sends and receives gossip over UDP, runs full table exchanges over TCP and
/// maintains the zone's seed list in the store. Used only on the control
/// thread.
class GossipAgent
{
public:
  GossipAgent(boost::asio::io_context& aContext,
              std::unique_ptr<Store> aStore,
              Membership& aMembership,
              Quarantine& aQuarantine,
              StoreFreshness& aFreshness,
              ControlPacer& aPacer,
              const Settings& aSettings);

  /// Opens the UDP socket. Fails with System.
  Result<Done> Open();

  /// Receives datagrams until the process ends.
  void Receive();

  /// Runs the timers of the membership until the process ends.
  void RunTimers();

  /// Exchanges tables with random peers, while digests differ, until the
  /// process ends.
  void RunExchanges();

  /// Contacts the peers of the seed lists, at the start and while no member is
  /// known, and keeps this zone's list up to date, until the process ends.
  void MaintainSeeds();

  /// Sends datagrams; drops those that exceed the control budget.
  /// @param aSuspicionsDiffer true if the receiver holds other suspicions
  void Send(std::vector<GossipSend> aSends, bool aSuspicionsDiffer = false);

  /// Sends a question for a proof, or the answer to one.
  void SendLease(const Endpoint& aTo, const LeaseMessage& aMessage);

  /// Answers a table request with the members of all buckets that differ.
  void Reply(const std::shared_ptr<FrameConnection>& aFrames,
             const TableRequestMessage& aRequest);

  /// Sends a datagram that is not gossip.
  void SendDatagram(const Endpoint& aTo, std::string_view aBytes);

  const GossipCounts& Counts() const { return this->counts; }
  std::uint64_t StoreCalls() const { return this->store->Calls(); }

  /// Called with the configuration generation that a peer advertises.
  std::function<void(const Endpoint&, std::uint64_t)> onGeneration;
  /// Called with each question for a proof and each answer.
  std::function<void(const LeaseMessage&)> onLease;
  /// Returns the evacuated zones to be sent with each datagram, if any.
  std::function<std::optional<EvacuatedZones>()> evacuatedZones;
  /// Called with the evacuated zones that a peer knows.
  std::function<void(const EvacuatedZones&)> onEvacuatedZones;
  /// Called after a datagram with suspicions, which may change routing.
  std::function<void()> onSuspicions;

  /// Called with a datagram about quotas and its sender.
  std::function<void(std::span<const std::uint8_t>, const Endpoint&)> onQuota;

private:
  void Handle(std::span<const std::uint8_t> aBytes);
  bool ReadSeeds();
  bool IsSeedWriter() const;
  void WriteSeeds();
  void ContactSeeds(std::string_view aText);
  Result<Done> Exchange(const Endpoint& aPeer);

  boost::asio::io_context& context;
  Membership& membership;
  Quarantine& quarantine;
  StoreFreshness& freshness;
  ControlPacer& pacer;
  const Settings& settings;
  Udp::socket socket;
  std::unique_ptr<Store> store;
  GossipCounts counts;
  SplitMix random;
  /// True if the table digest in the last datagram differs from this daemon's.
  bool digestsDiffer = false;
};

}
