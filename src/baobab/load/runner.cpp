#include "baobab/load/runner.hpp"

#include "baobab/core/random.hpp"
#include "baobab/net/clock.hpp"
#include "baobab/net/http_client.hpp"
#include "baobab/net/http_server.hpp"
#include "baobab/net/worker.hpp"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <cmath>
#include <map>
#include <numeric>
#include <thread>

namespace baobab {
namespace {

constexpr std::size_t kMaxResponseBytes = 16U << 20U;
constexpr Duration kProgressPeriod = 500ms;

/// A call with its planned arrival and random choices.
struct PlannedCall
{
  std::uint64_t number = 0;
  /// Planned arrival, counted from the start of the experiment.
  Duration at = Duration::zero();
  bool idempotent = true;
  /// Index into the experiment's services.
  std::size_t destination = 0;
  /// Index into the experiment's addresses.
  std::size_t address = 0;
};

std::vector<PlannedCall>
PlanCalls(const Experiment& aExperiment,
          const std::vector<WeightedDestination>& aDestinations)
{
  SplitMix random(static_cast<std::uint64_t>(aExperiment.seed));
  const double totalWeight =
    std::accumulate(aDestinations.begin(),
                    aDestinations.end(),
                    0.0,
                    [](double aSum, const auto& aDestination) {
                      return aSum + aDestination.weight;
                    });
  std::vector<PlannedCall> plan;
  double at = 0;
  while (true) {
    at += -std::log(1 - UniformFraction(random)) / aExperiment.rate;
    if (at >= aExperiment.seconds) {
      return plan;
    }
    PlannedCall call;
    call.number = plan.size() + 1;
    call.at = std::chrono::nanoseconds(static_cast<std::int64_t>(at * 1e9));
    call.idempotent = UniformFraction(random) >= aExperiment.postFraction;
    double pick = UniformFraction(random) * totalWeight;
    while (call.destination + 1 < aDestinations.size() &&
           pick >= aDestinations[call.destination].weight) {
      pick -= aDestinations[call.destination++].weight;
    }
    call.address = UniformBelow(random, aExperiment.addresses.size());
    plan.push_back(call);
  }
}

/// Makes the calls of one thread.
class Caller
{
public:
  Caller(const Experiment& aExperiment,
         const std::vector<WeightedDestination>& aDestinations)
    : experiment(aExperiment)
    , destinations(aDestinations)
    , pools(aExperiment.addresses.size())
  {
    std::ranges::transform(
      aExperiment.addresses,
      std::back_inserter(this->endpoints),
      [](const std::string& aText) { return Value(ParseEndpoint(aText)); });
  }

  void Run(const std::vector<PlannedCall>& aPlan, TimePoint aStart)
  {
    this->start = aStart;
    this->worker.RunHere([&] {
      for (const PlannedCall& call : aPlan) {
        this->WaitUntil(aStart + call.at);
        ++this->activeCalls;
        Spawn([this, call] {
          this->results.push_back(this->Call(call));
          this->endedCalls = this->results.size();
          --this->activeCalls;
        });
      }
      while (this->activeCalls > 0) {
        this->WaitUntil(Now() + 5ms);
      }
      this->worker.Stop();
    });
  }

  std::vector<CallResult> results;
  std::atomic<std::size_t> endedCalls{ 0 };

private:
  void WaitUntil(TimePoint aTime)
  {
    boost::asio::steady_timer timer(this->worker.Context(), aTime);
    Await([&](auto aHandler) { timer.async_wait(aHandler); });
  }

  CallResult Call(const PlannedCall& aCall)
  {
    CallResult result{ aCall.number,
                       ReportedOutcome::Unknown,
                       aCall.idempotent };
    const TimePoint planned = this->start + aCall.at;
    result.lag = Now() - planned;
    const Request request = this->BuildRequest(aCall);
    auto client = this->AcquireClient(aCall.address);
    if (!client) {
      result.outcome = ReportedOutcome::NotRun;
    } else {
      auto response = client->Exchange(
        request, { kMaxResponseBytes, this->experiment.timeout });
      result.outcome = OutcomeOf(request, response);
      if (Succeeded(response) && client->Reusable()) {
        this->pools[aCall.address].push_back(std::move(client));
      }
    }
    result.latency = Now() - planned;
    return result;
  }

  Request BuildRequest(const PlannedCall& aCall) const
  {
    const WeightedDestination& destination =
      this->destinations[aCall.destination];
    Request request;
    request.method = aCall.idempotent ? "GET" : "POST";
    request.target = destination.path;
    request.headers = {
      { "Host", destination.host },
      { "X-Call-Id",
        CallIdPrefix(this->experiment) + std::to_string(aCall.number) },
    };
    if (!aCall.idempotent) {
      request.body.assign(static_cast<std::size_t>(this->experiment.bodyBytes),
                          'b');
    }
    return request;
  }

  /// Returns an idle connection to an address, or opens one. Returns null if it
  /// cannot be opened.
  std::unique_ptr<HttpClient> AcquireClient(std::size_t aAddress)
  {
    auto& pool = this->pools[aAddress];
    while (!pool.empty()) {
      auto client = std::move(pool.back());
      pool.pop_back();
      if (client->Reusable()) {
        return client;
      }
    }
    auto opened = HttpClient::Open(this->worker.Context(),
                                   this->endpoints[aAddress],
                                   this->experiment.timeout);
    return Succeeded(opened) ? std::move(Value(opened)) : nullptr;
  }

  static ReportedOutcome OutcomeOf(const Request& aRequest,
                                   const Result<Response>& aResponse)
  {
    if (!Succeeded(aResponse)) {
      return Failure(aResponse).kind == ErrorKind::BadMessage
               ? ReportedOutcome::Wrong
               : ReportedOutcome::Unknown;
    }
    const Response& response = Value(aResponse);
    const auto outcome = FindHeader(response.headers, "Baobab-Outcome");
    if (outcome == "not-run") {
      return ReportedOutcome::NotRun;
    }
    if (outcome == "unknown") {
      return ReportedOutcome::Unknown;
    }
    const std::string call(FindHeader(aRequest.headers, "X-Call-Id"));
    const bool bodyMatches =
      response.body == "answer to " + call + " " + aRequest.body;
    constexpr unsigned kOk = 200;
    return response.status == kOk && bodyMatches ? ReportedOutcome::Answered
                                                 : ReportedOutcome::Wrong;
  }

  const Experiment& experiment;
  const std::vector<WeightedDestination>& destinations;
  Worker worker;
  TimePoint start;
  std::vector<Endpoint> endpoints;
  std::vector<std::vector<std::unique_ptr<HttpClient>>> pools;
  std::size_t activeCalls = 0;
};

}

std::string
CallIdPrefix(const Experiment& aExperiment)
{
  return "e" + std::to_string(aExperiment.seed) + "-";
}

std::vector<CallResult>
RunExperiment(const Experiment& aExperiment,
              const std::function<void(std::size_t)>& aProgress)
{
  std::vector<WeightedDestination> destinations;
  std::ranges::transform(
    aExperiment.services, std::back_inserter(destinations), ParseDestination);
  const auto plan = PlanCalls(aExperiment, destinations);
  const auto workerCount = static_cast<std::size_t>(aExperiment.workers);
  std::vector<std::vector<PlannedCall>> callsByWorker(workerCount);
  for (const PlannedCall& call : plan) {
    callsByWorker[call.number % workerCount].push_back(call);
  }
  std::vector<std::unique_ptr<Caller>> callers;
  std::vector<std::thread> threads;
  std::atomic<std::size_t> running{ workerCount };
  const TimePoint start = Now() + 50ms;
  for (std::size_t i = 0; i < workerCount; ++i) {
    callers.push_back(std::make_unique<Caller>(aExperiment, destinations));
    threads.emplace_back([&, i] {
      callers[i]->Run(callsByWorker[i], start);
      --running;
    });
  }
  while (running > 0) {
    std::this_thread::sleep_for(kProgressPeriod / 10);
    std::size_t endedCalls = 0;
    for (const auto& caller : callers) {
      endedCalls += caller->endedCalls;
    }
    aProgress(endedCalls);
  }
  std::vector<CallResult> results;
  for (std::size_t i = 0; i < workerCount; ++i) {
    threads[i].join();
    std::ranges::copy(callers[i]->results, std::back_inserter(results));
  }
  return results;
}

}
