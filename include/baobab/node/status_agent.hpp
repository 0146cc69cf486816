/// @file
#pragma once

#include "baobab/core/settings.hpp"
#include "baobab/decision/membership.hpp"
#include "baobab/decision/zone_status.hpp"
#include "baobab/net/frame_connection.hpp"
#include "baobab/net/store.hpp"
#include "baobab/node/control_pacer.hpp"

#include <deque>
#include <functional>
#include <memory>
#include <vector>

namespace baobab {

/// Counts of a daemon since its start, by service.
using CountsByService = std::vector<ServiceCounts>;

/// Reports what this daemon counted to the aggregator of its availability
/// zone, and folds the zone's reports if that is this daemon. It belongs to
/// the control thread.
///
/// A report is repeated with the same number until the aggregator has stored
/// it, and the stored status names the last number of each reporter. So a
/// change of the aggregator counts nothing twice, and a restart loses what
/// the restarted daemon had not reported yet.
class StatusAgent
{
public:
  StatusAgent(boost::asio::io_context& aContext,
              std::unique_ptr<Store> aStore,
              const Membership& aMembership,
              ControlPacer& aPacer,
              std::function<CountsByService()> aCounts,
              std::function<std::uint64_t()> aGeneration,
              const Settings& aSettings);

  /// Counts and sends reports until the process ends.
  void RunReports();

  /// Folds and stores the reports of the zone until the process ends.
  void RunAggregation();

  /// Takes a report of a daemon of the zone; it is acknowledged on the
  /// connection once it is stored.
  void AcceptReport(const std::shared_ptr<FrameConnection>& aFrames,
                    const BurnReport& aReport);

  std::uint64_t StoreCalls() const { return this->store->Calls(); }

private:
  struct Unwritten
  {
    BurnReport report;
    std::shared_ptr<FrameConnection> frames;
  };

  void CountInterval();
  void SendPending();
  bool Deliver(const BurnReport& aReport);
  Endpoint Aggregator() const;
  /// Pause between writes, so that they stay within their part of the budget.
  Duration CollectTime() const;
  bool Load();
  void StoreStatus();
  void CountTargets();
  void Acknowledge();

  boost::asio::io_context& context;
  const Membership& membership;
  ControlPacer& pacer;
  std::function<CountsByService()> counts;
  std::function<std::uint64_t()> generation;
  const Settings& settings;
  std::unique_ptr<Store> store;
  std::uint64_t reporter;
  std::uint64_t nextSequence = 1;
  CountsByService counted;
  /// At most two: one that is being repeated, and one that still grows.
  std::deque<BurnReport> pending;
  std::vector<Unwritten> unwritten;
  ZoneStatus status;
  ObjectVersion version;
  bool loaded = false;
  std::size_t storedBytes = 0;
};

/// What was counted between two points in time.
CountsByService CountsBetween(const CountsByService& aBefore,
                              const CountsByService& aAfter);

/// Adds counts to those of a report.
void AddCounts(BurnReport& aReport, const CountsByService& aCounts);

}
