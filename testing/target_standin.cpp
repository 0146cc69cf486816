/// @file
/// Stand-in for a target. It draws service times, announces its state and slots
/// to its daemon, drains, starts slowly, stalls, crashes on marked requests,
/// names a limit of requests or its leaving in its answers,
/// announces a wrong number of slots, and records the requests that it runs.
#include "baobab/core/random.hpp"
#include "baobab/net/http_client.hpp"
#include "standin.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/fiber/operations.hpp>
#include <boost/json.hpp>
#include <cmath>
#include <cstdio>
#include <gflags/gflags.h>
#include <unordered_map>

DEFINE_string(listen, "127.0.0.1:8000", "address of the target");
DEFINE_string(daemon, "127.0.0.1:7200", "admin address of the daemon");
DEFINE_string(service, "quoting", "service that the target belongs to");
DEFINE_int32(slots, 20, "number of slots to announce");
DEFINE_double(mean_ms, 5, "mean service time in ms, exponentially distributed");
DEFINE_double(noise,
              0,
              "largest factor of the varying slowdown; 1 or less: none");
DEFINE_int32(noise_ms, 5, "time in ms between changes of the varying slowdown");
DEFINE_double(slowdown, 1, "constant factor on each service time");
DEFINE_int32(cold_start_ms, 0, "time in ms before the target becomes ready");
DEFINE_uint64(seed, 1, "seed of the service times");
DEFINE_string(record, "", "file that receives one line per request run");
DEFINE_string(instance, "", "instance to announce; empty: none");
DEFINE_int32(lie_slots, 0, "slots to announce instead of --slots; 0: none");

namespace baobab {
namespace {

constexpr Duration kAnnounceInterval = 1s;
/// Start of a body, or part of a path, at which the target crashes.
constexpr std::string_view kCrashMarker = "poison";
constexpr int kCrashExitCode = 1;

/// File of the requests that the target ran, one line each: call ID, address of
/// the target, and time in milliseconds since the epoch. Nothing is written if
/// the path is empty.
class RequestRecord
{
public:
  explicit RequestRecord(const std::string& aPath)
    : file(aPath.empty() ? nullptr : std::fopen(aPath.c_str(), "ae"))
  {
  }

  /// Records a request. Called before the request has any effect.
  void RecordRequest(std::string_view aCall) { this->Write(aCall); }

  /// Records that the target starts to leave.
  void RecordLeave() { this->Write("#leave"); }

private:
  void Write(std::string_view aSubject)
  {
    if (this->file == nullptr) {
      return;
    }
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    std::fprintf(this->file,
                 "%.*s %s %lld\n",
                 static_cast<int>(aSubject.size()),
                 aSubject.data(),
                 FLAGS_listen.c_str(),
                 static_cast<long long>(now / std::chrono::milliseconds(1)));
    std::fflush(this->file);
  }

  std::FILE* file;
};

class Target
{
public:
  explicit Target(boost::asio::io_context& aContext)
    : context(aContext)
    , record(FLAGS_record)
    , random(FLAGS_seed)
  {
  }

  Response Handle(Request&& aRequest)
  {
    if (aRequest.target == "/control/leave") {
      this->state = "leaving";
      this->record.RecordLeave();
      this->Announce();
      return TextResponse(200, "leaving\n");
    }
    if (aRequest.target == "/control/stall") {
      this->stalled = aRequest.body != "off";
      return TextResponse(200, "ok\n");
    }
    if (aRequest.target == "/control/slowdown") {
      this->slowdown = std::stod(aRequest.body);
      return TextResponse(200, "ok\n");
    }
    if (aRequest.target == "/control/limit") {
      this->limit = aRequest.body == "off" ? std::string() : aRequest.body;
      return TextResponse(200, "ok\n");
    }
    if (aRequest.target == "/control/leave_in_answers") {
      this->leavingInAnswers = true;
      return TextResponse(200, "ok\n");
    }
    if (aRequest.target == "/control/load") {
      return TextResponse(200, std::to_string(this->running) + "\n");
    }
    return this->Serve(aRequest);
  }

  /// Announces the target to its daemon until the process ends.
  void AnnounceForever()
  {
    if (FLAGS_cold_start_ms > 0) {
      this->state = "starting";
      const TimePoint ready =
        std::chrono::steady_clock::now() + Millis(FLAGS_cold_start_ms);
      while (std::chrono::steady_clock::now() < ready) {
        this->Announce();
        boost::this_fiber::sleep_for(100ms);
      }
      this->state = "ready";
    }
    while (true) {
      this->Announce();
      boost::this_fiber::sleep_for(kAnnounceInterval);
    }
  }

private:
  Response Serve(const Request& aRequest)
  {
    const auto call = FindHeader(aRequest.headers, "X-Call-Id");
    this->record.RecordRequest(call.empty() ? "-" : call);
    if (aRequest.body.starts_with(kCrashMarker) ||
        aRequest.target.find(kCrashMarker) != std::string::npos) {
      std::_Exit(kCrashExitCode);
    }
    ++this->running;
    this->SleepFor(this->ServiceTime());
    while (this->stalled) {
      this->SleepFor(10ms);
    }
    --this->running;
    Response response = TextResponse(200, "");
    response.headers.push_back({ "X-Call-Id", std::string(call) });
    if (!this->limit.empty()) {
      response.headers.push_back({ "Baobab-Limit", this->limit });
    }
    if (this->leavingInAnswers) {
      response.headers.push_back({ "Baobab-Leaving", "1" });
    }
    response.body = "answer to " + std::string(call) + " " + aRequest.body;
    return response;
  }

  void SleepFor(Duration aTime)
  {
    if (aTime <= Duration::zero()) {
      return;
    }
    boost::asio::steady_timer timer(this->context, aTime);
    Await([&](auto aHandler) { timer.async_wait(aHandler); });
  }

  Duration ServiceTime()
  {
    if (FLAGS_mean_ms <= 0) {
      return Duration::zero();
    }
    const double sample = -std::log(1 - UniformFraction(this->random));
    const double factor = this->slowdown * this->NoiseFactor();
    return std::chrono::nanoseconds(
      static_cast<std::int64_t>(FLAGS_mean_ms * factor * sample * 1e6));
  }

  /// Varying slowdown, as noisy neighbours cause it: a factor of at least 1,
  /// drawn again every --noise_ms.
  double NoiseFactor()
  {
    if (FLAGS_noise <= 1) {
      return 1;
    }
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    const auto slice = static_cast<std::uint64_t>(now / Millis(FLAGS_noise_ms));
    SplitMix draw(FLAGS_seed * 1000003 + slice);
    const double fraction = UniformFraction(draw);
    return 1 + (FLAGS_noise - 1) * fraction * fraction;
  }

  void Announce()
  {
    if (!this->client || !this->client->Reusable()) {
      auto opened = HttpClient::Open(this->context, this->daemon, 1s);
      if (!Succeeded(opened)) {
        return;
      }
      this->client = std::move(Value(opened));
    }
    Request request;
    request.method = FLAGS_instance.empty() ? "POST" : "PUT";
    request.target =
      FLAGS_instance.empty() ? "/announce" : "/targets/" + FLAGS_instance;
    request.body = boost::json::serialize(boost::json::object{
      { "service", FLAGS_service },
      { "address", FLAGS_listen },
      { "slots", FLAGS_lie_slots > 0 ? FLAGS_lie_slots : FLAGS_slots },
      { "connections", 250 },
      { "state", this->state },
      { "seq", ++this->announcements },
    });
    if (!Succeeded(this->client->Exchange(request, { 4096, 1s }))) {
      this->client.reset();
    }
  }

  boost::asio::io_context& context;
  Endpoint daemon = RequireEndpoint(FLAGS_daemon);
  RequestRecord record;
  SplitMix random;
  std::unique_ptr<HttpClient> client;
  std::string state = "ready";
  std::int64_t announcements = 0;
  bool stalled = false;
  /// Requests per second that the answers name; empty: none.
  std::string limit;
  bool leavingInAnswers = false;
  double slowdown = FLAGS_slowdown;
  int running = 0;
};

void
Run()
{
  constexpr std::size_t kMaxBodyBytes = 64U << 20U;
  Worker worker;
  Target target(worker.Context());
  RunStandIn(
    worker,
    RequireEndpoint(FLAGS_listen),
    kMaxBodyBytes,
    [&](Request&& aRequest) { return target.Handle(std::move(aRequest)); },
    [&] { Spawn([&] { target.AnnounceForever(); }); });
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
