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

/// Counts of a daemon, one entry for each service.
using CountsByService = std::vector<ServiceCounts>;

/// Reports this daemon's counts to the aggregator of its availability zone,
/// and aggregates and stores the zone's reports if this daemon is the
/// aggregator. Used only on the control thread.
///
/// A report is repeated with the same sequence number until the aggregator has
/// stored it, and the stored status holds the last sequence number of each
/// reporter. A change of the aggregator therefore counts nothing twice; a
/// restart loses only the counts that the daemon had not reported yet.
class StatusAgent
{
public:
  /// @param aCounts returns the counts since the start of the daemon
  /// @param aGeneration returns the configuration generation in force
  StatusAgent(boost::asio::io_context& aContext,
              std::unique_ptr<Store> aStore,
              const Membership& aMembership,
              ControlPacer& aPacer,
              std::function<CountsByService()> aCounts,
              std::function<std::uint64_t()> aGeneration,
              const Settings& aSettings);

  /// Composes and sends periodic reports until the process ends.
  void RunReports();

  /// Aggregates and stores the reports of the zone until the process ends.
  void RunAggregation();

  /// Accepts a report of a daemon of the zone; it is acknowledged on the
  /// connection once it is stored.
  void AcceptReport(const std::shared_ptr<FrameConnection>& aFrames,
                    const BurnReport& aReport);

  std::uint64_t StoreCalls() const { return this->store->Calls(); }

private:
  /// A received report that is not stored yet.
  struct UnstoredReport
  {
    BurnReport report;
    std::shared_ptr<FrameConnection> frames;
  };

  void AddInterval();
  void SendPending();
  bool Deliver(const BurnReport& aReport);
  Endpoint Aggregator() const;
  /// Interval between writes that keeps them within their part of the control
  /// budget.
  Duration WriteInterval() const;
  bool LoadStatus();
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
  /// Counts since the start that are already contained in reports.
  CountsByService reported;
  /// At most two: one that is being repeated, and one that still grows.
  std::deque<BurnReport> pending;
  std::vector<UnstoredReport> unstored;
  ZoneStatus status;
  ObjectVersion version;
  /// True if `status` and `version` match the stored object.
  bool loaded = false;
  /// Size of the status that was last encoded.
  std::size_t statusBytes = 0;
};

/// Returns the increase from one set of counts to a later one; services without
/// any are left out.
CountsByService CountsBetween(const CountsByService& aBefore,
                              const CountsByService& aAfter);

/// Adds counts to a report.
void AddCounts(BurnReport& aReport, const CountsByService& aCounts);

}
