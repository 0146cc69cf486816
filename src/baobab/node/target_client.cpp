#include "baobab/node/target_client.hpp"

#include "baobab/net/clock.hpp"
#include "baobab/net/http_server.hpp"
#include "baobab/node/headers.hpp"

#include <algorithm>

namespace baobab {
namespace {

constexpr unsigned kServiceUnavailable = 503;

UnknownCause
CauseOf(ErrorKind aKind)
{
  switch (aKind) {
    case ErrorKind::TimedOut:
      return UnknownCause::DeadlinePassed;
    case ErrorKind::TooLarge:
      return UnknownCause::AnswerTooLarge;
    default:
      return UnknownCause::TargetFailed;
  }
}

/// True if the target says that it did not run this very call. The call's id
/// proves that the answer was not passed on from a call further down.
bool
WasShed(const Response& aResponse, const CallId& aId)
{
  return aResponse.status == kServiceUnavailable &&
         FindHeader(aResponse.headers, kNotRunHeader) == ToString(aId);
}

}

void
TargetClient::SetEndpoint(const Endpoint& aEndpoint)
{
  if (this->endpoint != aEndpoint) {
    this->endpoint = aEndpoint;
    this->pool.clear();
  }
}

TargetResult
TargetClient::Run(const TargetCall& aCall, TargetControl& aControl)
{
  if (aCall.idempotent) {
    if (auto pooled = this->TakePooled()) {
      TargetResult result = this->Exchange(aCall, std::move(pooled), aControl);
      if (!result.broken || aControl.cancelled) {
        return result;
      }
    }
  }
  const Duration left = aCall.deadline - Now();
  auto opened =
    HttpClient::Open(this->context,
                     this->endpoint,
                     std::min<Duration>(left, this->settings.timeouts.connect));
  if (!Succeeded(opened)) {
    return { NotRun{ RefusalReason::NotReady,
                     "the target accepts no connection" } };
  }
  return this->Exchange(aCall, std::move(Value(opened)), aControl);
}

bool
TargetClient::IsListening()
{
  return Succeeded(HttpClient::Open(
    this->context, this->endpoint, this->settings.timeouts.connect));
}

std::unique_ptr<HttpClient>
TargetClient::TakePooled()
{
  while (!this->pool.empty()) {
    auto client = std::move(this->pool.back());
    this->pool.pop_back();
    if (client->Reusable()) {
      return client;
    }
  }
  return nullptr;
}

TargetResult
TargetClient::Exchange(const TargetCall& aCall,
                       std::unique_ptr<HttpClient> aClient,
                       TargetControl& aControl)
{
  const Duration left = aCall.deadline - Now();
  if (left <= Duration::zero()) {
    return { NotRun{ RefusalReason::Expired, "the deadline passed" } };
  }
  if (aControl.cancelled) {
    return { NotRun{ RefusalReason::Cancelled, "cancelled" } };
  }
  aControl.connection = aClient.get();
  auto response =
    aClient->Exchange(this->Prepare(aCall), aCall.answerBytes, left);
  aControl.connection = nullptr;
  if (!Succeeded(response)) {
    const Error& error = Failure(response);
    return { OutcomeUnknown{ CauseOf(error.kind) },
             error.kind == ErrorKind::ConnectionLost &&
               !aClient->AnswerBegan() };
  }
  if (this->pool.size() <
        static_cast<std::size_t>(this->settings.targetConnections) &&
      aClient->Reusable()) {
    this->pool.push_back(std::move(aClient));
  }
  Response& answer = Value(response);
  if (WasShed(answer, aCall.id)) {
    return { NotRun{ RefusalReason::Overloaded,
                     "the target shed the call",
                     !FindHeader(answer.headers, kRetriedHeader).empty() } };
  }
  std::erase_if(answer.headers, [](const HeaderField& aField) {
    return IsOwnHeader(aField.name);
  });
  return { Answered{ std::move(answer) } };
}

Request
TargetClient::Prepare(const TargetCall& aCall) const
{
  Request request = aCall.request;
  const auto left = std::chrono::duration_cast<Millis>(aCall.deadline - Now());
  request.headers.push_back({ std::string(kCallHeader), ToString(aCall.id) });
  request.headers.push_back(
    { std::string(kDeadlineHeader),
      std::to_string(std::max<std::int64_t>(1, left.count())) });
  return request;
}

}
