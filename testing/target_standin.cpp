/// @file
/// Stand-in for a target: slots, service times, drain, cold start, crash on a
/// marked request, lying load, and a record of what it ran.
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
DEFINE_string(daemon, "127.0.0.1:7200", "admin address of its daemon");
DEFINE_string(service, "quoting", "service of the target");
DEFINE_int32(slots, 20, "requests that run at once");
DEFINE_double(mean_ms, 5, "mean service time, exponentially distributed");
DEFINE_double(noise, 0, "highest factor by which neighbours slow it down");
DEFINE_int32(noise_ms, 5, "time between changes of the noise");
DEFINE_double(slowdown, 1, "constant factor of a straggler");
DEFINE_int32(cold_start_ms, 0, "time spent starting");
DEFINE_uint64(seed, 1, "seed of the service times");
DEFINE_string(record, "", "file that receives a line for each request run");
DEFINE_int32(lie_slots, 0, "slots announced instead of the true ones");

namespace baobab {
namespace {

constexpr Duration kAnnouncePause = 1s;
constexpr std::string_view kPoison = "poison";

/// One line of the record of what ran.
class Record
{
public:
  explicit Record(const std::string& aPath)
    : file(aPath.empty() ? nullptr : std::fopen(aPath.c_str(), "ae"))
  {
  }

  /// Writes a line before the request has any effect.
  void Ran(std::string_view aCall) { this->Write(aCall); }

  /// Marks the start of leaving.
  void Leaves() { this->Write("#leave"); }

private:
  void Write(std::string_view aWhat)
  {
    if (this->file == nullptr) {
      return;
    }
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    std::fprintf(this->file,
                 "%.*s %s %lld\n",
                 static_cast<int>(aWhat.size()),
                 aWhat.data(),
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

  Response Answer(Request&& aRequest)
  {
    if (aRequest.target == "/control/leave") {
      this->state = "leaving";
      this->record.Leaves();
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
    if (aRequest.target == "/control/load") {
      return TextResponse(200, std::to_string(this->running) + "\n");
    }
    return this->Serve(aRequest);
  }

  /// Tells the daemon about this target until the process ends.
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
      boost::this_fiber::sleep_for(kAnnouncePause);
    }
  }

private:
  Response Serve(const Request& aRequest)
  {
    const auto call = FindHeader(aRequest.headers, "X-Call-Id");
    this->record.Ran(call.empty() ? "-" : call);
    if (aRequest.body.starts_with(kPoison)) {
      std::_Exit(1);
    }
    ++this->running;
    this->Sleep(this->ServiceTime());
    while (this->stalled) {
      this->Sleep(10ms);
    }
    --this->running;
    Response response = TextResponse(200, "");
    response.headers.push_back({ "X-Call-Id", std::string(call) });
    response.body = "answer to " + std::string(call) + " " + aRequest.body;
    return response;
  }

  void Sleep(Duration aTime)
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
    const double factor = this->slowdown * this->Noise();
    return std::chrono::nanoseconds(
      static_cast<std::int64_t>(FLAGS_mean_ms * factor * sample * 1e6));
  }

  /// Slowdown by neighbours, redrawn every few milliseconds.
  double Noise()
  {
    if (FLAGS_noise <= 1) {
      return 1;
    }
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    const auto slice = static_cast<std::uint64_t>(now / Millis(FLAGS_noise_ms));
    SplitMix draw(FLAGS_seed * 1000003 + slice);
    const double share = UniformFraction(draw);
    return 1 + (FLAGS_noise - 1) * share * share;
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
    request.method = "POST";
    request.target = "/announce";
    request.body = boost::json::serialize(boost::json::object{
      { "service", FLAGS_service },
      { "address", FLAGS_listen },
      { "slots", FLAGS_lie_slots > 0 ? FLAGS_lie_slots : FLAGS_slots },
      { "connections", 250 },
      { "state", this->state },
    });
    if (!Succeeded(this->client->Exchange(request, { 4096, 1s }))) {
      this->client.reset();
    }
  }

  boost::asio::io_context& context;
  Endpoint daemon = RequireEndpoint(FLAGS_daemon);
  Record record;
  SplitMix random;
  std::unique_ptr<HttpClient> client;
  std::string state = "ready";
  bool stalled = false;
  double slowdown = FLAGS_slowdown;
  int running = 0;
};

void
Run()
{
  constexpr std::size_t kBodyBytes = 64U << 20U;
  Worker worker;
  Target target(worker.Context());
  RunStandIn(
    worker,
    RequireEndpoint(FLAGS_listen),
    kBodyBytes,
    [&](Request&& aRequest) { return target.Answer(std::move(aRequest)); },
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
