/// @file
/// The receiver's records of the calls that it was sent.
#pragma once

#include "baobab/core/call_id.hpp"
#include "baobab/core/http_message.hpp"
#include "baobab/core/time.hpp"

#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <unordered_map>
#include <variant>
#include <vector>

namespace baobab {

/// Number of a connection between one sender and one receiver. The sender
/// increments it with each connection that it opens.
using ConnectionNumber = std::uint32_t;

/// The call was not run and never will be.
struct CallNotRun
{};

/// The target is running the call.
struct CallRunning
{};

/// The target answered.
struct CallDone
{
  Response response;
};

/// The call may or may not have run.
struct CallUnknown
{};

/// Reply to a sender that asks for a call after a lost connection.
using CallStatus = std::variant<CallNotRun, CallRunning, CallDone, CallUnknown>;

/// Result of opening a connection for a sender's Hello.
struct OpenedConnection
{
  /// False if the sender has already opened a connection with this number or a
  /// higher one.
  bool accepted = false;
  /// Older connection of the sender that must be closed before anything else
  /// is read.
  std::optional<ConnectionNumber> retired;
};

/// Records the state of every call that was received, so that each call runs
/// at most once and a sender learns the true status of a call after a lost
/// connection.
///
/// A sender has at most one open connection. A newer connection replaces the
/// older one, whose unread bytes are discarded. A call that was sent on the
/// older connection and has no record can therefore never run later: it is
/// "not run".
class CallLedger
{
public:
  /// @param aAnswerBytes bytes of finished answers that are kept at most
  explicit CallLedger(std::size_t aAnswerBytes = kDefaultAnswerBytes);

  static constexpr std::size_t kDefaultAnswerBytes = 32U << 20U;
  /// Time for which a sender without connections and calls is remembered.
  static constexpr Duration kSenderRetention = std::chrono::minutes(10);

  /// Records a new connection of a sender.
  OpenedConnection Open(std::uint64_t aSender, ConnectionNumber aConnection);

  /// Records that a connection was closed, and drops the records of its calls
  /// that are still waiting.
  void Close(std::uint64_t aSender,
             ConnectionNumber aConnection,
             TimePoint aNow);

  /// Records a call that arrived. Returns false if it must be ignored: its
  /// connection is not the sender's current one, or its ID is recorded
  /// already.
  bool RecordArrival(const CallId& aId,
                     ConnectionNumber aConnection,
                     TimePoint aDeadline);

  /// Asks for permission to hand the call to the target. If it returns true,
  /// the call counts as run. If false, the call is dropped without a reply.
  bool Start(const CallId& aId);

  /// Drops the record of a call that was refused, or that was started but
  /// certainly did not reach the target.
  void Refuse(const CallId& aId);

  /// Keeps the answer of a running call until it is released.
  void Finish(const CallId& aId, Response aResponse);

  /// Records that the target failed while it ran the call.
  void RecordLoss(const CallId& aId);

  /// Returns the status of a call to a sender that lost its connection. A call
  /// that still waits is dropped, so that it never starts ("fenced"), and is
  /// "not run".
  /// @param aSentOn connection on which the call was sent
  CallStatus QueryStatus(const CallId& aId, ConnectionNumber aSentOn);

  /// Drops the record of a call whose outcome reached the sender.
  void Release(const CallId& aId);

  /// Drops the records of finished and lost calls past their deadline, and
  /// senders that have no records and have been without a connection for
  /// kSenderRetention.
  void Expire(TimePoint aNow);

  /// Open connection to the sender, if there is one.
  std::optional<ConnectionNumber> CurrentConnection(
    std::uint64_t aSender) const;

  std::size_t RecordCount() const { return this->records.size(); }
  std::size_t SenderCount() const { return this->senders.size(); }

private:
  enum class State : std::uint8_t
  {
    Waiting,
    Running,
    Done,
    Lost,
  };

  struct Record
  {
    State state = State::Waiting;
    ConnectionNumber connection = 0;
    TimePoint deadline;
    Response response;
  };

  struct Sender
  {
    /// Connections that were opened since this entry was created, newest last.
    /// Only a call that was sent on one of them is known to be "not run" if it
    /// has no record: records of earlier calls may have been dropped with an
    /// earlier entry of the sender.
    std::deque<ConnectionNumber> connections;
    ConnectionNumber current = 0;
    bool open = false;
    TimePoint closedAt;
    /// Highest sequence number whose record was dropped before its release. The
    /// status of calls up to this one that have no record is unknown.
    std::uint64_t highestDropped = 0;
    std::set<std::uint64_t> sequences;
  };

  void Erase(const CallId& aId);
  void EraseUnreleased(const CallId& aId);
  void EvictAnswers();

  std::size_t maxAnswerBytes;
  std::size_t answerBytes = 0;
  std::unordered_map<CallId, Record> records;
  std::unordered_map<std::uint64_t, Sender> senders;
  std::set<std::pair<TimePoint, CallId>> byDeadline;
};

}
