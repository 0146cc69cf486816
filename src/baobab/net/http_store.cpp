#include "baobab/net/http_store.hpp"

#include "baobab/net/http_server.hpp"

#include <sstream>

namespace baobab {
namespace {

/// Maximum size of a response body.
constexpr std::size_t kMaxObjectBytes = 2U << 20U;
constexpr Duration kConnectTimeout = 1s;
constexpr std::string_view kObjectPath = "/v1/objects/";

Error
UnavailableError(const std::string& aCause)
{
  return { ErrorKind::StoreUnavailable,
           "the object store is unavailable: " + aCause,
           "check the store and 'store.address', or try again later" };
}

Error
UnexpectedStatusError(const Response& aResponse)
{
  return UnavailableError("it responded with status " +
                          std::to_string(aResponse.status));
}

Request
ObjectRequest(std::string_view aMethod, std::string_view aKey)
{
  Request request;
  request.method = aMethod;
  request.target = std::string(kObjectPath) + std::string(aKey);
  return request;
}

StoredObject
ToObject(Response& aResponse)
{
  return { std::move(aResponse.body),
           std::string(FindHeader(aResponse.headers, "ETag")) };
}

}

HttpStore::HttpStore(boost::asio::io_context& aContext,
                     Endpoint aEndpoint,
                     Duration aTimeout)
  : context(aContext)
  , endpoint(aEndpoint)
  , timeout(aTimeout)
{
}

Result<std::optional<StoredObject>>
HttpStore::Get(std::string_view aKey)
{
  auto response = this->Send(ObjectRequest("GET", aKey), this->timeout);
  if (!Succeeded(response)) {
    return Failure(response);
  }
  switch (Value(response).status) {
    case 200:
      return ToObject(Value(response));
    case 404:
      return std::nullopt;
    default:
      return UnexpectedStatusError(Value(response));
  }
}

Result<ObjectVersion>
HttpStore::Put(std::string_view aKey,
               std::string_view aValue,
               const PutCondition& aCondition)
{
  Request request = ObjectRequest("PUT", aKey);
  request.body = aValue;
  if (aCondition.version.empty()) {
    request.headers.push_back({ "If-None-Match", "*" });
  } else {
    request.headers.push_back({ "If-Match", aCondition.version });
  }
  auto response = this->Send(request, this->timeout);
  if (!Succeeded(response)) {
    if (this->requestSent) {
      return Error{ ErrorKind::OutcomeUnknown,
                    "no response to the write of '" + std::string(aKey) + "'",
                    "read the object to find out whether it was written" };
    }
    return Failure(response);
  }
  switch (Value(response).status) {
    case 200:
    case 201:
      return std::string(FindHeader(Value(response).headers, "ETag"));
    case 412:
      return Error{ ErrorKind::Conflict,
                    "object '" + std::string(aKey) +
                      "' was changed in the meantime",
                    "read it and try again" };
    default:
      return UnexpectedStatusError(Value(response));
  }
}

Result<std::optional<StoredObject>>
HttpStore::Watch(std::string_view aKey,
                 std::string_view aVersion,
                 Duration aTime)
{
  Request request = ObjectRequest("GET", aKey);
  request.target +=
    "?watch_ms=" + std::to_string(aTime / std::chrono::milliseconds(1));
  request.headers.push_back({ "If-None-Match", std::string(aVersion) });
  auto response = this->Send(request, aTime + this->timeout);
  if (!Succeeded(response)) {
    return Failure(response);
  }
  switch (Value(response).status) {
    case 200:
      return ToObject(Value(response));
    case 304:
    case 404:
      return std::nullopt;
    default:
      return UnexpectedStatusError(Value(response));
  }
}

Result<std::vector<std::string>>
HttpStore::List(std::string_view aPrefix)
{
  Request request;
  request.method = "GET";
  request.target = "/v1/keys?prefix=" + std::string(aPrefix);
  auto response = this->Send(request, this->timeout);
  if (!Succeeded(response)) {
    return Failure(response);
  }
  if (Value(response).status != 200) {
    return UnexpectedStatusError(Value(response));
  }
  std::vector<std::string> keys;
  std::istringstream lines(Value(response).body);
  for (std::string line; std::getline(lines, line);) {
    keys.push_back(line);
  }
  return keys;
}

Result<std::vector<StoredObject>>
HttpStore::ReadAll(std::string_view aPrefix)
{
  auto keys = this->List(aPrefix);
  if (!Succeeded(keys)) {
    return Failure(keys);
  }
  std::vector<StoredObject> objects;
  for (const std::string& key : Value(keys)) {
    auto object = this->Get(key);
    if (!Succeeded(object)) {
      return Failure(object);
    }
    if (Value(object)) {
      objects.push_back(std::move(*Value(object)));
    }
  }
  return objects;
}

Result<Response>
HttpStore::Send(const Request& aRequest, Duration aTimeout)
{
  ++this->calls;
  this->requestSent = false;
  if (!this->client || !this->client->Reusable()) {
    auto opened =
      HttpClient::Open(this->context, this->endpoint, kConnectTimeout);
    if (!Succeeded(opened)) {
      return UnavailableError(Failure(opened).message);
    }
    this->client = std::move(Value(opened));
  }
  this->requestSent = true;
  auto response =
    this->client->Exchange(aRequest, { kMaxObjectBytes, aTimeout });
  if (!Succeeded(response)) {
    this->client.reset();
    return UnavailableError(Failure(response).message);
  }
  return std::move(Value(response));
}

}
