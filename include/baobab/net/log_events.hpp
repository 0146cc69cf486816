/// @file
/// Every kind of log line. docs/LOGS.md is generated from this catalogue.
#pragma once

#include "baobab/net/log_event.hpp"

#include <string>

namespace baobab {

/// Returns the reference of all events in Markdown.
std::string LogReference();

// Process.

inline constexpr LogEvent kStarted{
  "started",
  "daemon",
  LogLevel::Info,
  LogDropPolicy::DropLast,
  "The daemon serves.",
  std::array{ LogField{ "version", "version of the program" },
              LogField{ "callers", "address that answers callers" },
              LogField{ "peers", "address for other daemons" },
              LogField{ "region", "region of the host" },
              LogField{ "zone", "availability zone of the host" } }
};

inline constexpr LogEvent kDraining{
  "draining",
  "daemon",
  LogLevel::Info,
  LogDropPolicy::DropLast,
  "A shutdown began.",
  std::array{ LogField{ "in_flight", "calls at the local target" } }
};

inline constexpr LogEvent kStopped{
  "stopped",
  "daemon",
  LogLevel::Info,
  LogDropPolicy::DropLast,
  "The shutdown is over.",
  std::array{ LogField{ "in_flight", "calls that were cut" } }
};

inline constexpr LogEvent kSettingsApplied{
  "settings_applied",
  "daemon",
  LogLevel::Info,
  LogDropPolicy::DropLast,
  "The settings file was read again and its changes are in force.",
  std::array{
    LogField{ "changed", "keys in force" },
    LogField{ "after_restart", "keys that take effect with the next start" } }
};

inline constexpr LogEvent kSettingsRejected{
  "settings_rejected",
  "daemon",
  LogLevel::Error,
  LogDropPolicy::DropLast,
  "The settings file does not check out; nothing was changed.",
  std::array{ LogField{ "error", "place, cause and remedy" } }
};

inline constexpr LogEvent kLogDropped{
  "log_dropped",
  "log",
  LogLevel::Warning,
  LogDropPolicy::DropLast,
  "Lines were left out, because the reader of the log is slow.",
  std::array{ LogField{ "lines", "lines since the last report" } }
};

// Beliefs.

inline constexpr LogEvent kTargetState{
  "target_state",
  "target",
  LogLevel::Info,
  LogDropPolicy::DropLast,
  "The local target has another state.",
  std::array{ LogField{ "instance", "instance of the target" },
              LogField{ "state", "starting, ready, leaving or none" },
              LogField{ "slots", "calls that it runs at once" } }
};

inline constexpr LogEvent kTargetDeparted{
  "target_departed",
  "target",
  LogLevel::Info,
  LogDropPolicy::DropLast,
  "The local target said that it is gone; it gets nothing new.",
  std::array{ LogField{ "instance", "instance of the target" } }
};

inline constexpr LogEvent kAnnouncementOutdated{
  "announcement_outdated",
  "target",
  LogLevel::Info,
  LogDropPolicy::DropFirst,
  "A late announcement was passed over.",
  std::array{ LogField{ "instance", "instance that it names" },
              LogField{ "sequence", "its number" } }
};

inline constexpr LogEvent kAnnouncementForeign{
  "announcement_foreign",
  "target",
  LogLevel::Warning,
  LogDropPolicy::DropLast,
  "An announcement of another target than the local one was passed over.",
  std::array{ LogField{ "address", "address that it names" },
              LogField{ "service", "service that it names" } }
};

inline constexpr LogEvent kAnnouncementInvalid{
  "announcement_invalid",
  "target",
  LogLevel::Warning,
  LogDropPolicy::DropLast,
  "An announcement could not be read.",
  std::array{ LogField{ "error", "what is wrong, and the remedy" } }
};

inline constexpr LogEvent kTargetCrashed{
  "target_crashed",
  "target",
  LogLevel::Warning,
  LogDropPolicy::DropLast,
  "The local target crashed; what ran there is under suspicion.",
  std::array{ LogField{ "suspects", "requests under suspicion" } }
};

inline constexpr LogEvent kMemberState{
  "member_state",
  "members",
  LogLevel::Info,
  LogDropPolicy::DropFirst,
  "Another daemon or its target is believed to have another state.",
  std::array{
    LogField{ "member", "address of the daemon" },
    LogField{ "zone", "its availability zone" },
    LogField{ "state", "alive, suspect, dead or unreachable" },
    LogField{ "service", "service of its target" },
    LogField{ "target", "starting, ready, leaving or none" },
    LogField{ "incarnation", "version of what the daemon says of itself" } }
};

inline constexpr LogEvent kConfigurationAdopted{
  "configuration_adopted",
  "config",
  LogLevel::Info,
  LogDropPolicy::DropLast,
  "A configuration is in force.",
  std::array{ LogField{ "generation", "its number, which only rises" },
              LogField{ "source", "store or peer" } }
};

inline constexpr LogEvent kConfigurationRejected{
  "configuration_rejected",
  "config",
  LogLevel::Error,
  LogDropPolicy::DropLast,
  "A configuration does not check out; the last one stays in force.",
  std::array{ LogField{ "source", "store or peer" },
              LogField{ "error", "what is wrong" } }
};

inline constexpr LogEvent kRetriesDenied{
  "retries_denied",
  "ingress",
  LogLevel::Warning,
  LogDropPolicy::DropLast,
  "The share of the fleet's retries is spent; said once a second.",
  std::array{ LogField{ "service", "service of the calls" },
              LogField{ "denied", "retries denied since the last line" } }
};

// Dependencies.

inline constexpr LogEvent kStoreLost{
  "store_lost",
  "config",
  LogLevel::Warning,
  LogDropPolicy::DropLast,
  "The object store does not answer; what is known stays in force.",
  std::array{ LogField{ "error", "what happened" } }
};

inline constexpr LogEvent kStoreRegained{
  "store_regained",
  "config",
  LogLevel::Info,
  LogDropPolicy::DropLast,
  "The object store answers again.",
  std::array{ LogField{ "after_ms", "time without it" } }
};

inline constexpr LogEvent kPullFailed{
  "pull_failed",
  "config",
  LogLevel::Debug,
  LogDropPolicy::DropFirst,
  "A peer did not hand over its configuration; another one is asked.",
  std::array{ LogField{ "peer", "address of the daemon" },
              LogField{ "error", "what happened" } }
};

inline constexpr LogEvent kPeersMissing{
  "peers_missing",
  "members",
  LogLevel::Warning,
  LogDropPolicy::DropLast,
  "The store has told no first peers.",
  std::array{ LogField{ "error", "what happened" } }
};

inline constexpr LogEvent kStatusInvalid{
  "status_invalid",
  "status",
  LogLevel::Warning,
  LogDropPolicy::DropLast,
  "The status object of the availability zone could not be read.",
  std::array{ LogField{ "error", "what is wrong" } }
};

inline constexpr LogEvent kLinkConnectFailed{
  "link_connect_failed",
  "link",
  LogLevel::Info,
  LogDropPolicy::DropFirst,
  "A daemon with calls could not be connected to.",
  std::array{ LogField{ "peer", "address of the daemon" },
              LogField{ "calls", "calls that wait for it" },
              LogField{ "error", "what happened" } }
};

inline constexpr LogEvent kLinkLost{
  "link_lost",
  "link",
  LogLevel::Info,
  LogDropPolicy::DropLast,
  "A connection with calls in flight was lost; their fate is asked for.",
  std::array{ LogField{ "peer", "address of the daemon" },
              LogField{ "calls", "calls in flight" },
              LogField{ "silent", "true if it was silent rather than closed" } }
};

inline constexpr LogEvent kPeerMessageInvalid{
  "peer_message_invalid",
  "link",
  LogLevel::Warning,
  LogDropPolicy::DropLast,
  "A connection from another daemon was closed over a bad message.",
  std::array{ LogField{ "error", "what is wrong" } }
};

// The way of a call, at the daemon that took it from its caller.

inline constexpr LogEvent kCallAttempt{
  "call_attempt",
  "ingress",
  LogLevel::Info,
  LogDropPolicy::DropLast,
  "A call was placed at a target. Written with `call_ended`.",
  std::array{
    LogField{ "request", "identity of the request" },
    LogField{ "call", "identity of this attempt, at both daemons" },
    LogField{ "target", "daemon beside the chosen target" },
    LogField{ "tier", "same-zone, same-region or other-region" },
    LogField{ "second", "true if sent while another attempt ran" },
    LogField{ "expected_ms", "expected time until the answer" },
    LogField{ "alternative_ms", "the same of the next best target; 0: none" },
    LogField{ "known_others", "calls of other daemons there, as reported" },
    LogField{ "own", "calls of this daemon there, this one included" },
    LogField{ "known_slots", "calls that it runs at once" },
    LogField{ "known_slowness", "slowness of its host in percent" },
    LogField{ "report_age_ms", "age of that report; negative: none" },
    LogField{ "began_ms", "time from the call's arrival" },
    LogField{ "took_ms", "time of the attempt" },
    LogField{ "held_ms", "part of it at the target's daemon; 0: not known" },
    LogField{ "outcome", "answered, not-run or unknown" },
    LogField{ "detail", "status, reason or cause" } }
};

inline constexpr LogEvent kCallEnded{
  "call_ended",
  "ingress",
  LogLevel::Info,
  LogDropPolicy::DropLast,
  "A call is over. Of every call that did not end with a good answer, and of "
  "a sample of the others.",
  std::array{
    LogField{ "request", "identity of the request" },
    LogField{ "service", "service that was called" },
    LogField{ "route", "host and path prefix of the route" },
    LogField{ "idempotent", "true if the call may run more than once" },
    LogField{ "class", "good, late, failed, not-run or unknown" },
    LogField{ "status", "HTTP status for the caller; 0: the caller has gone" },
    LogField{ "detail", "reason and detail of a refusal, or the cause" },
    LogField{ "took_ms", "time of the call" },
    LogField{ "time_ms", "time that the call had" },
    LogField{ "attempts", "attempts made" },
    LogField{ "generation", "configuration in force" } }
};

inline constexpr LogEvent kSecondSent{
  "second_sent",
  "ingress",
  LogLevel::Info,
  LogDropPolicy::DropFirst,
  "A second attempt began, because the first one's host has turned slow.",
  std::array{ LogField{ "request", "identity of the request" },
              LogField{ "slow_target", "daemon of the first attempt" },
              LogField{ "slowness", "slowness of its host; 1 is the usual" },
              LogField{ "target", "daemon of the second attempt" },
              LogField{ "expected_ms", "expected time of the second attempt" } }
};

// The way of a call, at the daemon beside the target.

inline constexpr LogEvent kCallQueued{
  "call_queued",
  "admission",
  LogLevel::Info,
  LogDropPolicy::DropFirst,
  "A call waits for its turn.",
  std::array{ LogField{ "request", "identity of the request" },
              LogField{ "call", "identity of the attempt" },
              LogField{ "priority", "rank; 0 goes first" },
              LogField{ "left_ms", "time left for the answer" },
              LogField{ "running", "calls that run at the target" },
              LogField{ "queued", "calls that wait, this one included" },
              LogField{ "slots", "calls that it runs at once" },
              LogField{ "slowness", "slowness of the host in percent" } }
};

inline constexpr LogEvent kCallStarted{
  "call_started",
  "admission",
  LogLevel::Info,
  LogDropPolicy::DropFirst,
  "A call was handed to the target.",
  std::array{ LogField{ "request", "identity of the request" },
              LogField{ "call", "identity of the attempt" },
              LogField{ "waited_ms", "time in the queue" },
              LogField{ "left_ms", "time left for the answer" },
              LogField{ "running", "calls that run, this one included" },
              LogField{ "queued", "calls that wait" },
              LogField{ "slots", "calls that it runs at once" },
              LogField{ "slowness", "slowness of the host in percent" } }
};

inline constexpr LogEvent kCallRefused{
  "call_refused",
  "admission",
  LogLevel::Info,
  LogDropPolicy::DropLast,
  "A call was refused or handed back. It was not run and never will be.",
  std::array{ LogField{ "request", "identity of the request" },
              LogField{ "call", "identity of the attempt" },
              LogField{ "reason", "stable name of the reason" },
              LogField{ "detail", "what decided" },
              LogField{ "waited_ms", "time in the queue" },
              LogField{ "left_ms", "time left for the answer" },
              LogField{ "running", "calls that run at the target" },
              LogField{ "queued", "calls that wait" },
              LogField{ "slots", "calls that it runs at once" },
              LogField{ "slowness", "slowness of the host in percent" } }
};

inline constexpr LogEvent kCallFinished{
  "call_finished",
  "admission",
  LogLevel::Info,
  LogDropPolicy::DropFirst,
  "The target has answered a call.",
  std::array{
    LogField{ "request", "identity of the request" },
    LogField{ "call", "identity of the attempt" },
    LogField{ "status", "HTTP status of the target" },
    LogField{ "waited_ms", "time in the queue" },
    LogField{ "ran_ms", "time at the target" },
    LogField{ "slowness",
              "slowness of the host at the start; 1 is the usual" } }
};

inline constexpr LogEvent kCallLost{
  "call_lost",
  "admission",
  LogLevel::Info,
  LogDropPolicy::DropLast,
  "A call was handed to the target and has no answer that may be used.",
  std::array{
    LogField{ "request", "identity of the request" },
    LogField{ "call", "identity of the attempt" },
    LogField{ "cause", "why its outcome is unknown" },
    LogField{ "waited_ms", "time in the queue" },
    LogField{ "ran_ms", "time at the target" },
    LogField{ "slowness",
              "slowness of the host at the start; 1 is the usual" } }
};

inline constexpr LogEvent kCallFenced{
  "call_fenced",
  "admission",
  LogLevel::Info,
  LogDropPolicy::DropLast,
  "A call was lost on its way and will not be run if it still arrives.",
  std::array{ LogField{ "call", "identity of the attempt" } }
};

}
