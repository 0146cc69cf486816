/// @file
/// Messages between daemons over TCP.
#pragma once

#include "baobab/core/call_id.hpp"
#include "baobab/core/http_message.hpp"
#include "baobab/core/load_report.hpp"
#include "baobab/core/outcome.hpp"
#include "baobab/core/time.hpp"
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

/// First message on a connection, from its opener.
struct HelloMessage
{
  std::uint64_t sender = 0;
  ConnectionNumber connection = 0;
  /// Region of the opener, which decides about load reports.
  std::string region;
};

/// Answer to a Hello; calls may follow it.
struct WelcomeMessage
{
  std::uint64_t incarnation = 0;
};

struct CallMessage
{
  CallId id;
  Request request;
  /// Time left when the message was sent.
  Micros remaining{ 0 };
  bool idempotent = false;
  /// Rank among the calls that wait; 0 is the most urgent.
  std::uint8_t priority = 0;
  /// Time left for an answer of full worth; below 0 if it has passed.
  Micros objective{ 0 };
  /// Expected time of the call on an unhurried host; 0 if not known.
  Micros work{ 0 };
  /// Time in which another target is believed to finish it; 0 if there is
  /// none to hand it back for.
  Micros alternative{ 0 };
  /// True if every step of the call is logged.
  bool traced = false;
};

struct AnswerMessage
{
  CallId id;
  Response response;
  std::optional<LoadReport> load;
  /// Time that the target took, as if its host were unhurried.
  Micros work{ 0 };
  /// Time from the call's arrival to its answer.
  Micros held{ 0 };
};

/// The call was not run and never will be.
struct RefusalMessage
{
  CallId id;
  NotRun refusal;
  std::optional<LoadReport> load;
};

/// What became of the call is unknown at the target.
struct OutcomeUnknownMessage
{
  CallId id;
};

/// The call is running; its answer follows.
struct RunningMessage
{
  CallId id;
};

/// Asks for the fate of a call that was sent on an older connection.
struct OutcomeQueryMessage
{
  CallId id;
  ConnectionNumber sentOn = 0;
};

/// The outcome arrived; its record can be dropped.
struct ReleaseMessage
{
  CallId id;
};

/// The outcome is no longer wanted.
struct CancelMessage
{
  CallId id;
  /// True if a call that already runs shall go on.
  bool waitingOnly = false;
};

/// The load of the target has changed.
struct LoadUpdateMessage
{
  LoadReport load;
};

struct HeartbeatMessage
{
  bool reply = false;
};

/// Asks for every configuration change after a generation.
struct ConfigRequestMessage
{
  std::uint64_t generation = 0;
};

struct ConfigReplyMessage
{
  ConfigDelta delta;
};

/// Asks for the members of the buckets whose digests differ.
struct TableRequestMessage
{
  std::vector<std::uint64_t> digests;
};

struct MemberListMessage
{
  std::vector<MemberRecord> members;
};

/// What a daemon counted, for the status of its availability zone.
struct BurnReportMessage
{
  BurnReport report;
};

/// The report is part of the stored status.
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
