#include "baobab/node/status_agent.hpp"

#include "baobab/core/random.hpp"
#include "baobab/decision/rendezvous.hpp"
#include "baobab/net/log.hpp"
#include "baobab/net/log_events.hpp"
#include "baobab/net/status_json.hpp"
#include "baobab/net/worker.hpp"

#include <algorithm>
#include <boost/fiber/operations.hpp>
#include <numeric>

namespace baobab {
namespace {

constexpr std::string_view kAggregatorRole = "status-aggregator";

/// Shortest time over which reports are collected and then stored together.
constexpr Duration kMinWriteInterval = 2s;

/// Writes of the status may use the control budget divided by this.
constexpr std::int64_t kWriteDivisor = 2;

/// Time to wait for the acknowledgement of a report before it is sent again.
constexpr Duration kAckTimeout = 180s;

/// Bytes charged for a report: for each service, and for the rest.
constexpr std::size_t kServiceBytes = 96;
constexpr std::size_t kReportBytes = 64;

StatusTime
WallClock()
{
  return std::chrono::duration_cast<StatusTime>(
    std::chrono::system_clock::now().time_since_epoch());
}

bool
IsEmpty(const ServiceCounts& aCounts)
{
  return std::ranges::all_of(aCounts.calls,
                             [](std::uint64_t aCount) { return aCount == 0; });
}

}

StatusAgent::StatusAgent(boost::asio::io_context& aContext,
                         std::unique_ptr<Store> aStore,
                         const Membership& aMembership,
                         ControlPacer& aPacer,
                         std::function<CountsByService()> aCounts,
                         std::function<std::uint64_t()> aGeneration,
                         const Settings& aSettings)
  : context(aContext)
  , membership(aMembership)
  , pacer(aPacer)
  , counts(std::move(aCounts))
  , generation(std::move(aGeneration))
  , settings(aSettings)
  , store(std::move(aStore))
  , reporter(EntropySeed())
{
}

void
StatusAgent::RunReports()
{
  while (true) {
    boost::this_fiber::sleep_for(this->settings.control.statusPeriod);
    this->AddInterval();
    this->SendPending();
  }
}

void
StatusAgent::AddInterval()
{
  CountsByService now = this->counts();
  const CountsByService interval = CountsBetween(this->reported, now);
  this->reported = std::move(now);
  // The first of two may have been stored already and must not change.
  if (this->pending.size() < 2) {
    this->pending.push_back({ this->reporter, this->nextSequence++, 0, {} });
  }
  this->pending.back().generation = this->generation();
  AddCounts(this->pending.back(), interval);
}

void
StatusAgent::SendPending()
{
  while (!this->pending.empty() && this->Deliver(this->pending.front())) {
    this->pending.pop_front();
  }
}

bool
StatusAgent::Deliver(const BurnReport& aReport)
{
  const Endpoint aggregator = this->Aggregator();
  auto socket = Connect(this->context,
                        aggregator,
                        this->settings.timeouts.connect,
                        this->settings.peers.address);
  if (!Succeeded(socket)) {
    return false;
  }
  this->pacer.Spend(kReportBytes + aReport.services.size() * kServiceBytes);
  const auto frames =
    std::make_shared<FrameConnection>(std::move(Value(socket)));
  const auto timer = frames->CloseAfter(kAckTimeout);
  frames->Send(BurnReportMessage{ aReport });
  const auto reply = frames->Read();
  frames->Close();
  if (!Succeeded(reply)) {
    return false;
  }
  const auto* ack = std::get_if<BurnAckMessage>(&Value(reply));
  return ack != nullptr && ack->sequence == aReport.sequence;
}

Endpoint
StatusAgent::Aggregator() const
{
  return RendezvousPick(this->membership.ZoneMembers(), kAggregatorRole, 1)
    .front();
}

void
StatusAgent::AcceptReport(const std::shared_ptr<FrameConnection>& aFrames,
                          const BurnReport& aReport)
{
  this->unstored.push_back({ aReport, aFrames });
}

void
StatusAgent::RunAggregation()
{
  while (true) {
    boost::this_fiber::sleep_for(this->WriteInterval());
    if (this->unstored.empty()) {
      // Another daemon may have become the aggregator.
      this->loaded = false;
    } else if (this->loaded || this->LoadStatus()) {
      this->StoreStatus();
    }
  }
}

Duration
StatusAgent::WriteInterval() const
{
  const auto bytes = static_cast<std::int64_t>(this->statusBytes);
  const std::int64_t rate = this->settings.control.bytesPerSecond;
  return std::max<Duration>(kMinWriteInterval,
                            Millis(1000 * kWriteDivisor * bytes / rate));
}

bool
StatusAgent::LoadStatus()
{
  const Locality& locality = this->settings.locality;
  auto object = this->store->Get(StatusKey(locality.region, locality.zone));
  if (!Succeeded(object)) {
    return false;
  }
  this->status = ZoneStatus();
  this->version.clear();
  if (Value(object)) {
    this->version = Value(object)->version;
    auto decoded = DecodeStatus(Value(object)->value);
    if (Succeeded(decoded)) {
      this->status = std::move(Value(decoded));
    } else {
      Log(kStatusInvalid, Failure(decoded));
    }
  }
  this->loaded = true;
  return true;
}

void
StatusAgent::StoreStatus()
{
  for (const UnstoredReport& item : this->unstored) {
    this->status.Add(item.report, WallClock());
  }
  this->CountTargets();
  const Locality& locality = this->settings.locality;
  const std::string text = EncodeStatus(this->status);
  this->statusBytes = text.size();
  auto put = this->store->Put(StatusKey(locality.region, locality.zone),
                              text,
                              PutCondition{ this->version });
  if (!Succeeded(put)) {
    // The stored status is read again; reports it contains are not counted
    // twice.
    this->loaded = false;
    return;
  }
  this->version = Value(put);
  this->Acknowledge();
}

void
StatusAgent::CountTargets()
{
  for (auto& [name, service] : this->status.services) {
    service.targets.clear();
  }
  for (const Endpoint& endpoint : this->membership.ZoneMembers()) {
    const MemberRecord* member = this->membership.Find(endpoint);
    if (!member->service.empty()) {
      ++this->status.services[member->service]
          .targets[std::string(Name(member->targetState))];
    }
  }
}

void
StatusAgent::Acknowledge()
{
  // Reports that arrived during the write remain for the next one.
  std::erase_if(this->unstored, [this](const UnstoredReport& aItem) {
    if (!this->status.HasCounted(aItem.report)) {
      return false;
    }
    aItem.frames->Send(BurnAckMessage{ aItem.report.sequence });
    return true;
  });
}

CountsByService
CountsBetween(const CountsByService& aBefore, const CountsByService& aAfter)
{
  CountsByService difference;
  for (ServiceCounts counts : aAfter) {
    const auto before =
      std::ranges::find(aBefore, counts.service, &ServiceCounts::service);
    if (before != aBefore.end()) {
      std::ranges::transform(
        counts.calls, before->calls, counts.calls.begin(), std::minus{});
      counts.measuringBytes -= before->measuringBytes;
    }
    if (!IsEmpty(counts) || counts.measuringBytes > 0) {
      difference.push_back(std::move(counts));
    }
  }
  return difference;
}

void
AddCounts(BurnReport& aReport, const CountsByService& aCounts)
{
  for (const ServiceCounts& counts : aCounts) {
    const auto found = std::ranges::find(
      aReport.services, counts.service, &ServiceCounts::service);
    if (found == aReport.services.end()) {
      aReport.services.push_back(counts);
      continue;
    }
    std::ranges::transform(
      found->calls, counts.calls, found->calls.begin(), std::plus{});
    found->measuringBytes += counts.measuringBytes;
  }
}

}
