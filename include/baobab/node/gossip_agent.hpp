/// @file
#pragma once

#include "baobab/core/settings.hpp"
#include "baobab/decision/membership.hpp"
#include "baobab/decision/quarantine.hpp"
#include "baobab/net/frame_connection.hpp"
#include "baobab/net/store.hpp"
#include "baobab/node/control_pacer.hpp"

#include <functional>
#include <memory>

namespace baobab {

/// Datagrams sent and received since the start.
struct GossipCounts
{
  std::uint64_t sent = 0;
  std::uint64_t sentBytes = 0;
  std::uint64_t received = 0;
  std::uint64_t receivedBytes = 0;
  std::uint64_t invalid = 0;
  std::uint64_t dropped = 0;
  std::uint64_t exchanges = 0;
};

/// Carries gossip over UDP, full exchanges over TCP, and keeps the first
/// peers in the store. It belongs to the control thread.
class GossipAgent
{
public:
  GossipAgent(boost::asio::io_context& aContext,
              std::unique_ptr<Store> aStore,
              Membership& aMembership,
              Quarantine& aQuarantine,
              ControlPacer& aPacer,
              const Settings& aSettings);

  /// Opens the socket. Fails with System.
  Result<Done> Open();

  /// Reads datagrams until the process ends.
  void Receive();

  /// Runs the timers of the membership until the process ends.
  void RunTimers();

  /// Exchanges tables with random peers until the process ends.
  void RunExchanges();

  /// Finds first peers, and keeps them in the store, until the process ends.
  void MaintainSeeds();

  /// Sends datagrams as far as the budget allows.
  void Send(std::vector<GossipSend> aSends);

  /// Answers a peer's request for members.
  void Reply(const std::shared_ptr<FrameConnection>& aFrames,
             const TableRequestMessage& aRequest);

  const GossipCounts& Counts() const { return this->counts; }
  std::uint64_t StoreCalls() const { return this->store->Calls(); }

  /// Called with each peer's generation.
  std::function<void(const Endpoint&, std::uint64_t)> onGeneration;
  /// Called after news that may change routes.
  std::function<void()> onSuspicions;

private:
  void Handle(std::span<const std::uint8_t> aBytes);
  void Exchange(const Endpoint& aPeer);
  bool ReadSeeds();
  bool IsSeedWriter() const;
  void WriteSeeds();
  void GreetAll(std::string_view aText);

  boost::asio::io_context& context;
  Membership& membership;
  Quarantine& quarantine;
  ControlPacer& pacer;
  const Settings& settings;
  Udp::socket socket;
  std::unique_ptr<Store> store;
  GossipCounts counts;
  SplitMix random;
  bool digestsDiffer = false;
};

}
