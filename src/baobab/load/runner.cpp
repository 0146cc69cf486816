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

constexpr std::size_t kAnswerBytes = 16U << 20U;
constexpr Duration kProgressPause = 500ms;

/// One call before it is made.
struct Arrival
{
  std::uint64_t number = 0;
  Duration at = Duration::zero();
  bool idempotent = true;
  std::size_t service = 0;
  std::size_t address = 0;
};

std::vector<Arrival>
PlanArrivals(const Experiment& aExperiment,
             const std::vector<ServiceShare>& aShares)
{
  SplitMix random(static_cast<std::uint64_t>(aExperiment.seed));
  const double weights = std::accumulate(
    aShares.begin(), aShares.end(), 0.0, [](double aSum, const auto& aShare) {
      return aSum + aShare.weight;
    });
  std::vector<Arrival> plan;
  double at = 0;
  while (true) {
    at += -std::log(1 - Fraction(random)) / aExperiment.rate;
    if (at >= aExperiment.seconds) {
      return plan;
    }
    Arrival arrival;
    arrival.number = plan.size() + 1;
    arrival.at = std::chrono::nanoseconds(static_cast<std::int64_t>(at * 1e9));
    arrival.idempotent = Fraction(random) >= aExperiment.postFraction;
    double pick = Fraction(random) * weights;
    while (arrival.service + 1 < aShares.size() &&
           pick >= aShares[arrival.service].weight) {
      pick -= aShares[arrival.service++].weight;
    }
    arrival.address = Below(random, aExperiment.addresses.size());
    plan.push_back(arrival);
  }
}

/// Makes the calls of one thread.
class Caller
{
public:
  Caller(const Experiment& aExperiment,
         const std::vector<ServiceShare>& aShares)
    : experiment(aExperiment)
    , shares(aShares)
    , pools(aExperiment.addresses.size())
  {
    std::ranges::transform(
      aExperiment.addresses,
      std::back_inserter(this->endpoints),
      [](const std::string& aText) { return Value(ParseEndpoint(aText)); });
  }

  void Run(const std::vector<Arrival>& aPlan, TimePoint aStart)
  {
    this->start = aStart;
    this->worker.RunHere([&] {
      for (const Arrival& arrival : aPlan) {
        this->WaitUntil(aStart + arrival.at);
        ++this->open;
        Spawn([this, arrival] {
          this->results.push_back(this->Call(arrival));
          this->ended = this->results.size();
          --this->open;
        });
      }
      while (this->open > 0) {
        this->WaitUntil(Now() + 5ms);
      }
      this->worker.Stop();
    });
  }

  std::vector<CallResult> results;
  std::atomic<std::size_t> ended{ 0 };

private:
  void WaitUntil(TimePoint aTime)
  {
    boost::asio::steady_timer timer(this->worker.Context(), aTime);
    Await([&](auto aHandler) { timer.async_wait(aHandler); });
  }

  CallResult Call(const Arrival& aArrival)
  {
    CallResult result{ aArrival.number,
                       ReportedOutcome::Unknown,
                       aArrival.idempotent };
    const TimePoint intended = this->start + aArrival.at;
    result.lag = Now() - intended;
    const Request request = this->RequestFor(aArrival);
    auto client = this->Client(aArrival.address);
    if (!client) {
      result.outcome = ReportedOutcome::NotRun;
    } else {
      auto response =
        client->Exchange(request, { kAnswerBytes, this->experiment.timeout });
      result.outcome = View(request, response);
      if (Succeeded(response) && client->Reusable()) {
        this->pools[aArrival.address].push_back(std::move(client));
      }
    }
    result.latency = Now() - intended;
    return result;
  }

  Request RequestFor(const Arrival& aArrival) const
  {
    const ServiceShare& share = this->shares[aArrival.service];
    Request request;
    request.method = aArrival.idempotent ? "GET" : "POST";
    request.target = share.path;
    request.headers = {
      { "Host", share.host },
      { "X-Call-Id",
        CallIdPrefix(this->experiment) + std::to_string(aArrival.number) },
    };
    if (!aArrival.idempotent) {
      request.body.assign(static_cast<std::size_t>(this->experiment.bodyBytes),
                          'b');
    }
    return request;
  }

  std::unique_ptr<HttpClient> Client(std::size_t aAddress)
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

  static ReportedOutcome View(const Request& aRequest,
                              const Result<Response>& aResponse)
  {
    if (!Succeeded(aResponse)) {
      return ReportedOutcome::Unknown;
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
    const bool whole =
      response.body == "answer to " + call + " " + aRequest.body;
    constexpr unsigned kOk = 200;
    return response.status == kOk && whole ? ReportedOutcome::Answered
                                           : ReportedOutcome::Wrong;
  }

  const Experiment& experiment;
  const std::vector<ServiceShare>& shares;
  Worker worker;
  TimePoint start;
  std::vector<Endpoint> endpoints;
  std::vector<std::vector<std::unique_ptr<HttpClient>>> pools;
  std::size_t open = 0;
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
  std::vector<ServiceShare> shares;
  std::ranges::transform(
    aExperiment.services, std::back_inserter(shares), ParseShare);
  const auto plan = PlanArrivals(aExperiment, shares);
  const auto count = static_cast<std::size_t>(aExperiment.workers);
  std::vector<std::vector<Arrival>> parts(count);
  for (const Arrival& arrival : plan) {
    parts[arrival.number % count].push_back(arrival);
  }
  std::vector<std::unique_ptr<Caller>> callers;
  std::vector<std::thread> threads;
  std::atomic<std::size_t> running{ count };
  const TimePoint start = Now() + 50ms;
  for (std::size_t i = 0; i < count; ++i) {
    callers.push_back(std::make_unique<Caller>(aExperiment, shares));
    threads.emplace_back([&, i] {
      callers[i]->Run(parts[i], start);
      --running;
    });
  }
  while (running > 0) {
    std::this_thread::sleep_for(kProgressPause / 10);
    std::size_t ended = 0;
    for (const auto& caller : callers) {
      ended += caller->ended;
    }
    aProgress(ended);
  }
  std::vector<CallResult> results;
  for (std::size_t i = 0; i < count; ++i) {
    threads[i].join();
    std::ranges::copy(callers[i]->results, std::back_inserter(results));
  }
  return results;
}

}
