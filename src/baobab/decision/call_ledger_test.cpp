#include "baobab/core/random.hpp"
#include "baobab/core/result.hpp"
#include "baobab/decision/call_attempt.hpp"
#include "baobab/decision/call_ledger.hpp"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <map>
#include <memory>

namespace baobab {
namespace {

constexpr std::uint64_t kSender = 7;

enum class MessageKind
{
  Hello,
  Call,
  Ask,
  Release,
  Welcome,
  Answer,
  Refusal,
  Lost,
  Running,
};

struct Message
{
  MessageKind kind;
  std::uint64_t sequence = 0;
  std::uint64_t value = 0;
};

/// One connection. Each direction keeps its order and may stall for ever.
struct Connection
{
  ConnectionNumber number = 0;
  std::uint64_t receiver = 0;
  std::deque<Message> toReceiver;
  std::deque<Message> toSender;
  bool receiverOpen = true;
  bool helloAccepted = false;
};

/// A sender, its connections, a receiver and its target, run in a random order
/// of events with faults.
class Simulation
{
public:
  explicit Simulation(std::uint64_t aSeed)
    : random(aSeed)
  {
    this->OpenConnection();
  }

  void Run(int aSteps)
  {
    for (int step = 0; step < aSteps; ++step) {
      this->now += 1ms;
      this->Step();
      this->CheckGuarantees();
    }
  }

  std::size_t finished = 0;
  std::size_t statusRequests = 0;

private:
  struct Entry
  {
    std::unique_ptr<CallAttempt> attempt;
    bool ended = false;
  };

  void Step()
  {
    switch (UniformBelow(this->random, 12)) {
      case 0:
        this->StartAttempt();
        break;
      case 1:
      case 2:
      case 3:
      case 4:
        this->DeliverToReceiver();
        break;
      case 5:
      case 6:
      case 7:
        this->DeliverToSender();
        break;
      case 8:
        this->RunTarget();
        break;
      case 9:
        this->FinishTarget();
        break;
      case 10:
        this->InjectFault();
        break;
      default:
        this->ledger->Expire(this->now);
        this->ExpireAttempts();
        break;
    }
  }

  void StartAttempt()
  {
    const std::uint64_t sequence = ++this->lastSequence;
    const auto deadline =
      this->now + Millis(20 + UniformBelow(this->random, 200));
    Entry& entry = this->attempts[sequence];
    entry.attempt = std::make_unique<CallAttempt>(
      CallId{ kSender, sequence }, false, deadline);
    if (this->welcomed) {
      this->PerformAction(
        entry,
        entry.attempt->OnWelcome(this->welcomedBy,
                                 this->connections.back()->number));
    }
  }

  void PerformAction(Entry& aEntry, AttemptAction aAction)
  {
    const std::uint64_t sequence = aEntry.attempt->Id().sequence;
    auto& outgoing = this->connections.back()->toReceiver;
    if (aAction == AttemptAction::SendCall) {
      outgoing.push_back({ MessageKind::Call, sequence });
    } else if (aAction == AttemptAction::SendAsk) {
      ++this->statusRequests;
      outgoing.push_back(
        { MessageKind::Ask, sequence, aEntry.attempt->SentOn() });
    }
  }

  void OpenConnection()
  {
    auto connection = std::make_unique<Connection>();
    connection->number = ++this->lastNumber;
    connection->receiver = this->incarnation;
    connection->toReceiver.push_back({ MessageKind::Hello });
    this->connections.push_back(std::move(connection));
    this->welcomed = false;
  }

  void DeliverToReceiver()
  {
    Connection& connection =
      *this->connections[UniformBelow(this->random, this->connections.size())];
    if (!connection.receiverOpen || connection.receiver != this->incarnation ||
        connection.toReceiver.empty()) {
      return;
    }
    const Message message = connection.toReceiver.front();
    connection.toReceiver.pop_front();
    const CallId id{ kSender, message.sequence };
    switch (message.kind) {
      case MessageKind::Hello:
        this->AcceptHello(connection);
        break;
      case MessageKind::Call:
        if (this->ledger->RecordArrival(
              id, connection.number, this->now + 100ms)) {
          this->waiting.push_back(id);
        }
        break;
      case MessageKind::Ask:
        this->AnswerStatusRequest(connection, id, message.value);
        break;
      default:
        this->ledger->Release(id);
        break;
    }
  }

  void AcceptHello(Connection& aConnection)
  {
    const auto opened = this->ledger->Open(kSender, aConnection.number);
    if (!opened.accepted) {
      aConnection.receiverOpen = false;
      return;
    }
    if (opened.retired) {
      const auto old =
        std::ranges::find_if(this->connections, [&](const auto& aOther) {
          return aOther->number == *opened.retired;
        });
      (*old)->receiverOpen = false;
      this->ledger->Close(kSender, *opened.retired, this->now);
    }
    aConnection.helloAccepted = true;
    aConnection.toSender.push_back(
      { MessageKind::Welcome, 0, this->incarnation });
  }

  void AnswerStatusRequest(Connection& aConnection,
                           const CallId& aId,
                           std::uint64_t aSentOn)
  {
    const CallStatus status =
      this->ledger->QueryStatus(aId, static_cast<ConnectionNumber>(aSentOn));
    const MessageKind kind = std::visit(
      Overloaded{ [](const CallNotRun&) { return MessageKind::Refusal; },
                  [](const CallRunning&) { return MessageKind::Running; },
                  [](const CallDone&) { return MessageKind::Answer; },
                  [](const CallUnknown&) { return MessageKind::Lost; } },
      status);
    aConnection.toSender.push_back({ kind, aId.sequence });
  }

  void DeliverToSender()
  {
    Connection& connection = *this->connections.back();
    if (connection.toSender.empty()) {
      return;
    }
    const Message message = connection.toSender.front();
    connection.toSender.pop_front();
    if (message.kind == MessageKind::Welcome) {
      this->welcomed = true;
      this->welcomedBy = message.value;
      for (auto& [sequence, entry] : this->attempts) {
        this->PerformAction(
          entry, entry.attempt->OnWelcome(message.value, connection.number));
      }
      return;
    }
    CallAttempt& attempt = *this->attempts.at(message.sequence).attempt;
    if (message.kind == MessageKind::Answer) {
      attempt.OnAnswer({ static_cast<unsigned>(message.sequence) });
      connection.toReceiver.push_back(
        { MessageKind::Release, message.sequence });
    } else if (message.kind == MessageKind::Refusal) {
      attempt.OnRefusal({});
    } else if (message.kind == MessageKind::Lost) {
      attempt.OnLost();
      connection.toReceiver.push_back(
        { MessageKind::Release, message.sequence });
    }
  }

  void RunTarget()
  {
    if (this->waiting.empty()) {
      return;
    }
    const CallId id = this->waiting.front();
    this->waiting.pop_front();
    if (UniformBelow(this->random, 8) == 0) {
      this->ledger->Refuse(id);
      this->Reply({ MessageKind::Refusal, id.sequence });
    } else if (this->ledger->Start(id)) {
      ++this->runs[id.sequence];
      this->running.push_back(id);
    }
  }

  void FinishTarget()
  {
    if (this->running.empty()) {
      return;
    }
    const CallId id = this->running.front();
    this->running.pop_front();
    if (UniformBelow(this->random, 8) == 0) {
      this->ledger->RecordLoss(id);
      this->Reply({ MessageKind::Lost, id.sequence });
    } else {
      this->ledger->Finish(id, { static_cast<unsigned>(id.sequence) });
      this->Reply({ MessageKind::Answer, id.sequence });
    }
  }

  void Reply(Message aMessage)
  {
    const auto current = this->ledger->CurrentConnection(kSender);
    for (const auto& connection : this->connections) {
      if (current && connection->number == *current) {
        connection->toSender.push_back(aMessage);
      }
    }
  }

  /// Replaces the sender's connection, closes a connection at the receiver, or
  /// restarts the receiver.
  void InjectFault()
  {
    const std::uint64_t kind = UniformBelow(this->random, 8);
    if (kind < 4) {
      for (auto& [sequence, entry] : this->attempts) {
        entry.attempt->OnConnectionLost();
      }
      this->OpenConnection();
    } else if (kind < 6) {
      Connection& connection =
        *this
           ->connections[UniformBelow(this->random, this->connections.size())];
      if (connection.helloAccepted && connection.receiverOpen &&
          connection.receiver == this->incarnation) {
        connection.receiverOpen = false;
        this->ledger->Close(kSender, connection.number, this->now);
      }
    } else if (kind == 7 && UniformBelow(this->random, 4) == 0) {
      ++this->incarnation;
      this->ledger = std::make_unique<CallLedger>();
      this->waiting.clear();
      this->running.clear();
    }
  }

  void ExpireAttempts()
  {
    for (auto& [sequence, entry] : this->attempts) {
      if (this->now >= entry.attempt->Deadline()) {
        entry.attempt->OnDeadline();
      }
    }
  }

  void CheckGuarantees()
  {
    for (auto& [sequence, entry] : this->attempts) {
      const std::size_t ran = this->runs[sequence];
      BOOST_REQUIRE_LE(ran, 1U);
      if (!entry.attempt->Result()) {
        continue;
      }
      this->finished += entry.ended ? 0 : 1;
      entry.ended = true;
      const Outcome& outcome = *entry.attempt->Result();
      if (std::holds_alternative<NotRun>(outcome)) {
        BOOST_REQUIRE_EQUAL(ran, 0U);
      }
      if (const auto* answered = std::get_if<Answered>(&outcome)) {
        BOOST_REQUIRE_EQUAL(ran, 1U);
        BOOST_REQUIRE_EQUAL(answered->response.status, sequence);
      }
    }
  }

  SplitMix random;
  TimePoint now{ 1h };
  std::uint64_t incarnation = 100;
  std::unique_ptr<CallLedger> ledger = std::make_unique<CallLedger>();
  std::vector<std::unique_ptr<Connection>> connections;
  ConnectionNumber lastNumber = 0;
  bool welcomed = false;
  std::uint64_t welcomedBy = 0;
  std::uint64_t lastSequence = 0;
  std::map<std::uint64_t, Entry> attempts;
  std::deque<CallId> waiting;
  std::deque<CallId> running;
  std::map<std::uint64_t, std::size_t> runs;
};

constexpr CallId kId{ kSender, 1 };
constexpr TimePoint kNow{ 1h };

}

BOOST_AUTO_TEST_SUITE(call_ledger)

/// Lost and replaced connections, delayed messages and restarts of the receiver
/// must not make a call run twice, make a call that ran end as "not run", or
/// give it the answer of another call.
BOOST_AUTO_TEST_CASE(guarantees_hold_in_random_schedules)
{
  std::size_t finished = 0;
  std::size_t statusRequests = 0;
  for (std::uint64_t seed = 1; seed <= 3000; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed)
    {
      Simulation simulation(seed);
      simulation.Run(400);
      finished += simulation.finished;
      statusRequests += simulation.statusRequests;
    }
  }
  BOOST_TEST(finished > 30000U);
  BOOST_TEST(statusRequests > 3000U);
}

BOOST_AUTO_TEST_CASE(a_call_from_a_replaced_connection_is_ignored)
{
  CallLedger ledger;
  ledger.Open(kSender, 1);
  const auto opened = ledger.Open(kSender, 2);
  BOOST_REQUIRE(opened.accepted);
  BOOST_TEST((opened.retired == ConnectionNumber{ 1 }));
  BOOST_TEST(!ledger.RecordArrival(kId, 1, kNow + 1s));
  BOOST_TEST(ledger.RecordArrival(kId, 2, kNow + 1s));
  BOOST_TEST(!ledger.Open(kSender, 1).accepted);
}

BOOST_AUTO_TEST_CASE(a_waiting_call_whose_status_was_asked_never_starts)
{
  CallLedger ledger;
  ledger.Open(kSender, 1);
  BOOST_TEST(ledger.RecordArrival(kId, 1, kNow + 1s));
  ledger.Open(kSender, 2);
  BOOST_TEST(std::holds_alternative<CallNotRun>(ledger.QueryStatus(kId, 1)));
  BOOST_TEST(!ledger.Start(kId));
}

BOOST_AUTO_TEST_CASE(a_call_with_a_dropped_record_is_unknown)
{
  CallLedger ledger;
  ledger.Open(kSender, 1);
  BOOST_TEST(ledger.RecordArrival(kId, 1, kNow + 1s));
  BOOST_TEST(ledger.Start(kId));
  ledger.Finish(kId, { 200 });
  ledger.Expire(kNow + 2s);
  BOOST_TEST(ledger.RecordCount() == 0U);
  BOOST_TEST(std::holds_alternative<CallUnknown>(ledger.QueryStatus(kId, 1)));
}

BOOST_AUTO_TEST_CASE(a_call_from_before_the_entry_of_its_sender_is_unknown)
{
  CallLedger ledger;
  ledger.Open(kSender, 5);
  BOOST_TEST(std::holds_alternative<CallUnknown>(ledger.QueryStatus(kId, 4)));
  BOOST_TEST(std::holds_alternative<CallNotRun>(ledger.QueryStatus(kId, 5)));
}

/// A Hello that arrives after the receiver has dropped the sender's entry must
/// not make the receiver report calls on later connections as "not run", since
/// the records of these calls may be gone (see spec/fate.pml).
BOOST_AUTO_TEST_CASE(a_late_hello_leaves_calls_on_newer_connections_unknown)
{
  CallLedger ledger;
  ledger.Open(kSender, 2);
  BOOST_TEST(ledger.RecordArrival(kId, 2, kNow + 1s));
  BOOST_TEST(ledger.Start(kId));
  ledger.Finish(kId, { 200 });
  ledger.Close(kSender, 2, kNow);
  ledger.Expire(kNow + 2s);
  ledger.Expire(kNow + 2 * CallLedger::kSenderRetention);
  BOOST_REQUIRE(ledger.SenderCount() == 0U);
  ledger.Open(kSender, 1);
  ledger.Open(kSender, 3);
  BOOST_TEST(std::holds_alternative<CallUnknown>(ledger.QueryStatus(kId, 2)));
}

BOOST_AUTO_TEST_CASE(a_finished_answer_is_returned_on_a_new_connection)
{
  CallLedger ledger;
  ledger.Open(kSender, 1);
  BOOST_TEST(ledger.RecordArrival(kId, 1, kNow + 1s));
  BOOST_TEST(ledger.Start(kId));
  ledger.Open(kSender, 2);
  BOOST_TEST(std::holds_alternative<CallRunning>(ledger.QueryStatus(kId, 1)));
  ledger.Finish(kId, { 200, {}, "whole" });
  const CallStatus status = ledger.QueryStatus(kId, 1);
  BOOST_REQUIRE(std::holds_alternative<CallDone>(status));
  BOOST_TEST(std::get<CallDone>(status).response.body == "whole");
  ledger.Release(kId);
  BOOST_TEST(ledger.RecordCount() == 0U);
}

BOOST_AUTO_TEST_CASE(kept_answers_stay_within_their_limit)
{
  CallLedger ledger(100);
  ledger.Open(kSender, 1);
  for (std::uint64_t sequence = 1; sequence <= 3; ++sequence) {
    const CallId id{ kSender, sequence };
    BOOST_TEST(ledger.RecordArrival(id, 1, kNow + Seconds(sequence)));
    BOOST_TEST(ledger.Start(id));
    ledger.Finish(id, { 200, {}, std::string(40, 'x') });
  }
  BOOST_TEST(ledger.RecordCount() == 2U);
  BOOST_TEST(std::holds_alternative<CallUnknown>(ledger.QueryStatus(kId, 1)));
  BOOST_TEST(
    std::holds_alternative<CallDone>(ledger.QueryStatus({ kSender, 3 }, 1)));
}

BOOST_AUTO_TEST_CASE(
  an_attempt_sends_the_call_once_and_then_asks_for_its_status)
{
  CallAttempt attempt(kId, false, kNow + 1s);
  BOOST_TEST((attempt.OnWelcome(1, 1) == AttemptAction::SendCall));
  BOOST_TEST((attempt.OnConnectionLost() == AttemptAction::Reconnect));
  BOOST_TEST((attempt.OnConnectFailed() == AttemptAction::Reconnect));
  BOOST_TEST((attempt.OnWelcome(1, 2) == AttemptAction::SendAsk));
  BOOST_TEST((attempt.OnWelcome(2, 3) == AttemptAction::Finish));
  BOOST_TEST(std::holds_alternative<OutcomeUnknown>(*attempt.Result()));
}

BOOST_AUTO_TEST_CASE(an_unsent_attempt_is_not_run)
{
  CallAttempt attempt(kId, false, kNow + 1s);
  BOOST_TEST((attempt.OnConnectFailed() == AttemptAction::Finish));
  BOOST_TEST(std::holds_alternative<NotRun>(*attempt.Result()));
}

BOOST_AUTO_TEST_CASE(
  an_idempotent_attempt_ends_as_unknown_if_the_daemon_is_unreachable)
{
  CallAttempt attempt(kId, true, kNow + 1s);
  attempt.OnWelcome(1, 1);
  attempt.OnConnectionLost();
  BOOST_TEST((attempt.OnConnectFailed() == AttemptAction::Finish));
  BOOST_TEST(std::holds_alternative<OutcomeUnknown>(*attempt.Result()));
}

BOOST_AUTO_TEST_SUITE_END()

}
