/// @file
/// Stand-in for the platform's object store: versions as ETags, conditional
/// writes, long-poll watches, and faults on demand.
#include "standin.hpp"

#include <boost/fiber/operations.hpp>
#include <boost/json.hpp>
#include <gflags/gflags.h>
#include <map>

DEFINE_string(listen, "127.0.0.1:7000", "address of the store");

namespace baobab {
namespace {

constexpr std::size_t kLargestValue = 1U << 20U;
constexpr std::string_view kObjects = "/v1/objects/";

/// Faults that tests switch on by POST /faults.
struct Faults
{
  bool outage = false;
  std::int64_t delayMs = 0;
  /// Writes that take effect but whose answers are lost.
  std::int64_t loseAnswers = 0;
};

struct Object
{
  std::string value;
  std::uint64_t version = 0;
};

/// Calls by kind, as the platform counts them.
struct Calls
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
  Response Answer(Request&& aRequest)
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
      ++this->calls.refused;
      return TextResponse(503, "outage\n");
    }
    if (aRequest.target.starts_with("/v1/keys?prefix=")) {
      return this->List(aRequest.target.substr(16));
    }
    if (!aRequest.target.starts_with(kObjects)) {
      return TextResponse(404, "no such path\n");
    }
    return aRequest.method == "PUT" ? this->Put(aRequest) : this->Get(aRequest);
  }

private:
  static std::string Tag(std::uint64_t aVersion)
  {
    return "\"" + std::to_string(aVersion) + "\"";
  }

  static Response WithObject(unsigned aStatus, const Object& aObject)
  {
    Response response = TextResponse(aStatus, aObject.value);
    response.headers.push_back({ "ETag", Tag(aObject.version) });
    return response;
  }

  Response Get(const Request& aRequest)
  {
    std::string key = aRequest.target.substr(kObjects.size());
    const auto query = key.find("?watch_ms=");
    if (query == std::string::npos) {
      ++this->calls.get;
      const auto found = this->objects.find(key);
      return found == this->objects.end() ? TextResponse(404, "")
                                          : WithObject(200, found->second);
    }
    const Millis time(std::stoll(key.substr(query + 10)));
    key.resize(query);
    ++this->calls.watch;
    return this->Watch(
      key, std::string(FindHeader(aRequest.headers, "If-None-Match")), time);
  }

  Response Watch(const std::string& aKey,
                 const std::string& aVersion,
                 Duration aTime)
  {
    const TimePoint end = std::chrono::steady_clock::now() + aTime;
    while (true) {
      if (this->faults.outage) {
        return TextResponse(503, "outage\n");
      }
      const auto found = this->objects.find(aKey);
      if (found != this->objects.end() &&
          Tag(found->second.version) != aVersion) {
        return WithObject(200, found->second);
      }
      const TimePoint now = std::chrono::steady_clock::now();
      if (now >= end) {
        return { 304, {}, "" };
      }
      boost::this_fiber::sleep_for(std::min<Duration>(Millis(5), end - now));
    }
  }

  Response Put(const Request& aRequest)
  {
    ++this->calls.put;
    if (aRequest.body.size() > kLargestValue) {
      return TextResponse(413, "larger than a megabyte\n");
    }
    const std::string key = aRequest.target.substr(kObjects.size());
    const auto found = this->objects.find(key);
    const auto match = FindHeader(aRequest.headers, "If-Match");
    const auto noneMatch = FindHeader(aRequest.headers, "If-None-Match");
    const bool exists = found != this->objects.end();
    const bool allowed =
      (noneMatch != "*" || !exists) &&
      (match.empty() || (exists && Tag(found->second.version) == match));
    if (!allowed) {
      return TextResponse(412, "condition failed\n");
    }
    Object& object = this->objects[key];
    object = { aRequest.body, ++this->revision };
    if (this->faults.loseAnswers > 0) {
      --this->faults.loseAnswers;
      boost::this_fiber::sleep_for(std::chrono::hours(1));
    }
    Response response = WithObject(exists ? 200 : 201, object);
    response.body.clear();
    return response;
  }

  Response List(const std::string& aPrefix)
  {
    ++this->calls.list;
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
      return TextResponse(400, "send a JSON object\n");
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
      { "get", this->calls.get },         { "put", this->calls.put },
      { "list", this->calls.list },       { "watch", this->calls.watch },
      { "refused", this->calls.refused },
    };
    return TextResponse(200, boost::json::serialize(stats), "application/json");
  }

  std::map<std::string, Object, std::less<>> objects;
  std::uint64_t revision = 0;
  Faults faults;
  Calls calls;
};

void
Run()
{
  Worker worker;
  Store store;
  RunStandIn(
    worker,
    RequireEndpoint(FLAGS_listen),
    2 * kLargestValue,
    [&](Request&& aRequest) { return store.Answer(std::move(aRequest)); },
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
