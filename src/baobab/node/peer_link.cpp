#include "baobab/node/peer_link.hpp"

#include "baobab/core/answer_check.hpp"
#include "baobab/core/result.hpp"
#include "baobab/net/clock.hpp"
#include "baobab/net/log.hpp"
#include "baobab/net/log_events.hpp"
#include "baobab/net/worker.hpp"

#include <algorithm>
#include <boost/fiber/operations.hpp>

namespace baobab {
namespace {

/// Delay after a failed attempt to connect.
constexpr Duration kReconnectDelay = 50ms;

/// Time without calls after which the connection is closed.
constexpr Duration kIdleTimeout = 60s;

/// Size of a body from which on it is sent without a copy.
constexpr std::size_t kLargeBodyBytes = 64U << 10U;

/// Heartbeat intervals between two heartbeats while no call is in flight.
constexpr unsigned kIdleHeartbeatIntervals = 8;

}

PeerLink::PeerLink(boost::asio::io_context& aContext,
                   Endpoint aEndpoint,
                   LinkIdentity aIdentity,
                   const Timeouts& aTimeouts,
                   LoadListener aOnLoad)
  : context(aContext)
  , endpoint(aEndpoint)
  , identity(std::move(aIdentity))
  , timeouts(aTimeouts)
  , onLoad(std::move(aOnLoad))
{
}

AttemptResult
PeerLink::Run(const Request& aRequest,
              const CallTerms& aTerms,
              SendPermit /*aPermit*/,
              Cancellation* aCancellation)
{
  const CallId id{ this->identity.sender, (*this->identity.nextSequence)++ };
  PendingAttempt pending{ CallAttempt(id, aTerms.idempotent, aTerms.deadline),
                          aRequest,
                          aTerms };
  this->pending.emplace(id.sequence, &pending);
  this->lastUsed = Now();
  if (aCancellation != nullptr) {
    aCancellation->cancel = [this, &pending] {
      this->GiveUp(pending, pending.attempt.OnCancelled());
    };
  }
  if (aTerms.deadline <= this->lastUsed) {
    pending.attempt.OnDeadline();
  } else if (this->ready) {
    this->Perform(
      pending,
      pending.attempt.OnWelcome(this->incarnation, this->connectionNumber));
  } else if (!this->maintaining) {
    this->maintaining = true;
    Spawn([self = this->shared_from_this()] { self->MaintainConnection(); });
  }
  if (!pending.attempt.Result() &&
      !pending.finished.WaitUntil(aTerms.deadline)) {
    this->GiveUp(pending, pending.attempt.OnDeadline());
  }
  if (aCancellation != nullptr) {
    aCancellation->cancel = nullptr;
  }
  this->pending.erase(id.sequence);
  if (this->connection) {
    this->connection->Detach(aRequest.body);
  }
  return AttemptResult{
    .id = id,
    .outcome = pending.attempt.TakeResult(),
    .load = pending.load,
    .work = pending.work,
    .serverTime = pending.serverTime,
    .malformedPart = std::move(pending.malformedPart),
  };
}

/// Ends an attempt whose outcome is no longer needed, and tells the target's
/// daemon to cancel it.
void
PeerLink::GiveUp(PendingAttempt& aPending, AttemptAction aAction)
{
  if (aAction != AttemptAction::Finish) {
    return;
  }
  if (this->ready && aPending.attempt.WasSent()) {
    this->connection->Send(
      CancelMessage{ aPending.attempt.Id(), !aPending.terms.idempotent });
  }
  aPending.finished.Notify();
}

void
PeerLink::WithdrawWaiting()
{
  for (auto& [sequence, pending] : this->pending) {
    if (!pending->attempt.WasSent()) {
      this->GiveUp(*pending, pending->attempt.OnCancelled());
    } else if (this->ready) {
      this->connection->Send(CancelMessage{ pending->attempt.Id(), true });
    }
  }
}

void
PeerLink::Perform(PendingAttempt& aPending, AttemptAction aAction)
{
  const CallAttempt& attempt = aPending.attempt;
  switch (aAction) {
    case AttemptAction::SendCall:
      this->SendCall(aPending);
      break;
    case AttemptAction::SendAsk:
      this->connection->Send(
        OutcomeQueryMessage{ attempt.Id(), attempt.SentOn() });
      break;
    case AttemptAction::Finish:
      aPending.finished.Notify();
      break;
    case AttemptAction::Reconnect:
    case AttemptAction::Wait:
      break;
  }
}

/// Sends a call. A large body is not copied.
void
PeerLink::SendCall(const PendingAttempt& aPending)
{
  const CallAttempt& attempt = aPending.attempt;
  const Request& request = aPending.request;
  const bool large = request.body.size() >= kLargeBodyBytes;
  const CallMessage message{
    attempt.Id(),
    { request.service,
      request.method,
      request.target,
      request.headers,
      large ? std::string() : request.body },
    std::chrono::duration_cast<Micros>(attempt.Deadline() - Now()),
    attempt.Idempotent(),
    aPending.terms.priority,
    std::chrono::duration_cast<Micros>(aPending.terms.objective - Now()),
    std::chrono::duration_cast<Micros>(aPending.terms.work),
    std::chrono::duration_cast<Micros>(aPending.terms.alternative),
    aPending.terms.traced,
    static_cast<std::uint64_t>(aPending.terms.answerBytes),
    aPending.terms.targetLimit,
    aPending.terms.workspace
  };
  if (large) {
    this->connection->SendWithBody(message, request.body);
  } else {
    this->connection->Send(message);
  }
}

void
PeerLink::MaintainConnection()
{
  while (!this->pending.empty()) {
    if (this->Connect() && this->Handshake()) {
      this->ReadUntilLost();
      if (!this->pending.empty()) {
        Log(kLinkLost, this->endpoint, this->pending.size(), this->silent);
      }
      this->silent = false;
      this->ForEachPending(
        [](CallAttempt& aAttempt) { return aAttempt.OnConnectionLost(); });
      continue;
    }
    this->ForEachPending(
      [](CallAttempt& aAttempt) { return aAttempt.OnConnectFailed(); });
    boost::this_fiber::sleep_for(kReconnectDelay);
  }
  this->maintaining = false;
}

bool
PeerLink::Connect()
{
  auto socket = baobab::Connect(this->context,
                                this->endpoint,
                                this->timeouts.connect,
                                this->identity.localAddress);
  if (!Succeeded(socket)) {
    Log(kLinkConnectFailed,
        this->endpoint,
        this->pending.size(),
        Failure(socket));
    return false;
  }
  this->connection =
    std::make_shared<FrameConnection>(std::move(Value(socket)));
  return true;
}

bool
PeerLink::Handshake()
{
  ++this->connectionNumber;
  const auto current = this->connection;
  current->Send(HelloMessage{
    this->identity.sender, this->connectionNumber, this->identity.region });
  Spawn([self = this->shared_from_this(), current] {
    self->SendHeartbeats(current);
  });
  auto message = current->Read();
  if (!Succeeded(message) ||
      !std::holds_alternative<WelcomeMessage>(Value(message))) {
    current->Close();
    return false;
  }
  this->incarnation = std::get<WelcomeMessage>(Value(message)).incarnation;
  this->ready = true;
  this->ForEachPending([&](CallAttempt& aAttempt) {
    return aAttempt.OnWelcome(this->incarnation, this->connectionNumber);
  });
  return true;
}

void
PeerLink::ReadUntilLost()
{
  while (true) {
    auto message = this->connection->Read();
    if (!Succeeded(message)) {
      break;
    }
    this->Dispatch(Value(message));
  }
  this->ready = false;
}

void
PeerLink::Dispatch(PeerMessage& aMessage)
{
  const auto update = [&](const CallId& aId, auto aEvent) {
    if (PendingAttempt* pending = this->Find(aId)) {
      this->Perform(*pending, aEvent(*pending));
    }
  };
  std::visit(
    Overloaded{
      [&](AnswerMessage& aAnswer) {
        this->connection->Send(ReleaseMessage{ aAnswer.id });
        update(aAnswer.id, [&](PendingAttempt& aPending) {
          aPending.load = aAnswer.load;
          aPending.work = aAnswer.work;
          aPending.serverTime = aAnswer.held;
          aPending.malformedPart = FindMalformedPart(aAnswer.response);
          if (aPending.malformedPart || aAnswer.response.held.Refused()) {
            return aPending.attempt.OnLost();
          }
          return aPending.attempt.OnAnswer(std::move(aAnswer.response));
        });
      },
      [&](RefusalMessage& aRefusal) {
        update(aRefusal.id, [&](PendingAttempt& aPending) {
          aPending.load = aRefusal.load;
          return aPending.attempt.OnRefusal(std::move(aRefusal.refusal));
        });
      },
      [&](OutcomeUnknownMessage& aUnknown) {
        this->connection->Send(ReleaseMessage{ aUnknown.id });
        update(aUnknown.id, [](PendingAttempt& aPending) {
          return aPending.attempt.OnLost();
        });
      },
      [&](RunningMessage& aRunning) {
        update(aRunning.id, [](PendingAttempt& aPending) {
          return aPending.attempt.OnRunning();
        });
      },
      [&](LoadUpdateMessage& aUpdate) {
        if (this->onLoad) {
          this->onLoad(this->endpoint, aUpdate.load);
        }
      },
      [](auto&) {},
    },
    aMessage);
}

void
PeerLink::SendHeartbeats(const std::shared_ptr<FrameConnection>& aConnection)
{
  unsigned intervals = 0;
  while (aConnection->IsOpen()) {
    boost::this_fiber::sleep_for(this->timeouts.heartbeat);
    if (Now() - aConnection->UnansweredSince() > this->timeouts.silence) {
      this->silent = true;
      aConnection->Close();
      return;
    }
    const bool idle = this->pending.empty();
    if (idle && Now() - this->lastUsed > kIdleTimeout) {
      aConnection->Close();
      return;
    }
    if (!idle || ++intervals % kIdleHeartbeatIntervals == 0) {
      aConnection->Send(HeartbeatMessage{});
    }
  }
}

PeerLink::PendingAttempt*
PeerLink::Find(const CallId& aId)
{
  const auto found = this->pending.find(aId.sequence);
  return found == this->pending.end() ? nullptr : found->second;
}

template<class F>
void
PeerLink::ForEachPending(F aEvent)
{
  for (auto& [sequence, pending] : this->pending) {
    this->Perform(*pending, aEvent(pending->attempt));
  }
}

}
