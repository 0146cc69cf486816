/// @file
/// The receiving side of calls between daemons.
#pragma once

#include "baobab/core/settings.hpp"
#include "baobab/decision/admission.hpp"
#include "baobab/decision/announcement_filter.hpp"
#include "baobab/decision/call_ledger.hpp"
#include "baobab/decision/quarantine.hpp"
#include "baobab/decision/request_limit.hpp"
#include "baobab/node/admission_log.hpp"
#include "baobab/node/call_stats.hpp"
#include "baobab/node/crash_detector.hpp"
#include "baobab/node/load_reporter.hpp"
#include "baobab/node/route_table.hpp"
#include "baobab/node/sender_connections.hpp"
#include "baobab/node/target_client.hpp"
#include "baobab/node/target_probe.hpp"

#include <functional>
#include <memory>
#include <unordered_map>

namespace baobab {

/// Runs the calls that daemons send for the local target: admits, queues or
/// refuses them, sends them to the target and returns the outcomes. Used by one
/// thread only.
class CallServer
{
public:
  /// Finds a service in the current route table; null if it is not known.
  using ServiceLookup =
    std::function<std::shared_ptr<const ServiceRoute>(std::string_view)>;

  CallServer(TargetClient& aTarget,
             Quarantine& aQuarantine,
             ServiceLookup aFindService,
             const Settings& aSettings);

  /// Registers a connection, and closes an older one of the same sender.
  /// Returns false if the sender has a newer connection already.
  bool AddConnection(const SenderConnection& aConnection);

  /// Unregisters a connection that was closed or lost.
  void RemoveConnection(const SenderConnection& aConnection);

  /// Handles a call that arrived. Ignores it if the ledger does not admit it,
  /// for example because its sender has a newer connection.
  void OnCall(const SenderConnection& aConnection, CallMessage aCall);
  /// Answers a sender's query for the outcome of a call.
  void OnOutcomeQuery(const SenderConnection& aConnection,
                      const OutcomeQueryMessage& aQuery);
  /// Forgets a call whose sender has received its outcome.
  void OnRelease(const ReleaseMessage& aRelease);
  /// Cancels a call that waits, and one that runs if the message allows it.
  void OnCancel(const CancelMessage& aCancel);

  /// Applies an announcement of the target, unless it is outdated.
  void OnAnnouncement(const TargetAnnouncement& aAnnouncement);

  /// Handles the departure of the target, which it announced or named in an
  /// answer; it gets no more calls.
  void OnDeparture(std::string_view aInstance);

  /// Looks for a running target by its health path and accepts calls for it.
  /// Used when this daemon has started and the target has not announced itself
  /// yet.
  void Discover(std::string_view aService,
                const Endpoint& aAddress,
                std::string_view aHealthPath);

  /// Requests the load from the target's health path while calls arrive and the
  /// target does not report it with its answers. Never returns.
  void RunLoadProbes();

  /// Applies the time limits of waiting calls, finished calls and suspicions;
  /// called periodically.
  void Tick();

  /// Refuses all waiting calls and all new ones.
  void StartShutdown();

  /// Begins or ends an evacuation of the target's availability zone. Waiting
  /// calls and new ones are refused meanwhile; calls that run are not affected.
  void SetEvacuated(bool aEvacuated);

  /// Number of calls that run or wait.
  std::size_t InFlight() const;

  /// State of the local target as published to other daemons.
  TargetState State() const;

  const TargetStats& Stats() const { return this->stats; }

  /// Requests a second that the target takes; nothing if it named no limit.
  const std::optional<double>& TargetRequestLimit() const
  {
    return this->requestLimit.Rate();
  }

  /// Admission control of the local target.
  const Admission& AdmissionControl() const { return this->admission; }

  /// Called when a crash of the target has changed the set of suspects.
  std::function<void()> onSuspectsChanged;

private:
  void ProveAnnouncements();
  void ApplyAnnouncement(const TargetAnnouncement& aAnnouncement,
                         const std::optional<TargetProof>& aProof);

  /// A call in the queue.
  struct WaitingCall
  {
    CallMessage call;
    TimePoint arrivedAt;
    TimePoint deadline;
  };

  /// A call that was sent to the target.
  struct RunningCall
  {
    /// True if the request is suspected of crashing targets.
    bool suspect = false;
    TimePoint arrivedAt;
    TimePoint startedAt;
    TimePoint deadline;
    /// Latency objective; the call is logged if its answer comes later.
    TimePoint objective;
    /// Slowdown of the host when the call started; 1 is normal speed.
    double slowness = 1;
    /// Calls that ran when the call started, including itself.
    std::uint16_t concurrency = 1;
    TargetCallControl control;
  };

  void Admit(CallMessage aCall, TimePoint aDeadline);
  std::optional<NotRun> EarlyRefusal(const CallMessage& aCall);
  void ApplyDequeued(std::vector<DequeuedCall> aDequeued);
  void SendRefusal(const CallId& aId, NotRun aRefusal);
  void RefuseCall(const CallMessage& aCall,
                  NotRun aRefusal,
                  TimePoint aArrivedAt,
                  TimePoint aDeadline);
  void RefuseWaiting(const CallId& aId, NotRun aRefusal);
  void RefuseAllWaiting(const NotRun& aRefusal);
  std::vector<DequeuedCall> StartCall(WaitingCall aWaiting);
  void RunCall(const CallMessage& aCall, TimePoint aDeadline);
  void FinishCall(const CallMessage& aCall,
                  TargetResult aResult,
                  const RunningCall& aRun);
  void SendAnswer(const CallMessage& aCall,
                  Response aResponse,
                  const RunningCall& aRun);
  void SendOutcomeUnknown(const CallMessage& aCall,
                          UnknownCause aCause,
                          const RunningCall& aRun);
  std::vector<DequeuedCall> ReleaseSlot(const CallMessage& aCall,
                                        const TargetResult& aResult,
                                        const RunningCall& aRun);
  void ApplySignals(const TargetSignals& aSignals, std::string_view aInstance);
  void UpdateLoad(const LoadReport& aLoad);
  void ApplyHealth(const HealthReport& aHealth);
  bool IsAskedForWarmth(const ServiceSpec& aSpec) const;
  void ApplyWarmup(const TargetAnnouncement& aAnnouncement,
                   const TargetAnnouncement& aBefore);
  void LogWarmth(bool aWasCold);
  void ProveWarmth();
  void SendLoadUpdates();
  NotRun LimitRefusal() const;
  bool IsSuspectRunning() const;
  void RecordBrokenConnection(Fingerprint aFingerprint);
  Duration SuspicionLifetime() const;
  std::optional<LoadReport> LoadReportFor(const CallId& aId);
  LoggedCall ToLoggedCall(const CallMessage& aCall,
                          TimePoint aArrivedAt,
                          TimePoint aDeadline) const;

  TargetClient& target;
  Quarantine& quarantine;
  ServiceLookup findService;
  const Settings& settings;
  CrashDetector crashDetector;
  Admission admission;
  CallLedger ledger;
  RequestLimit requestLimit;
  bool shuttingDown = false;
  bool evacuated = false;
  AnnouncementFilter announcements;
  /// Last announcement that needs a proof, until the target is asked.
  std::optional<TargetAnnouncement> unproven;
  bool proving = false;
  /// True once the target's health path has told how warm it is.
  bool warmthReported = false;
  bool provingWarmth = false;
  TimePoint warmthAskedAt;
  TargetStats stats;
  SenderConnections senders;
  LoadReporter reporter{ this->senders };
  std::unordered_map<CallId, WaitingCall> waiting;
  std::unordered_map<CallId, RunningCall> running;
  /// Time of the target's last load report, or of the last probe for it.
  TimePoint lastLoadAt;
  /// Time at which the last call arrived.
  TimePoint lastCallAt;
};

}
