#include "baobab/node/target_client.hpp"

#include "baobab/core/http_syntax.hpp"
#include "baobab/net/clock.hpp"
#include "baobab/net/http_server.hpp"
#include "baobab/net/log.hpp"
#include "baobab/net/log_events.hpp"
#include "baobab/node/headers.hpp"

#include <algorithm>
#include <array>
#include <charconv>

namespace baobab {
namespace {

constexpr unsigned kServiceUnavailable = 503;

UnknownCause
UnknownCauseOf(ErrorKind aKind)
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

/// Returns true for statuses that callers interpret as "not run".
bool
MeansNotRun(unsigned aStatus)
{
  constexpr std::array<unsigned, 4> kNotRunStatuses = { 408, 421, 429, 503 };
  return std::ranges::find(kNotRunStatuses, aStatus) != kNotRunStatuses.end();
}

/// Time before the announced end of a keep-alive connection from which it is no
/// longer used.
constexpr Duration kKeepAliveMargin = 1s;

}

std::optional<LoadReport>
ParseLoad(std::string_view aText)
{
  std::array<std::uint16_t, 4> values{ 0, 0, 0, LoadReport{}.slowness };
  std::size_t count = 0;
  const char* position = aText.data();
  const char* last = position + aText.size();
  while (count < values.size() && position != last) {
    const auto [end, code] = std::from_chars(position, last, values[count]);
    if (code != std::errc{}) {
      return std::nullopt;
    }
    ++count;
    position = end != last && *end == ',' ? end + 1 : last;
  }
  constexpr std::size_t kRequired = 3;
  if (count < kRequired) {
    return std::nullopt;
  }
  return LoadReport{ values[0], values[1], values[2], values[3] };
}

void
TargetClient::SetTarget(const Endpoint& aEndpoint, std::string_view aInstance)
{
  if (this->endpoint != aEndpoint || this->instance != aInstance) {
    this->endpoint = aEndpoint;
    this->instance = aInstance;
    this->pool.clear();
  }
}

namespace {

Result<Response>
ExchangeHealth(HttpClient& aClient, std::string_view aPath, Duration aTimeout)
{
  constexpr std::size_t kMaxHealthBytes = 65536;
  Request request;
  request.method = "GET";
  request.target = aPath;
  return aClient.Exchange(request, { kMaxHealthBytes, aTimeout });
}

}

Result<Response>
TargetClient::GetHealthOf(const Endpoint& aAddress,
                          std::string_view aPath,
                          Duration aTimeout)
{
  auto opened = HttpClient::Open(this->context, aAddress, aTimeout);
  if (!Succeeded(opened)) {
    return Failure(opened);
  }
  return ExchangeHealth(*Value(opened), aPath, aTimeout);
}

Result<Response>
TargetClient::GetHealth(std::string_view aPath, Duration aTimeout)
{
  auto client = this->AcquireFromPool();
  if (!client) {
    auto opened = HttpClient::Open(this->context, this->endpoint, aTimeout);
    if (!Succeeded(opened)) {
      return Failure(opened);
    }
    client = std::move(Value(opened));
  }
  auto answer = ExchangeHealth(*client, aPath, aTimeout);
  if (Succeeded(answer)) {
    this->ReturnToPool(std::move(client));
  }
  return answer;
}

TargetResult
TargetClient::Run(const TargetCall& aCall,
                  TargetCallControl& aControl,
                  SendPermit aPermit,
                  const RepeatPermitter& aRepeat)
{
  std::optional<SendPermit> permit = std::move(aPermit);
  bool lostConnection = false;
  if (aCall.idempotent) {
    if (auto pooled = this->AcquireFromPool()) {
      TargetResult result =
        this->Exchange(aCall, std::move(pooled), aControl, std::move(*permit));
      if (!result.connectionBroken || aControl.cancelled) {
        return result;
      }
      lostConnection = true;
    }
  }
  const Duration left = aCall.deadline - Now();
  auto opened =
    HttpClient::Open(this->context,
                     this->endpoint,
                     std::min<Duration>(left, this->settings.timeouts.connect));
  if (lostConnection) {
    Log(kTargetConnectionLost,
        FindHeader(aCall.request.headers, this->settings.headers.requestId),
        Succeeded(opened));
  }
  if (!Succeeded(opened)) {
    if (lostConnection) {
      return { OutcomeUnknown{ UnknownCause::TargetFailed }, true };
    }
    return { NotRun{ RefusalReason::NotReady,
                     "the target does not accept connections" } };
  }
  if (lostConnection) {
    permit = aRepeat();
    if (!permit) {
      this->ReturnToPool(std::move(Value(opened)));
      return { OutcomeUnknown{ UnknownCause::TargetFailed } };
    }
  }
  TargetResult result = this->Exchange(
    aCall, std::move(Value(opened)), aControl, std::move(*permit));
  if (lostConnection && std::holds_alternative<NotRun>(result.outcome)) {
    // The first exchange may have run.
    result.outcome = OutcomeUnknown{ UnknownCause::TargetFailed };
  }
  return result;
}

bool
TargetClient::IsListening()
{
  return Succeeded(HttpClient::Open(
    this->context, this->endpoint, this->settings.timeouts.connect));
}

std::unique_ptr<HttpClient>
TargetClient::AcquireFromPool()
{
  while (!this->pool.empty()) {
    PooledConnection pooled = std::move(this->pool.back());
    this->pool.pop_back();
    if (Now() < pooled.usableUntil && pooled.client->Reusable()) {
      return std::move(pooled.client);
    }
  }
  return nullptr;
}

void
TargetClient::ReturnToPool(std::unique_ptr<HttpClient> aClient)
{
  const auto maxPooled =
    static_cast<std::size_t>(this->settings.targetConnections);
  if (this->pool.size() >= maxPooled || !aClient->Reusable()) {
    return;
  }
  const Duration keepAlive = aClient->KeepAliveTimeout();
  const TimePoint until = keepAlive == Duration::max()
                            ? TimePoint::max()
                            : Now() + keepAlive - kKeepAliveMargin;
  this->pool.push_back({ std::move(aClient), until });
}

TargetResult
TargetClient::Exchange(const TargetCall& aCall,
                       std::unique_ptr<HttpClient> aClient,
                       TargetCallControl& aControl,
                       SendPermit /*aPermit*/)
{
  const Duration left = aCall.deadline - Now();
  if (left <= Duration::zero()) {
    return { NotRun{ RefusalReason::Expired, "the deadline passed" } };
  }
  if (aControl.cancelled) {
    return { NotRun{ RefusalReason::Cancelled, "cancelled" } };
  }
  ExchangeOptions options{ aCall.maxAnswerBytes, left };
  options.headers = this->HeadersFor(aCall);
  const std::string& idHeader = this->settings.headers.requestId;
  const auto id = FindHeader(aCall.request.headers, idHeader);
  if (!id.empty()) {
    options.matchesRequest = [&idHeader, id](const Response& aAnswer) {
      return FindHeader(aAnswer.headers, idHeader) == id;
    };
  }
  aControl.connection = aClient.get();
  auto response = aClient->Exchange(aCall.request, options);
  aControl.connection = nullptr;
  if (!Succeeded(response)) {
    const Error& error = Failure(response);
    if (error.kind == ErrorKind::BadMessage) {
      Log(kTargetAnswerMalformed, id, aCall.id, error);
    }
    return { OutcomeUnknown{ UnknownCauseOf(error.kind) },
             error.kind == ErrorKind::ConnectionLost &&
               !aClient->ResponseStarted() };
  }
  const TargetSignals signals =
    ReadSignals(Value(response), this->settings.headers);
  TargetResult result = this->ClassifyAnswer(aCall, std::move(Value(response)));
  result.signals = signals;
  // A target may repeat a refusal. On a connection of its own, the repetition
  // cannot be taken for the answer to a later attempt of the same request.
  if (!std::holds_alternative<NotRun>(result.outcome)) {
    this->ReturnToPool(std::move(aClient));
  }
  return result;
}

/// Decides whether a response is the answer to the call, a refusal, or one that
/// must not be passed on to the caller.
TargetResult
TargetClient::ClassifyAnswer(const TargetCall& aCall, Response aAnswer) const
{
  const HeaderNames& names = this->settings.headers;
  const auto load = ParseLoad(FindHeader(aAnswer.headers, names.load));
  if (this->IsRefusal(aAnswer, aCall.id)) {
    constexpr unsigned kMisdirected = 421;
    const bool retried = !FindHeader(aAnswer.headers, kRetriedHeader).empty();
    if (aAnswer.status == kMisdirected) {
      return { NotRun{ RefusalReason::WrongInstance,
                       "another instance uses the target's address",
                       retried },
               false,
               load };
    }
    return { NotRun{
               RefusalReason::Shed, "the target refused the call", retried },
             false,
             load };
  }
  const bool unverified = IsSuccess(aAnswer.status) && !names.stamp.empty() &&
                          FindHeader(aAnswer.headers, names.stamp).empty();
  const bool misleading =
    names.reserveNotRunStatuses && MeansNotRun(aAnswer.status);
  if (unverified || misleading) {
    return { OutcomeUnknown{ UnknownCause::TargetFailed }, false, load };
  }
  std::erase_if(aAnswer.headers, [&](const HeaderField& aField) {
    return IsReservedHeader(aField.name) ||
           SameHeaderName(aField.name, names.load);
  });
  return { Answered{ std::move(aAnswer) }, false, load };
}

/// Returns true if the target says that it did not run this call. The ID of the
/// call in the header shows that the target did not copy the response from a
/// call of its own to another service. Targets that never copy the header may
/// leave the ID out.
bool
TargetClient::IsRefusal(const Response& aAnswer, const CallId& aId) const
{
  constexpr unsigned kMisdirected = 421;
  const HeaderNames& names = this->settings.headers;
  const auto notRun = FindHeader(aAnswer.headers, names.notRun);
  if (!names.notRunRequiresCallId) {
    return !notRun.empty() || aAnswer.status == kMisdirected;
  }
  return aAnswer.status == kServiceUnavailable && notRun == ToString(aId);
}

/// Returns the headers that are added to the request of a call.
std::vector<HeaderField>
TargetClient::HeadersFor(const TargetCall& aCall) const
{
  const HeaderNames& names = this->settings.headers;
  std::vector<HeaderField> headers;
  const auto left = std::chrono::duration_cast<Millis>(aCall.deadline - Now());
  headers.push_back({ std::string(kCallIdHeader), ToString(aCall.id) });
  headers.push_back(
    { names.deadline,
      std::to_string(std::max<std::int64_t>(1, left.count())) });
  if (!this->instance.empty()) {
    headers.push_back({ names.targetInstance, this->instance });
  }
  return headers;
}

}
