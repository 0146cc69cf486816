/// @file
#pragma once

#include "baobab/core/settings.hpp"
#include "baobab/decision/admission.hpp"
#include "baobab/decision/call_ledger.hpp"
#include "baobab/decision/quarantine.hpp"
#include "baobab/decision/target_register.hpp"
#include "baobab/net/frame_connection.hpp"
#include "baobab/node/route_table.hpp"
#include "baobab/node/target_client.hpp"

#include <functional>
#include <memory>
#include <unordered_map>

namespace baobab {

/// A connection from another daemon after its Hello.
struct SenderConnection
{
  std::uint64_t sender = 0;
  ConnectionNumber number = 0;
  /// True if the other daemon is in another region.
  bool across = false;
  std::shared_ptr<FrameConnection> frames;
  /// Last load report on this connection.
  LoadReport reported;
  TimePoint reportedAt;
  TimePoint lastCall;
};

/// Runs the calls that other daemons send for the local target. It belongs to
/// one thread.
class CallServer
{
public:
  /// Looks up the route of a service in the current table.
  using RouteLookup =
    std::function<std::shared_ptr<const ServiceRoute>(std::string_view)>;

  CallServer(TargetClient& aTarget,
             Quarantine& aQuarantine,
             RouteLookup aLookup,
             const Settings& aSettings);

  /// Registers a connection; the older one of the same sender is closed.
  /// Returns false if the connection itself is the older one.
  bool Open(const SenderConnection& aConnection);

  /// Unregisters a connection that was lost.
  void Close(const SenderConnection& aConnection);

  void OnCall(const SenderConnection& aConnection, CallMessage aCall);
  void OnAsk(const SenderConnection& aConnection, const AskMessage& aAsk);
  void OnRelease(const ReleaseMessage& aRelease);
  void OnCancel(const CancelMessage& aCancel);

  /// Takes over what the target announced, unless it is outdated.
  void Announce(const TargetAnnouncement& aAnnouncement);

  /// The target says that it is gone; it gets nothing new from here on.
  void Depart(std::string_view aInstance);

  /// Learns of a running target by its health path, after a start of this
  /// daemon and until the target announces itself.
  void Discover(std::string_view aService,
                const Endpoint& aAddress,
                std::string_view aHealthPath);

  /// Asks the target's health path for its load while it has calls and has
  /// not reported its load with an answer, until the process ends.
  void RunLoadProbes();

  /// Runs timers; called a few times a second.
  void Tick();

  /// Refuses everything that is new, for a shutdown.
  void StartLeaving();

  /// Calls that run or wait.
  std::size_t InFlight() const;

  /// State of the local target that may be spread to other daemons.
  TargetState State() const;

  const Admission& Gate() const { return this->admission; }

  /// Called when a crash has changed the suspects.
  std::function<void()> onSuspects;

private:
  struct Waiting
  {
    CallMessage call;
    TimePoint arrived;
    TimePoint deadline;
  };

  struct Running
  {
    bool suspect = false;
    TimePoint arrived;
    /// Slowness of the host at the start; 1 is the usual.
    double slowness = 1;
    TargetControl control;
  };

  void Decide(CallMessage aCall, TimePoint aDeadline);
  void Settle(const std::vector<Dequeued>& aDequeued);
  void Refuse(const CallId& aId, NotRun aRefusal);
  void Start(CallMessage aCall, TimePoint aArrived, TimePoint aDeadline);
  void RunCall(const CallMessage& aCall, TimePoint aDeadline);
  void Conclude(const CallMessage& aCall,
                TargetResult aResult,
                Micros aWork,
                Micros aHeld);
  void TakeLoad(const LoadReport& aLoad);
  void SpreadLoad();
  bool Charge(const SenderConnection& aConnection, std::int64_t aBytes);
  bool AnotherSuspectRuns() const;
  void NoteBroken(Fingerprint aFingerprint);
  void CheckForCrash(const std::vector<CallId>& aTogether);
  std::optional<LoadReport> ChargedReport(const CallId& aId);
  SenderConnection* ConnectionOf(const CallId& aId);

  TargetClient& target;
  Quarantine& quarantine;
  RouteLookup lookup;
  const Settings& settings;
  Admission admission;
  CallLedger ledger;
  bool leaving = false;
  TargetRegister targets;
  std::unordered_map<std::uint64_t, SenderConnection> senders;
  std::unordered_map<CallId, Waiting> waiting;
  std::unordered_map<CallId, Running> running;
  std::vector<Fingerprint> broken;
  /// Last time that the target reported its load, and that a call came.
  TimePoint loadKnownAt;
  TimePoint lastCallAt;
};

}
