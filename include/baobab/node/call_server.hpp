/// @file
#pragma once

#include "baobab/core/settings.hpp"
#include "baobab/decision/admission.hpp"
#include "baobab/decision/call_ledger.hpp"
#include "baobab/decision/quarantine.hpp"
#include "baobab/decision/target_register.hpp"
#include "baobab/node/admission_log.hpp"
#include "baobab/node/call_stats.hpp"
#include "baobab/node/crash_watch.hpp"
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
  bool AddConnection(const SenderConnection& aConnection);

  /// Unregisters a connection that was lost.
  void RemoveConnection(const SenderConnection& aConnection);

  void OnCall(const SenderConnection& aConnection, CallMessage aCall);
  void OnAsk(const SenderConnection& aConnection, const AskMessage& aAsk);
  void OnRelease(const ReleaseMessage& aRelease);
  void OnCancel(const CancelMessage& aCancel);

  /// Takes over what the target announced, unless it is outdated.
  void OnAnnouncement(const TargetAnnouncement& aAnnouncement);

  /// The target says that it is gone; it gets nothing new from here on.
  void OnDeparture(std::string_view aInstance);

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
  void StartShutdown();

  /// Calls that run or wait.
  std::size_t InFlight() const;

  /// State of the local target that may be spread to other daemons.
  TargetState State() const;

  const TargetStats& Stats() const { return this->stats; }

  const Admission& AdmissionControl() const { return this->admission; }

  /// Called when a crash has changed the suspects.
  std::function<void()> onSuspectsChanged;

private:
  struct Waiting
  {
    CallMessage call;
    TimePoint arrivedAt;
    TimePoint deadline;
  };

  struct Running
  {
    bool suspect = false;
    TimePoint arrivedAt;
    TimePoint startedAt;
    TimePoint deadline;
    /// Time until which an answer has its full worth.
    TimePoint objective;
    /// Slowness of the host at the start; 1 is the usual.
    double slowness = 1;
    TargetCallControl control;
  };

  void Admit(CallMessage aCall, TimePoint aDeadline);
  std::optional<NotRun> EarlyRefusal(const CallMessage& aCall);
  void ApplyDequeued(const std::vector<Dequeued>& aDequeued);
  void SendRefusal(const CallId& aId, NotRun aRefusal);
  void RefuseCall(const CallMessage& aCall,
                  NotRun aRefusal,
                  TimePoint aArrived,
                  TimePoint aDeadline);
  void RefuseWaiting(const CallId& aId, NotRun aRefusal);
  void StartCall(Waiting aWaiting);
  void RunCall(const CallMessage& aCall, TimePoint aDeadline);
  void FinishCall(const CallMessage& aCall,
                  TargetResult aResult,
                  const Running& aRun);
  void SendAnswer(const CallMessage& aCall,
                  Response aResponse,
                  const Running& aRun);
  void SendLost(const CallMessage& aCall,
                UnknownCause aCause,
                const Running& aRun);
  void UpdateLoad(const LoadReport& aLoad);
  void SendLoadUpdates();
  bool IsSuspectRunning() const;
  void RecordBrokenConnection(Fingerprint aFingerprint);
  Duration SuspicionLifetime() const;
  std::optional<LoadReport> LoadReportFor(const CallId& aId);
  LoggedCall ToLoggedCall(const CallMessage& aCall,
                          TimePoint aArrived,
                          TimePoint aDeadline) const;

  TargetClient& target;
  Quarantine& quarantine;
  RouteLookup findRoute;
  const Settings& settings;
  CrashWatch crashes;
  Admission admission;
  CallLedger ledger;
  bool shuttingDown = false;
  TargetRegister targets;
  TargetStats stats;
  SenderConnections senders;
  LoadReporter reporter{ this->senders };
  std::unordered_map<CallId, Waiting> waiting;
  std::unordered_map<CallId, Running> running;
  /// Last time that the target reported its load, and that a call came.
  TimePoint lastLoadAt;
  TimePoint lastCallAt;
};

}
