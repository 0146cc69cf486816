#include "baobab/node/ingress_pool.hpp"

#include "baobab/core/random.hpp"
#include "baobab/net/clock.hpp"
#include "baobab/net/worker.hpp"
#include "baobab/node/caller_limit.hpp"
#include "baobab/node/ingress.hpp"
#include "baobab/node/metrics.hpp"

#include <algorithm>
#include <boost/fiber/future.hpp>
#include <optional>

namespace baobab {

/// A thread that answers callers, with its listening socket.
struct IngressWorker
{
  explicit IngressWorker(std::size_t aMaxConnections)
    : serverState(aMaxConnections)
  {
  }

  HttpServerState serverState;
  std::unique_ptr<Ingress> ingress;
  HttpHandler handler;
  std::optional<Tcp::acceptor> acceptor;
  /// Last member, so that the thread ends before what it uses is destroyed.
  Worker thread;
};

namespace {

HttpLimits
LimitsOf(const Settings& aSettings)
{
  return { static_cast<std::size_t>(aSettings.headerBytes),
           aSettings.timeouts.callerHeader,
           aSettings.timeouts.callerBody,
           aSettings.timeouts.callerIdle };
}

/// Calls a function on a worker's thread, and suspends the calling fiber until
/// the result is available.
template<class F>
auto
RunOnWorker(IngressWorker& aWorker, F aFunction)
{
  using R = decltype(aFunction(aWorker));
  auto promise = std::make_shared<boost::fibers::promise<R>>();
  auto future = promise->get_future();
  aWorker.thread.Post(
    [promise, aFunction, &aWorker] { promise->set_value(aFunction(aWorker)); });
  return future.get();
}

/// Returns the sum of a count over all workers.
template<class Workers, class F>
auto
SumOver(const Workers& aWorkers, F aCount)
{
  decltype(aCount(*aWorkers.front())) sum{};
  for (const auto& worker : aWorkers) {
    sum += RunOnWorker(*worker, aCount);
  }
  return sum;
}

}

IngressPool::IngressPool(const RcuCell<RouteTable>& aRoutes,
                         QuotaGate& aQuotas,
                         const LeaseCell& aLease,
                         const Settings& aSettings)
  : routes(aRoutes)
  , quotas(aQuotas)
  , lease(aLease)
  , settings(aSettings)
  , limits(LimitsOf(aSettings))
{
}

IngressPool::~IngressPool() = default;

Result<Done>
IngressPool::Open()
{
  this->maxConnections = MaxCallerConnections(this->settings);
  const auto connectionsPerWorker = static_cast<std::size_t>(
    std::max<std::int64_t>(1, this->maxConnections / this->settings.workers));
  for (std::int64_t i = 0; i < this->settings.workers; ++i) {
    auto worker = std::make_unique<IngressWorker>(connectionsPerWorker);
    auto socket = Listen(worker->thread.Context(), this->settings.callers);
    if (!Succeeded(socket)) {
      return Failure(socket);
    }
    worker->acceptor.emplace(std::move(Value(socket)));
    this->workers.push_back(std::move(worker));
  }
  return Done{};
}

void
IngressPool::Start()
{
  for (const auto& worker : this->workers) {
    worker->thread.Start([this, &worker = *worker] { this->Serve(worker); });
  }
}

void
IngressPool::Serve(IngressWorker& aWorker)
{
  // The thread is registered as a reader of the route table until it ends, for
  // all of its fibers.
  static thread_local const RcuThreadRegistration reader;
  aWorker.ingress =
    std::make_unique<Ingress>(aWorker.thread.Context(),
                              this->routes,
                              this->quotas,
                              this->lease,
                              LinkIdentity{ EntropySeed(),
                                            this->settings.locality.region,
                                            this->settings.peers.address },
                              this->settings);
  aWorker.handler = aWorker.ingress->Handler();
  ServeHttp(
    *aWorker.acceptor, this->limits, aWorker.handler, aWorker.serverState);
}

WorkerStats
IngressPool::Stats()
{
  WorkerStats stats;
  for (const auto& worker : this->workers) {
    MergeStats(stats, RunOnWorker(*worker, [](const IngressWorker& aWorker) {
                 return aWorker.ingress ? aWorker.ingress->Stats()
                                        : WorkerStats();
               }));
  }
  return stats;
}

std::map<std::string, std::uint64_t>
IngressPool::KeyRefusals()
{
  std::map<std::string, std::uint64_t> sum;
  for (const auto& worker : this->workers) {
    const auto reasons = RunOnWorker(*worker, [](const IngressWorker& aWorker) {
      return aWorker.ingress ? aWorker.ingress->KeyRefusals().Reasons()
                             : DropCounter::ByReason();
    });
    for (const auto& [reason, drops] : reasons) {
      sum[reason] += drops.total;
    }
  }
  return sum;
}

bool
IngressPool::RespondsWithin(Duration aTime)
{
  const TimePoint end = Now() + aTime;
  return std::ranges::all_of(this->workers, [&](const auto& aWorker) {
    return aWorker->thread.RespondsWithin(
      std::max(end - Now(), Duration::zero()));
  });
}

std::size_t
IngressPool::ActiveRequests()
{
  return SumOver(this->workers, [](const IngressWorker& aWorker) {
    return aWorker.serverState.ActiveRequests();
  });
}

CallerConnectionCounts
IngressPool::Connections()
{
  CallerConnectionCounts sum;
  sum.bound = this->maxConnections;
  for (const auto& worker : this->workers) {
    const auto counts = RunOnWorker(*worker, [](const IngressWorker& aWorker) {
      const HttpServerState& state = aWorker.serverState;
      return CallerConnectionCounts{ 0,
                                     state.OpenConnections(),
                                     state.acceptedConnections,
                                     state.gaveWay,
                                     state.refusedConnections };
    });
    sum.open += counts.open;
    sum.accepted += counts.accepted;
    sum.gaveWay += counts.gaveWay;
    sum.refused += counts.refused;
  }
  return sum;
}

void
IngressPool::StopAccepting()
{
  for (const auto& worker : this->workers) {
    RunOnWorker(*worker, [](IngressWorker& aWorker) {
      aWorker.acceptor->close();
      aWorker.serverState.StopKeepAlive();
      return true;
    });
  }
}

void
IngressPool::WithdrawWaiting()
{
  for (const auto& worker : this->workers) {
    RunOnWorker(*worker, [](IngressWorker& aWorker) {
      if (aWorker.ingress) {
        aWorker.ingress->WithdrawWaiting();
      }
      return true;
    });
  }
}

}
