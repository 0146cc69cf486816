#include "baobab/node/responses.hpp"

#include "baobab/node/headers.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace baobab {
namespace {

constexpr unsigned kBadGateway = 502;
constexpr unsigned kTooManyRequests = 429;
constexpr unsigned kUnavailable = 503;
constexpr unsigned kGatewayTimeout = 504;

unsigned
StatusOf(RefusalReason aReason)
{
  switch (aReason) {
    case RefusalReason::TooLarge:
      return 413;
    case RefusalReason::NoTarget:
    case RefusalReason::Overloaded:
    case RefusalReason::Leaving:
    case RefusalReason::NotReady:
    case RefusalReason::Fenced:
    case RefusalReason::Unreachable:
    case RefusalReason::WrongService:
    case RefusalReason::Cancelled:
    case RefusalReason::Expired:
    case RefusalReason::Shed:
    case RefusalReason::WrongInstance:
    case RefusalReason::RateLimited:
    case RefusalReason::Evacuated:
    case RefusalReason::WarmingUp:
    case RefusalReason::RegionFull:
    case RefusalReason::KeysOutdated:
    case RefusalReason::OutOfMemory:
      return kUnavailable;
    case RefusalReason::OverQuota:
      return kTooManyRequests;
    case RefusalReason::Quarantined:
      return kBadGateway;
  }
  return kUnavailable;
}

/// Formats the value of a Retry-After header.
std::string
FormatRetryAfter(Duration aDelay, bool aFractions)
{
  const double seconds = std::chrono::duration<double>(aDelay).count();
  if (!aFractions) {
    return std::to_string(std::max(1, static_cast<int>(std::ceil(seconds))));
  }
  char text[16];
  constexpr double kMinSeconds = 0.05;
  std::snprintf(text, sizeof text, "%.2f", std::max(kMinSeconds, seconds));
  return text;
}

}

Response
InvalidRequestResponse(HttpRequestError aError)
{
  switch (aError) {
    case HttpRequestError::HeaderTooLarge:
      return TextResponse(
        431, "Not run: the request headers are too large. Shorten them.\n");
    case HttpRequestError::BodyTooLarge:
      return TextResponse(
        413, "Not run: the request body is too large for this service.\n");
    case HttpRequestError::TimedOut:
      return TextResponse(
        408, "Not run: the request was not received in time. Send it again.\n");
    case HttpRequestError::Stopping: {
      Response response = TextResponse(
        kUnavailable,
        "Not run: the daemon is shutting down. Send it to another host.\n");
      response.headers.push_back({ "Retry-After", "1" });
      return response;
    }
    case HttpRequestError::OutOfMemory: {
      Response response =
        TextResponse(kUnavailable,
                     "Not run: the host has no memory left for the request "
                     "body. Send it again.\n");
      response.headers.push_back({ "Retry-After", "1" });
      return response;
    }
    case HttpRequestError::Malformed:
      break;
  }
  return TextResponse(400, "Not run: this is not a valid HTTP request.\n");
}

Response
MarkNotRun(Response aResponse)
{
  aResponse.headers.push_back({ std::string(kOutcomeHeader), "not-run" });
  return aResponse;
}

Response
NotRunResponse(const NotRun& aRefusal, bool aFractions)
{
  const bool retryable = aRefusal.reason != RefusalReason::Quarantined;
  const std::string advice =
    retryable ? "It is safe to send it again.\n"
              : "Sending it again will not help; change the request.\n";
  Response response = MarkNotRun(TextResponse(
    StatusOf(aRefusal.reason), "Not run: " + aRefusal.detail + ". " + advice));
  if (retryable) {
    response.headers.push_back(
      { "Retry-After", FormatRetryAfter(aRefusal.retryAfter, aFractions) });
  }
  if (aRefusal.retried) {
    response.headers.push_back({ std::string(kRetriedHeader), "1" });
  }
  return response;
}

Response
UnknownOutcomeResponse(const OutcomeUnknown& aUnknown)
{
  const bool timedOut = aUnknown.cause == UnknownCause::DeadlinePassed;
  Response response = TextResponse(
    timedOut ? kGatewayTimeout : kBadGateway,
    "Outcome unknown: " + std::string(Describe(aUnknown.cause)) +
      ". The request may have run. Check before sending it again.\n");
  response.headers.push_back({ std::string(kOutcomeHeader), "unknown" });
  return response;
}

}
