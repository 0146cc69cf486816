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

enum class Kind
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
  Kind kind;
  std::uint64_t sequence = 0;
  std::uint64_t value = 0;
};

/// One connection; each direction keeps its order, and may stall for ever.
struct Link
{
  ConnectionNumber number = 0;
  std::uint64_t receiver = 0;
  std::deque<Message> toReceiver;
  std::deque<Message> toSender;
  bool receiverOpen = true;
  bool greeted = false;
};

/// Sender, links, receiver and target under a random schedule.
class World
{
public:
  explicit World(std::uint64_t aSeed)
    : random(aSeed)
  {
    this->OpenLink();
  }

  void Run(int aSteps)
  {
    for (int step = 0; step < aSteps; ++step) {
      this->now += 1ms;
      this->Step();
      this->CheckAttempts();
    }
  }

  std::size_t finished = 0;
  std::size_t resumed = 0;

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
        this->Disturb();
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
      this->Perform(
        entry,
        entry.attempt->OnWelcome(this->welcomedBy, this->links.back()->number));
    }
  }

  void Perform(Entry& aEntry, AttemptAction aAction)
  {
    const std::uint64_t sequence = aEntry.attempt->Id().sequence;
    auto& out = this->links.back()->toReceiver;
    if (aAction == AttemptAction::SendCall) {
      out.push_back({ Kind::Call, sequence });
    } else if (aAction == AttemptAction::SendAsk) {
      ++this->resumed;
      out.push_back({ Kind::Ask, sequence, aEntry.attempt->SentOn() });
    }
  }

  void OpenLink()
  {
    auto link = std::make_unique<Link>();
    link->number = ++this->lastNumber;
    link->receiver = this->incarnation;
    link->toReceiver.push_back({ Kind::Hello });
    this->links.push_back(std::move(link));
    this->welcomed = false;
  }

  void DeliverToReceiver()
  {
    Link& link = *this->links[UniformBelow(this->random, this->links.size())];
    if (!link.receiverOpen || link.receiver != this->incarnation ||
        link.toReceiver.empty()) {
      return;
    }
    const Message message = link.toReceiver.front();
    link.toReceiver.pop_front();
    const CallId id{ kSender, message.sequence };
    switch (message.kind) {
      case Kind::Hello:
        this->Greet(link);
        break;
      case Kind::Call:
        if (this->ledger->Admit(id, link.number, this->now + 100ms)) {
          this->waiting.push_back(id);
        }
        break;
      case Kind::Ask:
        this->AnswerAsk(link, id, message.value);
        break;
      default:
        this->ledger->Release(id);
        break;
    }
  }

  void Greet(Link& aLink)
  {
    const auto opened = this->ledger->Open(kSender, aLink.number);
    if (!opened.accepted) {
      aLink.receiverOpen = false;
      return;
    }
    if (opened.retired) {
      const auto old = std::ranges::find_if(this->links, [&](const auto& aOld) {
        return aOld->number == *opened.retired;
      });
      (*old)->receiverOpen = false;
      this->ledger->Close(kSender, *opened.retired, this->now);
    }
    aLink.greeted = true;
    aLink.toSender.push_back({ Kind::Welcome, 0, this->incarnation });
  }

  void AnswerAsk(Link& aLink, const CallId& aId, std::uint64_t aSentOn)
  {
    const Fate fate =
      this->ledger->Ask(aId, static_cast<ConnectionNumber>(aSentOn));
    const Kind kind =
      std::visit(Overloaded{ [](const FateNotRun&) { return Kind::Refusal; },
                             [](const FateRunning&) { return Kind::Running; },
                             [](const FateDone&) { return Kind::Answer; },
                             [](const FateUnknown&) { return Kind::Lost; } },
                 fate);
    aLink.toSender.push_back({ kind, aId.sequence });
  }

  void DeliverToSender()
  {
    Link& link = *this->links.back();
    if (link.toSender.empty()) {
      return;
    }
    const Message message = link.toSender.front();
    link.toSender.pop_front();
    if (message.kind == Kind::Welcome) {
      this->welcomed = true;
      this->welcomedBy = message.value;
      for (auto& [sequence, entry] : this->attempts) {
        this->Perform(entry,
                      entry.attempt->OnWelcome(message.value, link.number));
      }
      return;
    }
    CallAttempt& attempt = *this->attempts.at(message.sequence).attempt;
    if (message.kind == Kind::Answer) {
      attempt.OnAnswer({ static_cast<unsigned>(message.sequence) });
      link.toReceiver.push_back({ Kind::Release, message.sequence });
    } else if (message.kind == Kind::Refusal) {
      attempt.OnRefusal({});
    } else if (message.kind == Kind::Lost) {
      attempt.OnLost();
      link.toReceiver.push_back({ Kind::Release, message.sequence });
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
      this->Reply({ Kind::Refusal, id.sequence });
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
      this->ledger->Lose(id);
      this->Reply({ Kind::Lost, id.sequence });
    } else {
      this->ledger->Finish(id, { static_cast<unsigned>(id.sequence) });
      this->Reply({ Kind::Answer, id.sequence });
    }
  }

  void Reply(Message aMessage)
  {
    const auto current = this->ledger->CurrentConnection(kSender);
    for (const auto& link : this->links) {
      if (current && link->number == *current) {
        link->toSender.push_back(aMessage);
      }
    }
  }

  /// The sender gives its connection up, the receiver sees one close, or the
  /// receiver restarts.
  void Disturb()
  {
    const std::uint64_t kind = UniformBelow(this->random, 8);
    if (kind < 4) {
      for (auto& [sequence, entry] : this->attempts) {
        entry.attempt->OnConnectionLost();
      }
      this->OpenLink();
    } else if (kind < 6) {
      Link& link = *this->links[UniformBelow(this->random, this->links.size())];
      if (link.greeted && link.receiverOpen &&
          link.receiver == this->incarnation) {
        link.receiverOpen = false;
        this->ledger->Close(kSender, link.number, this->now);
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

  void CheckAttempts()
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
  std::vector<std::unique_ptr<Link>> links;
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

BOOST_AUTO_TEST_SUITE(fate)

BOOST_AUTO_TEST_CASE(promises_hold_in_random_schedules)
{
  std::size_t finished = 0;
  std::size_t resumed = 0;
  for (std::uint64_t seed = 1; seed <= 3000; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed)
    {
      World world(seed);
      world.Run(400);
      finished += world.finished;
      resumed += world.resumed;
    }
  }
  BOOST_TEST(finished > 30000U);
  BOOST_TEST(resumed > 3000U);
}

BOOST_AUTO_TEST_CASE(a_call_from_a_retired_connection_is_ignored)
{
  CallLedger ledger;
  ledger.Open(kSender, 1);
  const auto opened = ledger.Open(kSender, 2);
  BOOST_REQUIRE(opened.accepted);
  BOOST_TEST((opened.retired == ConnectionNumber{ 1 }));
  BOOST_TEST(!ledger.Admit(kId, 1, kNow + 1s));
  BOOST_TEST(ledger.Admit(kId, 2, kNow + 1s));
  BOOST_TEST(!ledger.Open(kSender, 1).accepted);
}

BOOST_AUTO_TEST_CASE(a_fenced_call_never_starts)
{
  CallLedger ledger;
  ledger.Open(kSender, 1);
  BOOST_TEST(ledger.Admit(kId, 1, kNow + 1s));
  ledger.Open(kSender, 2);
  BOOST_TEST(std::holds_alternative<FateNotRun>(ledger.Ask(kId, 1)));
  BOOST_TEST(!ledger.Start(kId));
}

BOOST_AUTO_TEST_CASE(a_dropped_record_is_unknown_and_not_not_run)
{
  CallLedger ledger;
  ledger.Open(kSender, 1);
  BOOST_TEST(ledger.Admit(kId, 1, kNow + 1s));
  BOOST_TEST(ledger.Start(kId));
  ledger.Finish(kId, { 200 });
  ledger.Expire(kNow + 2s);
  BOOST_TEST(ledger.RecordCount() == 0U);
  BOOST_TEST(std::holds_alternative<FateUnknown>(ledger.Ask(kId, 1)));
}

BOOST_AUTO_TEST_CASE(a_call_older_than_the_memory_of_its_sender_is_unknown)
{
  CallLedger ledger;
  ledger.Open(kSender, 5);
  BOOST_TEST(std::holds_alternative<FateUnknown>(ledger.Ask(kId, 4)));
  BOOST_TEST(std::holds_alternative<FateNotRun>(ledger.Ask(kId, 5)));
}

/// Found by spec/fate.pml: a Hello that was delayed past the memory of its
/// sender must not make the receiver vouch for connections in between.
BOOST_AUTO_TEST_CASE(a_late_hello_does_not_vouch_for_newer_connections)
{
  CallLedger ledger;
  ledger.Open(kSender, 2);
  BOOST_TEST(ledger.Admit(kId, 2, kNow + 1s));
  BOOST_TEST(ledger.Start(kId));
  ledger.Finish(kId, { 200 });
  ledger.Close(kSender, 2, kNow);
  ledger.Expire(kNow + 2s);
  ledger.Expire(kNow + 2 * CallLedger::kSenderRetention);
  BOOST_REQUIRE(ledger.SenderCount() == 0U);
  ledger.Open(kSender, 1);
  ledger.Open(kSender, 3);
  BOOST_TEST(std::holds_alternative<FateUnknown>(ledger.Ask(kId, 2)));
}

BOOST_AUTO_TEST_CASE(a_finished_answer_is_resumed_on_a_new_connection)
{
  CallLedger ledger;
  ledger.Open(kSender, 1);
  BOOST_TEST(ledger.Admit(kId, 1, kNow + 1s));
  BOOST_TEST(ledger.Start(kId));
  ledger.Open(kSender, 2);
  BOOST_TEST(std::holds_alternative<FateRunning>(ledger.Ask(kId, 1)));
  ledger.Finish(kId, { 200, {}, "whole" });
  const Fate fate = ledger.Ask(kId, 1);
  BOOST_REQUIRE(std::holds_alternative<FateDone>(fate));
  BOOST_TEST(std::get<FateDone>(fate).response.body == "whole");
  ledger.Release(kId);
  BOOST_TEST(ledger.RecordCount() == 0U);
}

BOOST_AUTO_TEST_CASE(kept_answers_stay_within_their_bytes)
{
  CallLedger ledger(100);
  ledger.Open(kSender, 1);
  for (std::uint64_t sequence = 1; sequence <= 3; ++sequence) {
    const CallId id{ kSender, sequence };
    BOOST_TEST(ledger.Admit(id, 1, kNow + Seconds(sequence)));
    BOOST_TEST(ledger.Start(id));
    ledger.Finish(id, { 200, {}, std::string(40, 'x') });
  }
  BOOST_TEST(ledger.RecordCount() == 2U);
  BOOST_TEST(std::holds_alternative<FateUnknown>(ledger.Ask(kId, 1)));
  BOOST_TEST(std::holds_alternative<FateDone>(ledger.Ask({ kSender, 3 }, 1)));
}

BOOST_AUTO_TEST_CASE(an_attempt_is_sent_once_and_then_asked_for)
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

BOOST_AUTO_TEST_CASE(an_idempotent_attempt_does_not_wait_for_a_dead_daemon)
{
  CallAttempt attempt(kId, true, kNow + 1s);
  attempt.OnWelcome(1, 1);
  attempt.OnConnectionLost();
  BOOST_TEST((attempt.OnConnectFailed() == AttemptAction::Finish));
  BOOST_TEST(std::holds_alternative<OutcomeUnknown>(*attempt.Result()));
}

BOOST_AUTO_TEST_SUITE_END()

}
