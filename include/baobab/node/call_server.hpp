/// @file
#pragma once

#include "baobab/core/settings.hpp"
#include "baobab/decision/admission.hpp"
#include "baobab/decision/call_ledger.hpp"
#include "baobab/decision/quarantine.hpp"
#include "baobab/decision/target_register.hpp"
#include "baobab/node/admission_log.hpp"
#include "baobab/node/call_stats.hpp"
#include "baobab/node/crash_detector.hpp"
#include "baobab/node/load_reporter.hpp"
#include "baobab/node/route_table.hpp"
#include "baobab/node/sender_connections.hpp"
#include "baobab/node/target_client.hpp"

#include <functional>
#include <memory>
#include <unordered_map>

namespace baobab {

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

  const TargetStats& Stats() const { return this->stats; }

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
    TimePoint began;
    TimePoint deadline;
    /// Time until which an answer has its full worth.
    TimePoint objective;
    /// Slowness of the host at the start; 1 is the usual.
    double slowness = 1;
    TargetControl control;
  };

  void Decide(CallMessage aCall, TimePoint aDeadline);
  std::optional<NotRun> RefusalOf(const CallMessage& aCall);
  void Settle(const std::vector<Dequeued>& aDequeued);
  void Refuse(const CallId& aId, NotRun aRefusal);
  void RefuseCall(const CallMessage& aCall,
                  NotRun aRefusal,
                  TimePoint aArrived,
                  TimePoint aDeadline);
  void RefuseWaiting(const CallId& aId, NotRun aRefusal);
  void Start(Waiting aWaiting);
  void RunCall(const CallMessage& aCall, TimePoint aDeadline);
  void Conclude(const CallMessage& aCall,
                TargetResult aResult,
                const Running& aRun);
  void Answer(const CallMessage& aCall,
              Response aResponse,
              const Running& aRun);
  void Lose(const CallMessage& aCall, UnknownCause aCause, const Running& aRun);
  void TakeLoad(const LoadReport& aLoad);
  void SpreadLoad();
  bool AnotherSuspectRuns() const;
  void NoteBroken(Fingerprint aFingerprint);
  Duration SuspicionLifetime() const;
  std::optional<LoadReport> ReportFor(const CallId& aId);
  LoggedCall Logged(const CallMessage& aCall,
                    TimePoint aArrived,
                    TimePoint aDeadline) const;

  TargetClient& target;
  Quarantine& quarantine;
  RouteLookup lookup;
  const Settings& settings;
  CrashDetector crashes;
  Admission admission;
  CallLedger ledger;
  bool leaving = false;
  TargetRegister targets;
  TargetStats stats;
  SenderConnections senders;
  LoadReporter reporter{ this->senders };
  std::unordered_map<CallId, Waiting> waiting;
  std::unordered_map<CallId, Running> running;
  /// Last time that the target reported its load, and that a call came.
  TimePoint loadKnownAt;
  TimePoint lastCallAt;
};

}
