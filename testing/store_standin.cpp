/// @file
/// Stand-in for the platform's object store: versions as ETags, conditional
/// writes, watches by long polling, and faults on request.
#include "standin.hpp"

#include <boost/fiber/operations.hpp>
#include <boost/json.hpp>
#include <gflags/gflags.h>
#include <map>

DEFINE_string(listen, "127.0.0.1:7000", "address of the store");

namespace baobab {
namespace {

constexpr std::size_t kMaxValueBytes = 1U << 20U;
constexpr std::string_view kObjectsPath = "/v1/objects/";

/// Active faults, set by POST /faults. JSON members that are absent keep their
/// values.
struct Faults
{
  bool outage = false;
  std::int64_t delayMs = 0;
  /// Number of further writes that take effect but are not answered.
  std::int64_t loseAnswers = 0;
};

struct Object
{
  std::string value;
  std::uint64_t version = 0;
};

/// Requests by kind, reported by GET /stats.
struct RequestCounts
{
  std::uint64_t get = 0;
  std::uint64_t put = 0;
  std::uint64_t list = 0;
  std::uint64_t watch = 0;
  std::uint64_t refused = 0;
};

class Store
{
public:
  Response Handle(Request&& aRequest)
  {
    if (aRequest.target == "/faults") {
      return this->SetFaults(aRequest.body);
    }
    if (aRequest.target == "/stats") {
      return this->Stats();
    }
    if (this->faults.delayMs > 0) {
      boost::this_fiber::sleep_for(Millis(this->faults.delayMs));
    }
    if (this->faults.outage) {
      ++this->requestCounts.refused;
      return TextResponse(503, "outage\n");
    }
    if (aRequest.target.starts_with("/v1/keys?prefix=")) {
      return this->List(aRequest.target.substr(16));
    }
    if (!aRequest.target.starts_with(kObjectsPath)) {
      return TextResponse(404, "unknown path\n");
    }
    return aRequest.method == "PUT" ? this->Put(aRequest) : this->Get(aRequest);
  }

private:
  static std::string EntityTag(std::uint64_t aVersion)
  {
    return "\"" + std::to_string(aVersion) + "\"";
  }

  static Response ObjectResponse(unsigned aStatus, const Object& aObject)
  {
    Response response = TextResponse(aStatus, aObject.value);
    response.headers.push_back({ "ETag", EntityTag(aObject.version) });
    return response;
  }

  Response Get(const Request& aRequest)
  {
    std::string key = aRequest.target.substr(kObjectsPath.size());
    const auto query = key.find("?watch_ms=");
    if (query == std::string::npos) {
      ++this->requestCounts.get;
      const auto found = this->objects.find(key);
      return found == this->objects.end() ? TextResponse(404, "")
                                          : ObjectResponse(200, found->second);
    }
    const Millis timeout(std::stoll(key.substr(query + 10)));
    key.resize(query);
    ++this->requestCounts.watch;
    return this->Watch(
      key, std::string(FindHeader(aRequest.headers, "If-None-Match")), timeout);
  }

  Response Watch(const std::string& aKey,
                 const std::string& aVersion,
                 Duration aTimeout)
  {
    const TimePoint deadline = std::chrono::steady_clock::now() + aTimeout;
    while (true) {
      if (this->faults.outage) {
        return TextResponse(503, "outage\n");
      }
      const auto found = this->objects.find(aKey);
      if (found != this->objects.end() &&
          EntityTag(found->second.version) != aVersion) {
        return ObjectResponse(200, found->second);
      }
      const TimePoint now = std::chrono::steady_clock::now();
      if (now >= deadline) {
        return { 304, {}, "" };
      }
      boost::this_fiber::sleep_for(
        std::min<Duration>(Millis(5), deadline - now));
    }
  }

  Response Put(const Request& aRequest)
  {
    ++this->requestCounts.put;
    if (aRequest.body.size() > kMaxValueBytes) {
      return TextResponse(413, "the value is larger than 1 MiB\n");
    }
    const std::string key = aRequest.target.substr(kObjectsPath.size());
    const auto found = this->objects.find(key);
    const auto match = FindHeader(aRequest.headers, "If-Match");
    const auto noneMatch = FindHeader(aRequest.headers, "If-None-Match");
    const bool exists = found != this->objects.end();
    const bool allowed =
      (noneMatch != "*" || !exists) &&
      (match.empty() || (exists && EntityTag(found->second.version) == match));
    if (!allowed) {
      return TextResponse(412, "precondition failed\n");
    }
    Object& object = this->objects[key];
    object = { aRequest.body, ++this->revision };
    if (this->faults.loseAnswers > 0) {
      --this->faults.loseAnswers;
      boost::this_fiber::sleep_for(std::chrono::hours(1));
    }
    Response response = ObjectResponse(exists ? 200 : 201, object);
    response.body.clear();
    return response;
  }

  Response List(const std::string& aPrefix)
  {
    ++this->requestCounts.list;
    std::string keys;
    for (auto item = this->objects.lower_bound(aPrefix);
         item != this->objects.end() && item->first.starts_with(aPrefix);
         ++item) {
      keys += item->first + "\n";
    }
    return TextResponse(200, keys);
  }

  Response SetFaults(const std::string& aBody)
  {
    boost::system::error_code error;
    const auto parsed = boost::json::parse(aBody, error);
    if (error || !parsed.is_object()) {
      return TextResponse(400, "the request body must be a JSON object\n");
    }
    const auto& object = parsed.as_object();
    if (const auto* value = object.if_contains("outage")) {
      this->faults.outage = value->as_bool();
    }
    if (const auto* value = object.if_contains("delay_ms")) {
      this->faults.delayMs = value->as_int64();
    }
    if (const auto* value = object.if_contains("lose_answers")) {
      this->faults.loseAnswers = value->as_int64();
    }
    return TextResponse(200, "ok\n");
  }

  Response Stats() const
  {
    const boost::json::object stats{
      { "get", this->requestCounts.get },
      { "put", this->requestCounts.put },
      { "list", this->requestCounts.list },
      { "watch", this->requestCounts.watch },
      { "refused", this->requestCounts.refused },
    };
    return TextResponse(200, boost::json::serialize(stats), "application/json");
  }

  std::map<std::string, Object, std::less<>> objects;
  std::uint64_t revision = 0;
  Faults faults;
  RequestCounts requestCounts;
};

void
Run()
{
  Worker worker;
  Store store;
  RunStandIn(
    worker,
    RequireEndpoint(FLAGS_listen),
    2 * kMaxValueBytes,
    [&](Request&& aRequest) { return store.Handle(std::move(aRequest)); },
    [] {});
}

}
}

int
main(int aCount, char** aArguments)
{
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  baobab::Run();
  std::_Exit(0);
}
