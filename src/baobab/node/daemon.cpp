#include "baobab/node/daemon.hpp"

#include "baobab/net/clock.hpp"
#include "baobab/net/log.hpp"
#include "baobab/net/log_events.hpp"
#include "baobab/net/manifest_source.hpp"
#include "baobab/net/process_signals.hpp"
#include "baobab/net/worker.hpp"
#include "baobab/node/admin.hpp"
#include "baobab/node/call_server.hpp"
#include "baobab/node/config_agent.hpp"
#include "baobab/node/daemon_metrics.hpp"
#include "baobab/node/evacuation_agent.hpp"
#include "baobab/node/gossip_agent.hpp"
#include "baobab/node/ingress_pool.hpp"
#include "baobab/node/key_lease_agent.hpp"
#include "baobab/node/memory_limit.hpp"
#include "baobab/node/metrics.hpp"
#include "baobab/node/peer_server.hpp"
#include "baobab/node/quarantine_agent.hpp"
#include "baobab/node/quota_agent.hpp"
#include "baobab/node/route_publisher.hpp"
#include "baobab/node/status_agent.hpp"

#include <boost/asio/signal_set.hpp>
#include <boost/fiber/operations.hpp>
#include <chrono>

namespace baobab {
namespace {

/// Period of the timers while calls wait.
constexpr Duration kTickPeriod = 10ms;
constexpr Duration kRefreshPeriod = 50ms;
constexpr Duration kRetryLogPeriod = 1s;
constexpr Duration kDrainCheckPeriod = 20ms;

/// Time before the end of a shutdown at which calls that have not started are
/// returned to their callers.
constexpr Duration kWithdrawMargin = 500ms;

/// Interval between checks whether the configuration contains the target's
/// service.
constexpr Duration kDiscoveryPeriod = 50ms;

constexpr std::size_t kMaxAdminConnections = 256;

/// Time in which the workers must show progress for the daemon to be ready.
/// Shorter than the time for which a load balancer waits for the answer.
constexpr Duration kWorkerResponseTime = 500ms;

/// Returns the first incarnation of this run, higher than those of earlier
/// runs: the wall-clock time in milliseconds, shifted to leave room for 1024
/// changes per millisecond.
std::uint64_t
FirstIncarnation()
{
  constexpr unsigned kChangeBits = 10;
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(now / std::chrono::milliseconds(1))
         << kChangeBits;
}

MemberRecord
SelfRecord(const Settings& aSettings)
{
  MemberRecord self;
  self.endpoint = aSettings.Identity();
  self.incarnation = FirstIncarnation();
  self.locality = aSettings.locality;
  return self;
}

MembershipOptions
MembershipOptionsOf(const Settings& aSettings)
{
  MembershipOptions options;
  options.probePeriod = aSettings.control.probePeriod;
  options.ackTimeout = options.probePeriod * 3 / 10;
  options.suspicionTimeout = options.probePeriod * 4;
  options.settlingTime = aSettings.control.settling;
  return options;
}

class Daemon
{
public:
  Daemon(const LoadedSettings& aSettings,
         const Platform& aPlatform,
         SettingsReader aReader)
    : settings(aSettings.settings)
    , membership(SelfRecord(this->settings),
                 MembershipOptionsOf(this->settings),
                 EntropySeed(),
                 Now())
    , pacer(this->settings.control.bytesPerSecond)
    , publisher(this->membership,
                this->quarantine,
                this->routes,
                this->settings)
    , freshness(EntropySeed())
    , config(
        this->control.Context(),
        [this, open = aPlatform.openConfig] {
          return open(this->control.Context(), this->settings.store);
        },
        this->membership,
        this->freshness,
        this->publisher,
        this->pacer,
        this->settings)
    , gossip(this->control.Context(),
             aPlatform.openStore(this->control.Context(), this->settings.store),
             this->membership,
             this->quarantine,
             this->freshness,
             this->pacer,
             this->settings)
    , quarantineAgent(
        aPlatform.openStore(this->control.Context(), this->settings.store),
        this->quarantine,
        this->membership)
    , evacuations(aPlatform.openEvacuations
                    ? aPlatform.openEvacuations(this->control.Context(),
                                                this->settings.store)
                    : nullptr,
                  this->membership,
                  this->settings)
    , target(this->control.Context(), this->settings)
    , calls(
        this->target,
        this->quarantine,
        [this](std::string_view aService) {
          return this->FindServiceRoute(aService);
        },
        this->settings)
    , peers(
        this->calls,
        [this](const auto& aFrames, const PeerMessage& aMessage) {
          return this->HandleControlMessage(aFrames, aMessage);
        },
        EntropySeed(),
        this->settings)
    , status(
        this->control.Context(),
        aPlatform.openStore(this->control.Context(), this->settings.store),
        this->membership,
        this->pacer,
        [this] { return this->Counts(); },
        [this] { return this->config.Generation(); },
        this->settings)
    , quotas(this->membership,
             this->quotaGate,
             [this](const Endpoint& aTo, std::string_view aBytes) {
               this->gossip.SendDatagram(aTo, aBytes);
             })
    , keyLease(this->config,
               this->gossip,
               this->membership,
               this->publisher,
               this->leaseCell,
               this->settings)
    , ingress(this->routes, this->quotaGate, this->leaseCell, this->settings)
    , adminServerState(kMaxAdminConnections)
    , reloader(aSettings, std::move(aReader), [this](const Settings& aNext) {
      SetLogLevel(aNext.logLevel);
      this->publisher.SetLiveSettings(aNext.live);
    })
  {
  }

  Result<Done> Run()
  {
    if (auto opened = this->Open(); !Succeeded(opened)) {
      return opened;
    }
    const RcuThreadRegistration reader;
    boost::asio::signal_set signals(this->control.Context(), SIGTERM, SIGINT);
    signals.async_wait([this](auto aError, int) {
      if (!aError) {
        Spawn([this] { this->Drain(); });
      }
    });
    boost::asio::signal_set hangup(this->control.Context(), SIGHUP);
    this->WatchReloadSignal(hangup);
    UnblockSignals();
    this->control.RunHere([this] { this->StartControl(); });
    return Done{};
  }

private:
  Result<Done> Open()
  {
    auto& context = this->control.Context();
    const auto open = [&](const std::optional<Endpoint>& aAddress,
                          std::optional<Tcp::acceptor>& aAcceptor) {
      if (!aAddress) {
        return Result<Done>(Done{});
      }
      auto socket = Listen(context, *aAddress);
      if (!Succeeded(socket)) {
        return Result<Done>(Failure(socket));
      }
      aAcceptor.emplace(std::move(Value(socket)));
      return Result<Done>(Done{});
    };
    const std::pair<std::optional<Endpoint>, std::optional<Tcp::acceptor>*>
      sockets[] = { { this->settings.peers, &this->peerAcceptor },
                    { this->settings.admin, &this->adminAcceptor },
                    { this->settings.readiness, &this->readinessAcceptor },
                    { this->settings.metrics, &this->metricsAcceptor } };
    for (const auto& [address, acceptor] : sockets) {
      if (auto opened = open(address, *acceptor); !Succeeded(opened)) {
        return opened;
      }
    }
    if (auto opened = this->gossip.Open(); !Succeeded(opened)) {
      return opened;
    }
    return this->ingress.Open();
  }

  void StartControl()
  {
    this->config.onAdopted = [this](std::uint64_t aGeneration) {
      this->quotas.SetConfiguration(*this->publisher.CurrentConfiguration());
      this->keyLease.Publish();
      this->membership.SetGeneration(aGeneration);
      this->gossip.Send(this->membership.PushUpdates());
    };
    this->config.onStoreLoss = [this] { this->quarantineAgent.OnStoreLoss(); };
    this->gossip.onGeneration = [this](const Endpoint& aPeer,
                                       std::uint64_t aGeneration) {
      this->config.OnPeerGeneration(aPeer, aGeneration);
    };
    this->gossip.onQuota = [this](std::span<const std::uint8_t> aBytes,
                                  const Endpoint& aFrom) {
      this->quotas.Handle(aBytes, aFrom);
    };
    this->quotaGate.onWaiting = [this] {
      if (!this->quotaPollPosted.exchange(true)) {
        this->control.Post([this] {
          this->quotaPollPosted = false;
          this->quotas.OnWaiting();
        });
      }
    };
    this->gossip.onLease = [this](const LeaseMessage& aMessage) {
      this->keyLease.Handle(aMessage);
    };
    this->gossip.onSuspicions = [this] {
      this->publisher.MarkChanged();
      this->quarantineAgent.OnSuspicions();
    };
    this->quarantineAgent.onSuspicions = [this] {
      this->publisher.MarkChanged();
    };
    this->gossip.evacuatedZones = [this] {
      return this->evacuations.Known().ToSpread(Now());
    };
    this->gossip.onEvacuatedZones = [this](const EvacuatedZones& aZones) {
      this->evacuations.Merge(aZones);
    };
    this->evacuations.onChanged = [this] { this->ApplyEvacuations(); };
    this->calls.onSuspectsChanged = [this] {
      this->publisher.MarkChanged();
      this->gossip.Send(this->membership.PushUpdates());
      this->quarantineAgent.OnSuspicions();
    };
    this->adminHandler = AdminHandler(
      { [this](const TargetAnnouncement& aTarget) { this->Announce(aTarget); },
        [this](std::string_view aInstance) { this->Depart(aInstance); },
        [this] { return this->Ready(); },
        [this] { return this->Metrics(); } });
    Spawn([this] { this->gossip.Receive(); });
    Spawn([this] { this->gossip.RunTimers(); });
    Spawn([this] { this->gossip.MaintainSeeds(); });
    Spawn([this] { this->gossip.RunExchanges(); });
    Spawn([this] { this->config.Run(); });
    Spawn([this] { this->config.RunAudits(); });
    Spawn([this] { this->keyLease.Run(); });
    Spawn([this] { this->quarantineAgent.Run(); });
    Spawn([this] { this->quotas.Run(); });
    Spawn([this] { this->evacuations.Run(); });
    Spawn([this] { this->status.RunReports(); });
    Spawn([this] { this->status.RunAggregation(); });
    Spawn([this] { this->RunTimers(); });
    Spawn([this] { this->peers.Serve(*this->peerAcceptor); });
    Spawn([this] {
      ServeHttp(*this->adminAcceptor,
                this->limits,
                this->adminHandler,
                this->adminServerState);
    });
    this->metricsHandler = MetricsHandler([this] { return this->Metrics(); });
    this->readinessHandler = ReadinessHandler([this] { return this->Ready(); });
    if (this->readinessAcceptor) {
      Spawn([this] {
        ServeHttp(*this->readinessAcceptor,
                  this->limits,
                  this->readinessHandler,
                  this->readinessServerState);
      });
    }
    if (this->metricsAcceptor) {
      Spawn([this] {
        ServeHttp(*this->metricsAcceptor,
                  this->limits,
                  this->metricsHandler,
                  this->metricsServerState);
      });
    }
    Spawn([this] { this->reloader.Run(); });
    Spawn([this] { this->DiscoverTarget(); });
    Spawn([this] { this->calls.RunLoadProbes(); });
    this->ingress.Start();
    Log(kStarted,
        std::string_view(BAOBAB_VERSION),
        this->settings.callers,
        this->settings.peers,
        this->settings.locality.region,
        this->settings.locality.zone);
  }

  void RunTimers()
  {
    TimePoint nextRefresh = Now();
    TimePoint nextRetryLog = Now();
    while (true) {
      const bool waiting =
        this->calls.AdmissionControl().Report(Now()).queued > 0;
      const TimePoint due = Now() + (waiting ? kTickPeriod : kRefreshPeriod);
      boost::this_fiber::sleep_until(due);
      this->timerDelays.Record(Now() - due);
      this->calls.Tick();
      this->PublishTargetState();
      const TimePoint now = Now();
      if (now >= nextRefresh) {
        nextRefresh = now + kRefreshPeriod;
        this->publisher.Refresh(now);
      }
      if (now >= nextRetryLog) {
        nextRetryLog = now + kRetryLogPeriod;
        this->publisher.LogDeniedRetries();
      }
    }
  }

  void Announce(const TargetAnnouncement& aTarget)
  {
    const bool foreign =
      (this->settings.target && *this->settings.target != aTarget.address) ||
      (!this->settings.service.empty() &&
       this->settings.service != aTarget.announcement.service);
    if (foreign) {
      Log(kAnnouncementForeign, aTarget.address, aTarget.announcement.service);
      return;
    }
    this->calls.OnAnnouncement(aTarget);
    this->PublishTargetState();
  }

  void Depart(std::string_view aInstance)
  {
    this->calls.OnDeparture(aInstance);
    this->PublishTargetState();
  }

  /// Discovers a target that was already running when this daemon started.
  void DiscoverTarget()
  {
    if (!this->settings.target || this->settings.service.empty()) {
      return;
    }
    while (this->calls.State() == TargetState::None && !this->draining) {
      const auto route = this->FindServiceRoute(this->settings.service);
      if (route && !route->service->spec.healthPath.empty()) {
        this->calls.Discover(this->settings.service,
                             *this->settings.target,
                             route->service->spec.healthPath);
        this->PublishTargetState();
        return;
      }
      boost::this_fiber::sleep_for(kDiscoveryPeriod);
    }
  }

  void WatchReloadSignal(boost::asio::signal_set& aSignals)
  {
    aSignals.async_wait([this, &aSignals](auto aError, int) {
      if (!aError) {
        Spawn([this] { this->reloader.Reload(true); });
        this->WatchReloadSignal(aSignals);
      }
    });
  }

  /// Gossips the state of the local target if it has changed.
  void PublishTargetState()
  {
    const std::uint64_t before = this->membership.Version();
    this->membership.UpdateSelf(
      this->calls.AdmissionControl().Service(),
      this->calls.State(),
      this->calls.AdmissionControl().AnnouncedSlots());
    if (this->membership.Version() != before) {
      this->gossip.Send(this->membership.PushUpdates());
    }
  }

  /// Applies changed evacuations and tells other daemons at once.
  void ApplyEvacuations()
  {
    const Evacuations& known = this->evacuations.Known();
    this->calls.SetEvacuated(known.Contains(this->settings.locality.zone));
    this->publisher.SetEvacuatedZones(known.Current().zones);
    this->gossip.Send(this->membership.PushUpdates());
  }

  /// Handles a message of the control protocol; returns false for any other.
  bool HandleControlMessage(const std::shared_ptr<FrameConnection>& aFrames,
                            const PeerMessage& aMessage)
  {
    if (const auto* config = std::get_if<ConfigRequestMessage>(&aMessage)) {
      this->config.Reply(aFrames, *config);
      return true;
    }
    if (const auto* table = std::get_if<TableRequestMessage>(&aMessage)) {
      this->gossip.Reply(aFrames, *table);
      return true;
    }
    if (const auto* burn = std::get_if<BurnReportMessage>(&aMessage)) {
      this->status.AcceptReport(aFrames, burn->report);
      return true;
    }
    return false;
  }

  std::shared_ptr<const ServiceRoute> FindServiceRoute(
    std::string_view aService) const
  {
    return this->routes.Read(
      [&](const RouteTable& aTable) { return aTable.FindService(aService); });
  }

  /// True if calls can be served. Suspends the fiber until the workers have
  /// responded.
  bool Ready()
  {
    return this->config.Ready() && !this->draining && this->WorkersRespond();
  }

  bool WorkersRespond()
  {
    const bool respond = this->ingress.RespondsWithin(kWorkerResponseTime);
    if (respond == this->workersStalled) {
      this->workersStalled = !respond;
      Log(respond ? kWorkersResumed : kWorkersStalled);
    }
    return respond;
  }

  CountsByService Counts()
  {
    CountsByService counts;
    for (const auto& [service, stats] : this->ingress.Stats()) {
      const auto route = this->FindServiceRoute(service);
      const auto bytes = route ? route->state->measurementBudget.Spent() : 0;
      counts.push_back(
        { service, stats.calls, static_cast<std::uint64_t>(bytes) });
    }
    return counts;
  }

  std::string Metrics()
  {
    MetricsPage page;
    const bool workersRespond = this->WorkersRespond();
    page.Add("workers_respond", "", workersRespond ? 1 : 0);
    if (workersRespond) {
      for (const auto& [service, values] : this->ingress.Stats()) {
        page.AddService(service, values);
      }
      for (const auto& [reason, count] : this->ingress.KeyRefusals()) {
        page.Add("key_refusals_total",
                 "reason=\"" + reason + "\"",
                 static_cast<double>(count));
      }
      this->callerConnections = this->ingress.Connections();
    }
    page.AddTarget(this->calls.AdmissionControl().Service(),
                   this->calls.Stats());
    AddControlMetrics(
      page,
      { this->config.Generation(),
        this->config.IsReader(),
        this->freshness.Current(this->config.Generation(), Now()),
        this->config.StoreCalls() + this->gossip.StoreCalls() +
          this->quarantineAgent.StoreCalls() + this->evacuations.StoreCalls() +
          this->status.StoreCalls(),
        this->pacer.Spent(),
        this->quarantine.Size(),
        this->gossip.Counts(),
        this->calls.AdmissionControl().Report(Now()),
        this->calls.AdmissionControl().Warmup().IsCold(Now()),
        this->evacuations.Known().Current().zones.size(),
        this->membership,
        this->callerConnections,
        this->timerDelays });
    this->config.AddMetrics(page);
    AddMemoryMetrics(page, ProcessMemory());
    AddQuotaMetrics(page, this->quotas, this->quotaGate);
    this->routes.Read(
      [&](const RouteTable& aTable) { AddRouteMetrics(page, aTable); });
    return page.Text();
  }

  void Drain()
  {
    if (this->draining) {
      return;
    }
    this->draining = true;
    Log(kDraining, this->calls.InFlight());
    this->quotas.Leave();
    this->calls.StartShutdown();
    this->PublishTargetState();
    const ShutdownTimes times = ShutdownTimesOf(this->settings.timeouts);
    const TimePoint end = Now() + times.drain;
    boost::this_fiber::sleep_for(times.leave);
    this->ingress.StopAccepting();
    const auto busy = [this] {
      return this->calls.InFlight() > 0 || this->ingress.ActiveRequests() > 0;
    };
    const auto waitUntil = [&](TimePoint aEnd) {
      while (Now() < aEnd && busy()) {
        boost::this_fiber::sleep_for(kDrainCheckPeriod);
      }
    };
    waitUntil(end - kWithdrawMargin);
    // Calls that are still queued would be cut off by the end of the process.
    this->ingress.WithdrawWaiting();
    waitUntil(end);
    boost::this_fiber::sleep_for(kDrainCheckPeriod);
    this->gossip.Send(this->membership.Leave());
    Log(kStopped, this->calls.InFlight());
    this->control.Stop();
  }

  const Settings& settings;
  Worker control;
  Membership membership;
  Quarantine quarantine;
  RcuCell<RouteTable> routes;
  ControlPacer pacer;
  RoutePublisher publisher;
  StoreFreshness freshness;
  ConfigAgent config;
  GossipAgent gossip;
  QuarantineAgent quarantineAgent;
  EvacuationAgent evacuations;
  TargetClient target;
  CallServer calls;
  PeerServer peers;
  StatusAgent status;
  QuotaGate quotaGate;
  QuotaAgent quotas;
  std::atomic<bool> quotaPollPosted{ false };
  LeaseCell leaseCell;
  KeyLeaseAgent keyLease;
  IngressPool ingress;
  HttpLimits limits;
  HttpHandler adminHandler;
  HttpServerState adminServerState;
  HttpHandler readinessHandler;
  HttpServerState readinessServerState{ kMaxAdminConnections };
  std::optional<Tcp::acceptor> readinessAcceptor;
  HttpHandler metricsHandler;
  HttpServerState metricsServerState{ kMaxAdminConnections };
  std::optional<Tcp::acceptor> metricsAcceptor;
  std::optional<Tcp::acceptor> peerAcceptor;
  std::optional<Tcp::acceptor> adminAcceptor;
  SettingsReloader reloader;
  LatencyHistogram timerDelays;
  bool draining = false;
  bool workersStalled = false;
  /// Connections accepted from callers, as the workers last said.
  CallerConnectionCounts callerConnections;
};

}

Platform
DefaultPlatform()
{
  static constexpr Duration kStoreTimeout = 3s;
  return { [](boost::asio::io_context& aContext, const Endpoint& aStore) {
            return std::make_unique<HttpStore>(aContext, aStore, kStoreTimeout);
          },
           [](boost::asio::io_context& aContext, const Endpoint& aStore) {
             return std::make_unique<ManifestSource>(aContext, aStore);
           } };
}

Result<Done>
RunDaemon(const LoadedSettings& aSettings,
          const Platform& aPlatform,
          SettingsReader aReader)
{
  LimitMemory(aSettings.settings);
  // Never destroyed: fibers of the stopped daemon still refer to it, and the
  // process exits right after.
  auto* daemon = new Daemon(aSettings, aPlatform, std::move(aReader));
  return daemon->Run();
}

}
