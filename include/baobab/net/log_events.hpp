/// @file
/// Catalogue of all log events. docs/LOGS.md is generated from it.
#pragma once

#include "baobab/net/log_event.hpp"

#include <string>

namespace baobab {

/// Returns the reference of all events as Markdown.
std::string LogReference();

// Process.

inline constexpr LogEvent kStarted{
  "started",
  "daemon",
  LogLevel::Info,
  LogDropPolicy::DropLast,
  "The daemon is up and serves calls.",
  std::array{ LogField{ "version", "version of the program" },
              LogField{ "callers", "listen address for callers" },
              LogField{ "peers", "listen address for other daemons" },
              LogField{ "region", "region of the host" },
              LogField{ "zone", "availability zone of the host" } }
};

inline constexpr LogEvent kCallerConnectionsLowered{
  "caller_connections_lowered",
  "daemon",
  LogLevel::Warning,
  LogDropPolicy::DropLast,
  "Callers may open fewer connections than `caller_connections`, so that "
  "descriptors are left for the target, other daemons, the store and files. "
  "Raise the process's limit of open files, or lower the setting.",
  std::array{ LogField{ "connections", "connections that callers may open" },
              LogField{ "set", "connections that are set" },
              LogField{ "descriptors", "limit of open files" } }
};

inline constexpr LogEvent kMemoryBound{
  "memory_bound",
  "daemon",
  LogLevel::Info,
  LogDropPolicy::DropLast,
  "The memory that the process may use, once at its start.",
  std::array{ LogField{ "source",
                        "setting, control_group, shared_control_group, "
                        "data_limit, address_space_limit, host or unknown" },
              LogField{ "limit_bytes", "memory of the process; 0: unknown" },
              LogField{ "bound_bytes", "bound of all messages; 0: none" } }
};

inline constexpr LogEvent kDraining{
  "draining",
  "daemon",
  LogLevel::Info,
  LogDropPolicy::DropLast,
  "A graceful shutdown has started.",
  std::array{ LogField{ "in_flight", "calls in progress at the local target" } }
};

inline constexpr LogEvent kStopped{
  "stopped",
  "daemon",
  LogLevel::Info,
  LogDropPolicy::DropLast,
  "The shutdown is complete.",
  std::array{ LogField{ "in_flight", "calls that were aborted" } }
};

inline constexpr LogEvent kWorkersStalled{
  "workers_stalled",
  "daemon",
  LogLevel::Error,
  LogDropPolicy::DropLast,
  "A thread that serves callers makes no progress; the daemon is not ready. If "
  "the threads do not resume, restart the daemon.",
  std::array<LogField, 0>{}
};

inline constexpr LogEvent kWorkersResumed{
  "workers_resumed",
  "daemon",
  LogLevel::Info,
  LogDropPolicy::DropLast,
  "All threads that serve callers make progress again.",
  std::array<LogField, 0>{}
};

inline constexpr LogEvent kSettingsApplied{
  "settings_applied",
  "daemon",
  LogLevel::Info,
  LogDropPolicy::DropLast,
  "The settings file was reloaded and its changes are in effect.",
  std::array{ LogField{ "changed", "changed keys that are in effect now" },
              LogField{ "after_restart",
                        "changed keys that take effect at the next start" } }
};

inline constexpr LogEvent kSettingsRejected{
  "settings_rejected",
  "daemon",
  LogLevel::Error,
  LogDropPolicy::DropLast,
  "The settings file is invalid; the previous settings stay in effect.",
  std::array{ LogField{ "error", "location, cause and remedy" } }
};

inline constexpr LogEvent kLogDropped{
  "log_dropped",
  "log",
  LogLevel::Warning,
  LogDropPolicy::DropLast,
  "Log lines were dropped because the log is read too slowly.",
  std::array{ LogField{ "lines", "lines dropped since the last report" } }
};

// State of targets, daemons and configurations.

inline constexpr LogEvent kTargetState{
  "target_state",
  "target",
  LogLevel::Info,
  LogDropPolicy::DropLast,
  "The state of the local target has changed.",
  std::array{ LogField{ "instance", "instance of the target" },
              LogField{ "state", "starting, ready, leaving or none" },
              LogField{ "slots", "calls that the target can run at once" } }
};

inline constexpr LogEvent kTargetDeparted{
  "target_departed",
  "target",
  LogLevel::Info,
  LogDropPolicy::DropLast,
  "The local target reported that it has left; it gets no new calls.",
  std::array{ LogField{ "instance", "instance of the target" } }
};

inline constexpr LogEvent kAnnouncementOutdated{
  "announcement_outdated",
  "target",
  LogLevel::Info,
  LogDropPolicy::DropFirst,
  "An announcement that is older than the current one was ignored.",
  std::array{ LogField{ "instance", "instance named in the announcement" },
              LogField{ "sequence", "sequence number of the announcement" } }
};

inline constexpr LogEvent kAnnouncementUnproven{
  "announcement_unproven",
  "target",
  LogLevel::Info,
  LogDropPolicy::DropFirst,
  "An announcement that may be older than the target's departure was ignored, "
  "because the target did not confirm it on its health path.",
  std::array{ LogField{ "instance", "instance named in the announcement" } }
};

inline constexpr LogEvent kAnnouncementForeign{
  "announcement_foreign",
  "target",
  LogLevel::Warning,
  LogDropPolicy::DropLast,
  "An announcement for a target other than the local one was ignored.",
  std::array{ LogField{ "address", "address named in the announcement" },
              LogField{ "service", "service named in the announcement" } }
};

inline constexpr LogEvent kAnnouncementInvalid{
  "announcement_invalid",
  "target",
  LogLevel::Warning,
  LogDropPolicy::DropLast,
  "An announcement could not be parsed.",
  std::array{ LogField{ "error", "cause and remedy" } }
};

inline constexpr LogEvent kTargetCrashed{
  "target_crashed",
  "target",
  LogLevel::Warning,
  LogDropPolicy::DropLast,
  "The local target crashed; the requests that were running there are "
  "suspected as the cause.",
  std::array{ LogField{ "suspects", "number of suspected requests" },
              LogField{ "fingerprints", "hashes of some of these requests" } }
};

inline constexpr LogEvent kTargetLimit{
  "target_limit",
  "target",
  LogLevel::Info,
  LogDropPolicy::DropFirst,
  "The limit of requests that the target names has changed.",
  std::array{ LogField{ "requests_per_second", "0 if the limit has ended" } }
};

inline constexpr LogEvent kTargetWarmth{
  "target_warmth",
  "target",
  LogLevel::Info,
  LogDropPolicy::DropFirst,
  "The target has become cold or warm. A cold one gets a limited number of "
  "calls.",
  std::array{ LogField{ "instance", "instance of the target" },
              LogField{ "state", "cold or warm" },
              LogField{ "calls_per_second", "calls that it takes while cold" } }
};

inline constexpr LogEvent kQuarantineRead{
  "quarantine_read",
  "target",
  LogLevel::Info,
  LogDropPolicy::DropLast,
  "Suspicions of crashing targets were read from the object store.",
  std::array{ LogField{ "suspicions", "number of them" } }
};

inline constexpr LogEvent kQuarantineStored{
  "quarantine_stored",
  "target",
  LogLevel::Info,
  LogDropPolicy::DropLast,
  "Suspicions of crashing targets were written to the object store.",
  std::array{ LogField{ "suspicions", "number in the stored list" } }
};

inline constexpr LogEvent kQuarantineNotStored{
  "quarantine_not_stored",
  "target",
  LogLevel::Warning,
  LogDropPolicy::DropFirst,
  "Suspicions of crashing targets could not be stored; it is tried again.",
  std::array{ LogField{ "error", "cause" } }
};

inline constexpr LogEvent kTargetConnectionLost{
  "target_connection_lost",
  "target",
  LogLevel::Info,
  LogDropPolicy::DropFirst,
  "A connection that had been used before broke before the answer to a "
  "request.",
  std::array{ LogField{ "request", "request ID from the caller's header" },
              LogField{ "target_listens",
                        "whether the target accepted a new connection" } }
};

inline constexpr LogEvent kTargetAnswerMalformed{
  "target_answer_malformed",
  "target",
  LogLevel::Warning,
  LogDropPolicy::DropFirst,
  "The target sent a malformed answer. It is not passed on, and the outcome of "
  "the request is unknown.",
  std::array{ LogField{ "request", "request ID from the caller's header" },
              LogField{ "call", "ID of the attempt" },
              LogField{ "error", "which part is malformed" } }
};

inline constexpr LogEvent kMemberState{
  "member_state",
  "members",
  LogLevel::Info,
  LogDropPolicy::DropFirst,
  "The state of another daemon or its target, as known to this daemon, has "
  "changed.",
  std::array{
    LogField{ "member", "address of the daemon" },
    LogField{ "zone", "availability zone of the daemon" },
    LogField{ "state", "alive, suspect, dead or unreachable" },
    LogField{ "service", "service of the target" },
    LogField{ "target",
              "state of the target: starting, ready, leaving or none" },
    LogField{ "incarnation",
              "version of the state that the daemon reports of itself" } }
};

inline constexpr LogEvent kConfigurationAdopted{
  "configuration_adopted",
  "config",
  LogLevel::Info,
  LogDropPolicy::DropLast,
  "A new configuration is in effect.",
  std::array{
    LogField{ "generation",
              "generation of the configuration; it only increases" },
    LogField{ "source", "store or peer" },
    LogField{ "from", "address of the store or peer" },
    LogField{ "previous", "generation that was in effect before" },
    LogField{ "position",
              "position in the store's history; empty from a peer" },
    LogField{
      "newer_known_ms",
      "time since a peer advertised a newer generation; 0 if none did" } }
};

inline constexpr LogEvent kConfigurationState{
  "configuration_state",
  "config",
  LogLevel::Info,
  LogDropPolicy::DropFirst,
  "What this daemon knows of the published configuration. Logged every ten "
  "seconds.",
  std::array{
    LogField{ "generation", "generation of the configuration in effect" },
    LogField{ "advertised", "highest generation that a peer advertised" },
    LogField{ "reader", "true if this daemon watches the store for its zone" },
    LogField{ "confirmed_ms",
              "time since the store was asked and knew no newer generation; -1 "
              "if that is not known" },
    LogField{ "position",
              "position in the store's history of that confirmation" },
    LogField{ "failed_reads", "reads of the store that failed, in total" },
    LogField{ "failed_pulls", "pulls from peers that failed, in total" } }
};

inline constexpr LogEvent kConfigurationRejected{
  "configuration_rejected",
  "config",
  LogLevel::Error,
  LogDropPolicy::DropLast,
  "A configuration is invalid; the previous one stays in effect.",
  std::array{ LogField{ "source", "store or peer" },
              LogField{ "error", "cause" } }
};

inline constexpr LogEvent kRetriesDenied{
  "retries_denied",
  "ingress",
  LogLevel::Warning,
  LogDropPolicy::DropLast,
  "Retries were denied because this daemon's share of the fleet-wide retry "
  "budget is used up. Logged at most once per second.",
  std::array{ LogField{ "service", "service of the calls" },
              LogField{ "denied", "retries denied since the last line" } }
};

// Object store and peers.

inline constexpr LogEvent kZoneEvacuated{
  "zone_evacuated",
  "evacuation",
  LogLevel::Warning,
  LogDropPolicy::DropLast,
  "An availability zone is evacuated: its targets get no more calls.",
  std::array{
    LogField{ "zone", "availability zone" },
    LogField{ "service", "service with the smallest part of its slots left" },
    LogField{ "slots_left", "slots of its targets in other zones" },
    LogField{ "slots", "slots of all its targets" } }
};

inline constexpr LogEvent kZoneRestored{
  "zone_restored",
  "evacuation",
  LogLevel::Info,
  LogDropPolicy::DropLast,
  "The evacuation of an availability zone has ended.",
  std::array{ LogField{ "zone", "availability zone" } }
};

inline constexpr LogEvent kStoreLost{
  "store_lost",
  "config",
  LogLevel::Warning,
  LogDropPolicy::DropLast,
  "The object store does not respond, or shows an older state than before or a "
  "configuration that cannot be read; the known one stays in effect. Logged "
  "again when the cause changes, at most once a second.",
  std::array{ LogField{ "error", "cause" } }
};

inline constexpr LogEvent kStoreRegained{
  "store_regained",
  "config",
  LogLevel::Info,
  LogDropPolicy::DropLast,
  "The object store responds again.",
  std::array{ LogField{ "after_ms", "length of the outage" } }
};

inline constexpr LogEvent kPullFailed{
  "pull_failed",
  "config",
  LogLevel::Info,
  LogDropPolicy::DropFirst,
  "A peer did not provide its configuration; another peer is tried.",
  std::array{ LogField{ "peer", "address of the daemon" },
              LogField{ "error", "cause" } }
};

inline constexpr LogEvent kGossipRefused{
  "gossip_refused",
  "members",
  LogLevel::Warning,
  LogDropPolicy::DropFirst,
  "Gossip datagrams of other daemons could not be used.",
  std::array{ LogField{ "reason", "what was wrong with them" },
              LogField{ "datagrams", "number since the last such line" } }
};

inline constexpr LogEvent kGossipUnsent{
  "gossip_unsent",
  "members",
  LogLevel::Warning,
  LogDropPolicy::DropFirst,
  "Gossip datagrams were not sent, or not as a whole.",
  std::array{ LogField{ "reason", "why" },
              LogField{ "datagrams", "number since the last such line" } }
};

// Quotas.

inline constexpr LogEvent kQuotaLender{
  "quota_lender",
  "quota",
  LogLevel::Info,
  LogDropPolicy::DropLast,
  "This daemon borrows the tokens of limited workspaces from another lender.",
  std::array{ LogField{ "lender", "peer address of the lender" } }
};

inline constexpr LogEvent kQuotaExceeded{
  "quota_exceeded",
  "quota",
  LogLevel::Warning,
  LogDropPolicy::DropLast,
  "Calls of a workspace were refused because all daemons together have let in "
  "as many as its limit allows.",
  std::array{ LogField{ "workspace", "name of the workspace" },
              LogField{ "calls", "number since the last such line" } }
};

inline constexpr LogEvent kQuotaMessageRefused{
  "quota_message_refused",
  "quota",
  LogLevel::Warning,
  LogDropPolicy::DropFirst,
  "Received datagrams about quotas could not be decoded.",
  std::array{ LogField{ "reason", "why" },
              LogField{ "datagrams", "number since the last such line" } }
};

inline constexpr LogEvent kExchangeFailed{
  "exchange_failed",
  "members",
  LogLevel::Info,
  LogDropPolicy::DropFirst,
  "A full exchange of the member tables failed; another peer is asked later.",
  std::array{ LogField{ "peer", "address of the daemon" },
              LogField{ "error", "cause" } }
};

inline constexpr LogEvent kSeedsNotWritten{
  "seeds_not_written",
  "members",
  LogLevel::Warning,
  LogDropPolicy::DropLast,
  "The zone's list of seed peers could not be written; it is tried again.",
  std::array{ LogField{ "error", "cause" } }
};

inline constexpr LogEvent kSeedInvalid{
  "seed_invalid",
  "members",
  LogLevel::Warning,
  LogDropPolicy::DropFirst,
  "A line of a list of seed peers is no address and is ignored.",
  std::array{ LogField{ "error", "cause" } }
};

inline constexpr LogEvent kPeersMissing{
  "peers_missing",
  "members",
  LogLevel::Warning,
  LogDropPolicy::DropLast,
  "The seed peers could not be read from the object store.",
  std::array{ LogField{ "error", "cause" } }
};

inline constexpr LogEvent kStatusInvalid{
  "status_invalid",
  "status",
  LogLevel::Warning,
  LogDropPolicy::DropLast,
  "The status object of the availability zone could not be parsed.",
  std::array{ LogField{ "error", "cause" } }
};

inline constexpr LogEvent kLinkConnectFailed{
  "link_connect_failed",
  "link",
  LogLevel::Info,
  LogDropPolicy::DropFirst,
  "No connection could be opened to a daemon that calls wait for.",
  std::array{ LogField{ "peer", "address of the daemon" },
              LogField{ "calls", "calls that wait for the daemon" },
              LogField{ "error", "cause" } }
};

inline constexpr LogEvent kStoreEntryInvalid{
  "store_entry_invalid",
  "store",
  LogLevel::Warning,
  LogDropPolicy::DropFirst,
  "An entry of a list of the object store could not be parsed and is left "
  "out. Logged once for each name.",
  std::array{ LogField{ "name", "name of the entry, if it can be read" },
              LogField{ "reason", "why it cannot be parsed" } }
};

inline constexpr LogEvent kLinkLost{
  "link_lost",
  "link",
  LogLevel::Info,
  LogDropPolicy::DropLast,
  "A connection with calls in flight was lost; the daemon is asked for their "
  "outcome.",
  std::array{ LogField{ "peer", "address of the daemon" },
              LogField{ "calls", "calls in flight" },
              LogField{ "silent",
                        "true if the peer stopped responding, false if the "
                        "connection was closed" } }
};

inline constexpr LogEvent kPeerMessageInvalid{
  "peer_message_invalid",
  "link",
  LogLevel::Warning,
  LogDropPolicy::DropLast,
  "A connection from another daemon was closed because of an invalid message.",
  std::array{ LogField{ "error", "cause" } }
};

inline constexpr LogEvent kPeerAnswerMalformed{
  "peer_answer_malformed",
  "link",
  LogLevel::Warning,
  LogDropPolicy::DropFirst,
  "Another daemon sent a malformed answer, as earlier versions may. It is not "
  "passed on, and the outcome of the request is unknown.",
  std::array{ LogField{ "request", "ID of the request" },
              LogField{ "peer", "address of the daemon" },
              LogField{ "error", "which part is malformed" } }
};

// Calls, at the daemon that received the call from its caller.

inline constexpr LogEvent kCallAttempt{
  "call_attempt",
  "ingress",
  LogLevel::Info,
  LogDropPolicy::DropLast,
  "An attempt to run a call at a target. Logged together with `call_ended`.",
  std::array{
    LogField{ "request", "ID of the request" },
    LogField{ "call", "ID of the attempt, the same at both daemons" },
    LogField{ "target", "address of the daemon of the chosen target" },
    LogField{ "tier", "same-zone, same-region or other-region" },
    LogField{ "second",
              "true if it was sent while another attempt was running" },
    LogField{ "expected_ms", "expected time until the response" },
    LogField{ "alternative_ms",
              "expected time at the next best target; 0: none" },
    LogField{ "known_others",
              "calls of other daemons at the target, as last reported" },
    LogField{ "own", "calls of this daemon at the target, including this one" },
    LogField{ "known_slots", "calls that the target can run at once" },
    LogField{ "known_slowness",
              "slowness of the target's host in percent; 100 is normal" },
    LogField{ "report_age_ms",
              "age of the target's load report; negative: no report" },
    LogField{ "began_ms",
              "start of the attempt, counted from the arrival of the call" },
    LogField{ "took_ms", "duration of the attempt" },
    LogField{ "held_ms",
              "part of `took_ms` spent at the target's daemon; 0: unknown" },
    LogField{ "outcome", "answered, not-run or unknown" },
    LogField{ "detail", "HTTP status, reason of a refusal, or cause" } }
};

inline constexpr LogEvent kCallEnded{
  "call_ended",
  "ingress",
  LogLevel::Info,
  LogDropPolicy::DropLast,
  "A call has ended. Logged for every call whose class is not `good`, and for "
  "a sample of the others.",
  std::array{
    LogField{ "request", "ID of the request" },
    LogField{ "service", "called service" },
    LogField{ "route", "host and path prefix of the route" },
    LogField{ "idempotent", "true if the call may run more than once" },
    LogField{ "class", "good, late, failed, not-run or unknown" },
    LogField{
      "status",
      "HTTP status sent to the caller; 0: the caller has disconnected" },
    LogField{ "detail", "reason and detail of a refusal, or the cause" },
    LogField{ "took_ms", "duration of the call" },
    LogField{ "time_ms", "time limit of the call" },
    LogField{ "attempts", "number of attempts" },
    LogField{ "generation", "generation of the configuration in effect" } }
};

inline constexpr LogEvent kOutOfMemory{
  "out_of_memory",
  "daemon",
  LogLevel::Warning,
  LogDropPolicy::DropFirst,
  "A request was refused, or an answer was discarded, because the process has "
  "no memory left for it.",
  std::array{ LogField{ "part", "requests, calls or answers" },
              LogField{ "part_bytes", "bytes that this part holds" },
              LogField{ "total_bytes", "bytes that all parts hold" } }
};

inline constexpr LogEvent kSecondSent{
  "second_sent",
  "ingress",
  LogLevel::Info,
  LogDropPolicy::DropFirst,
  "A second attempt was started because the host of the first one has become "
  "slow.",
  std::array{
    LogField{ "request", "ID of the request" },
    LogField{ "slow_target", "address of the daemon of the first attempt" },
    LogField{ "slowness", "slowness of its host; 1 is normal" },
    LogField{ "target", "address of the daemon of the second attempt" },
    LogField{ "expected_ms", "expected time of the second attempt" } }
};

inline constexpr LogEvent kKeyRefused{
  "key_refused",
  "ingress",
  LogLevel::Warning,
  LogDropPolicy::DropFirst,
  "Requests were refused because they had no valid key of a workspace.",
  std::array{ LogField{ "reason", "what was wrong with the key" },
              LogField{ "requests", "number since the last such line" } }
};

// Calls, at the daemon of the target.

inline constexpr LogEvent kCallQueued{
  "call_queued",
  "admission",
  LogLevel::Info,
  LogDropPolicy::DropFirst,
  "A call was added to the queue of the target.",
  std::array{
    LogField{ "request", "ID of the request" },
    LogField{ "call", "ID of the attempt" },
    LogField{ "priority", "priority of the call; 0 is the highest" },
    LogField{ "left_ms", "time left until the deadline" },
    LogField{ "running", "calls running at the target" },
    LogField{ "queued", "calls waiting, including this one" },
    LogField{ "slots", "calls that the target can run at once" },
    LogField{ "slowness", "slowness of the host in percent; 100 is normal" } }
};

inline constexpr LogEvent kCallStarted{
  "call_started",
  "admission",
  LogLevel::Info,
  LogDropPolicy::DropFirst,
  "A call was sent to the target.",
  std::array{
    LogField{ "request", "ID of the request" },
    LogField{ "call", "ID of the attempt" },
    LogField{ "waited_ms", "time in the queue" },
    LogField{ "left_ms", "time left until the deadline" },
    LogField{ "running", "calls running at the target, including this one" },
    LogField{ "queued", "calls waiting" },
    LogField{ "slots", "calls that the target can run at once" },
    LogField{ "slowness", "slowness of the host in percent; 100 is normal" } }
};

inline constexpr LogEvent kCallRefused{
  "call_refused",
  "admission",
  LogLevel::Info,
  LogDropPolicy::DropLast,
  "A call was refused or returned. It was not run and will not be run.",
  std::array{
    LogField{ "request", "ID of the request" },
    LogField{ "call", "ID of the attempt" },
    LogField{ "reason", "stable name of the reason" },
    LogField{ "detail", "what led to the refusal" },
    LogField{ "waited_ms", "time in the queue" },
    LogField{ "left_ms", "time left until the deadline" },
    LogField{ "running", "calls running at the target" },
    LogField{ "queued", "calls waiting" },
    LogField{ "slots", "calls that the target can run at once" },
    LogField{ "slowness", "slowness of the host in percent; 100 is normal" } }
};

inline constexpr LogEvent kCallFinished{
  "call_finished",
  "admission",
  LogLevel::Info,
  LogDropPolicy::DropFirst,
  "The target has responded to a call.",
  std::array{
    LogField{ "request", "ID of the request" },
    LogField{ "call", "ID of the attempt" },
    LogField{ "status", "HTTP status of the response" },
    LogField{ "waited_ms", "time in the queue" },
    LogField{ "ran_ms", "time at the target" },
    LogField{ "slowness", "slowness of the host at the start; 1 is normal" } }
};

inline constexpr LogEvent kCallLost{
  "call_lost",
  "admission",
  LogLevel::Info,
  LogDropPolicy::DropLast,
  "A call was sent to the target, but there is no usable response.",
  std::array{
    LogField{ "request", "ID of the request" },
    LogField{ "call", "ID of the attempt" },
    LogField{ "cause", "why the outcome is unknown" },
    LogField{ "waited_ms", "time in the queue" },
    LogField{ "ran_ms", "time at the target" },
    LogField{ "slowness", "slowness of the host at the start; 1 is normal" } }
};

inline constexpr LogEvent kCallFenced{
  "call_fenced",
  "admission",
  LogLevel::Info,
  LogDropPolicy::DropLast,
  "A call was lost in transit and will not be run if it still arrives.",
  std::array{ LogField{ "call", "ID of the attempt" } }
};

}
