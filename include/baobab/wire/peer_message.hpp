/// @file
/// Messages between daemons over TCP.
#pragma once

#include "baobab/core/call_id.hpp"
#include "baobab/core/http_message.hpp"
#include "baobab/core/load_report.hpp"
#include "baobab/core/outcome.hpp"
#include "baobab/core/time.hpp"
#include "baobab/core/workspace.hpp"
#include "baobab/decision/burn_report.hpp"
#include "baobab/decision/call_ledger.hpp"
#include "baobab/decision/configuration.hpp"
#include "baobab/decision/member.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace baobab {

/// First message on a connection, from the daemon that opened it.
struct HelloMessage
{
  /// Sender part of the call IDs on this connection.
  std::uint64_t sender = 0;
  ConnectionNumber connection = 0;
  /// Region of the sender; it determines which load reports the sender gets.
  std::string region;
};

/// Answer to a HelloMessage. Calls may be sent after it.
struct WelcomeMessage
{
  std::uint64_t incarnation = 0;
};

struct CallMessage
{
  CallId id;
  Request request;
  /// Time until the deadline when the message is sent.
  Micros remaining{ 0 };
  bool idempotent = false;
  /// Priority in the queue; 0 is the highest.
  std::uint8_t priority = 0;
  /// Time until the latency objective is missed; negative if it is missed
  /// already.
  Micros objective{ 0 };
  /// Expected service time on a host of normal speed; 0 if unknown.
  Micros work{ 0 };
  /// Expected time in which the best other target would finish the call; 0 if
  /// there is none. The receiver may refuse the call if it expects to take much
  /// longer.
  Micros alternative{ 0 };
  /// True if every step of the call is logged.
  bool traced = false;
  /// Expected size of the answer; 0 if unknown.
  std::uint64_t answerBytes = 0;
  /// Limit of requests a second that the sender saw in the target's last
  /// answer.
  std::optional<double> targetLimit;
  /// Workspace of the caller; 0: none.
  WorkspaceId workspace = 0;
};

struct AnswerMessage
{
  CallId id;
  Response response;
  std::optional<LoadReport> load;
  /// Service time at the target, converted to a host of normal speed.
  Micros work{ 0 };
  /// Time from the call's arrival at the target's daemon to its answer.
  Micros held{ 0 };
};

/// The call was not run and never will be.
struct RefusalMessage
{
  CallId id;
  NotRun refusal;
  std::optional<LoadReport> load;
};

/// The outcome of the call is unknown at the target's daemon.
struct OutcomeUnknownMessage
{
  CallId id;
};

/// The call is running; its answer follows.
struct RunningMessage
{
  CallId id;
};

/// Asks for the outcome of a call that was sent on an earlier connection.
struct OutcomeQueryMessage
{
  CallId id;
  /// The earlier connection.
  ConnectionNumber sentOn = 0;
};

/// Acknowledges the outcome of a call; its record can be dropped.
struct ReleaseMessage
{
  CallId id;
};

/// Cancels a call: its outcome is no longer needed.
struct CancelMessage
{
  CallId id;
  /// True if only a queued call is cancelled and a running one continues.
  bool waitingOnly = false;
};

/// The load of the target has changed.
struct LoadUpdateMessage
{
  LoadReport load;
};

struct HeartbeatMessage
{
  /// True in the answer to a heartbeat.
  bool reply = false;
};

/// Requests all configuration changes after a generation.
struct ConfigRequestMessage
{
  std::uint64_t generation = 0;
};

struct ConfigReplyMessage
{
  ConfigDelta delta;
};

/// Requests the members of all buckets whose digests differ from the given
/// ones.
struct TableRequestMessage
{
  std::vector<std::uint64_t> digests;
};

struct MemberListMessage
{
  std::vector<MemberRecord> members;
};

/// Call counts of a daemon, for the status of its availability zone.
struct BurnReportMessage
{
  BurnReport report;
};

/// Acknowledges a BurnReportMessage once it is part of the stored status.
struct BurnAckMessage
{
  std::uint64_t sequence = 0;
};

using PeerMessage = std::variant<HelloMessage,
                                 WelcomeMessage,
                                 CallMessage,
                                 AnswerMessage,
                                 RefusalMessage,
                                 OutcomeUnknownMessage,
                                 RunningMessage,
                                 OutcomeQueryMessage,
                                 ReleaseMessage,
                                 CancelMessage,
                                 HeartbeatMessage,
                                 ConfigRequestMessage,
                                 ConfigReplyMessage,
                                 TableRequestMessage,
                                 MemberListMessage,
                                 BurnReportMessage,
                                 BurnAckMessage,
                                 LoadUpdateMessage>;

}
