/// @file
/// The admission side of a call's fate.
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

/// Number of a connection between one sender and one receiver. It rises with
/// each connection that the sender opens.
using ConnectionNumber = std::uint32_t;

/// What a sender learns about a call it lost sight of.
struct CallNotRun
{};

struct CallRunning
{};

struct CallDone
{
  Response response;
};

struct CallUnknown
{};

using CallStatus = std::variant<CallNotRun, CallRunning, CallDone, CallUnknown>;

/// Result of a sender's Hello.
struct OpenedConnection
{
  /// False if a newer connection of the same sender is already open.
  bool accepted = false;
  /// Older connection that must be closed before anything else is read.
  std::optional<ConnectionNumber> retired;
};

/// Remembers what became of every call that was received, so that each runs
/// at most once and a sender can be told the truth after a lost connection.
///
/// A sender has at most one open connection. A newer one retires the older,
/// whose unread bytes are discarded with it; a call that has no record can
/// therefore never run later, and is "not run".
class CallLedger
{
public:
  /// Calls that are still waiting when their connection closes are dropped.
  /// Bytes of finished answers that are kept at most.
  explicit CallLedger(std::size_t aAnswerBytes = kDefaultAnswerBytes);

  static constexpr std::size_t kDefaultAnswerBytes = 32U << 20U;
  static constexpr Duration kSenderRetention = std::chrono::minutes(10);

  /// Records a new connection of a sender.
  OpenedConnection Open(std::uint64_t aSender, ConnectionNumber aConnection);

  /// Records that a connection was closed. Its waiting calls are dropped.
  void Close(std::uint64_t aSender,
             ConnectionNumber aConnection,
             TimePoint aNow);

  /// Records a call that arrived. Returns false if it must be ignored: its
  /// connection is retired or its id was seen before.
  bool RecordArrival(const CallId& aId,
                     ConnectionNumber aConnection,
                     TimePoint aDeadline);

  /// Asks for permission to hand the call to the target. Once true was
  /// returned the call counts as run. False: drop it without a trace.
  bool Start(const CallId& aId);

  /// Forgets a call that was refused, or that provably did not reach the
  /// target after it was started.
  void Refuse(const CallId& aId);

  /// Keeps the answer of a call until it is released.
  void Finish(const CallId& aId, Response aResponse);

  /// Records that the target failed while it ran the call.
  void RecordLoss(const CallId& aId);

  /// Answers a sender that lost sight of a call. A waiting call is fenced.
  /// @param aSentOn connection on which the call was sent
  CallStatus QueryStatus(const CallId& aId, ConnectionNumber aSentOn);

  /// Drops the record of a call whose outcome reached the sender.
  void Release(const CallId& aId);

  /// Drops records past their deadline and senders that are long gone.
  void Expire(TimePoint aNow);

  /// Connection on which messages for the sender leave, if it has one.
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
    /// Connections that were opened within this record, newest last. The
    /// record can vouch for calls that were sent on them.
    std::deque<ConnectionNumber> remembered;
    ConnectionNumber current = 0;
    bool open = false;
    TimePoint closedAt;
    /// Highest sequence whose record was dropped without a release.
    std::uint64_t forgotten = 0;
    std::set<std::uint64_t> sequences;
  };

  void Erase(const CallId& aId);
  void Forget(const CallId& aId);
  void KeepWithinBudget();

  std::size_t answerBudget;
  std::size_t answerBytes = 0;
  std::unordered_map<CallId, Record> records;
  std::unordered_map<std::uint64_t, Sender> senders;
  std::set<std::pair<TimePoint, CallId>> byDeadline;
};

}
