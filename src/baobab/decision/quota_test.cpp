#include "baobab/core/random.hpp"
#include "baobab/decision/quota_borrower.hpp"
#include "baobab/decision/quota_lender.hpp"
#include "baobab/decision/quota_relay.hpp"

#include <boost/test/unit_test.hpp>
#include <cmath>
#include <numeric>

namespace baobab {
namespace {

constexpr Duration kStep = 10ms;
constexpr int kStepsPerSecond = 100;
constexpr int kWindowSteps = 5 * kStepsPerSecond;

/// Time in which a fleet elects its first lender.
constexpr int kStartSteps = 6 * kStepsPerSecond;

Endpoint
EndpointOf(std::size_t aDaemon)
{
  return { static_cast<std::uint32_t>(aDaemon + 1), 1 };
}

/// A workspace with the calls that its callers make.
struct Load
{
  QuotaLimit limit;
  double callsPerSecond = 0;
  /// Daemons at which the callers are, the first ones; each gets as many.
  std::size_t daemons = 1;
};

/// A fleet whose datagrams take 10 to 20 ms, each daemon with a clock of its
/// own.
class Fleet
{
public:
  Fleet(std::size_t aSize, std::vector<Load> aLoads, std::uint64_t aSeed)
    : loads(std::move(aLoads))
    , random(aSeed)
    , daemons(aSize)
    , admitted(this->loads.size())
    , refused(this->loads.size())
  {
    for (std::size_t i = 0; i < aSize; ++i) {
      this->daemons[i].offset = Millis(UniformBelow(this->random, 1000000));
      this->Start(i);
    }
  }

  void Run(int aSteps)
  {
    for (int i = 0; i < aSteps; ++i) {
      this->Step();
    }
  }

  /// Starts or restarts a daemon.
  void Start(std::size_t aDaemon)
  {
    Daemon& daemon = this->daemons[aDaemon];
    daemon.down = false;
    daemon.paused = false;
    daemon.stepsAwake = 0;
    const auto run = static_cast<std::uint32_t>(++this->runs);
    const TimePoint now = this->TimeAt(aDaemon);
    daemon.inbox.clear();
    daemon.lender.emplace(EndpointOf(aDaemon), run, now);
    daemon.borrower.emplace(EndpointOf(aDaemon), run, now);
    daemon.cells.clear();
    for (std::size_t w = 0; w < this->loads.size(); ++w) {
      daemon.cells[w + 1] = std::make_shared<QuotaCell>();
    }
    daemon.borrower->SetCells(daemon.cells);
    this->PublishLimits(aDaemon);
  }

  void Leave(std::size_t aDaemon) { this->daemons[aDaemon].lender->Leave(); }
  void Stop(std::size_t aDaemon) { this->daemons[aDaemon].down = true; }
  void Pause(std::size_t aDaemon) { this->daemons[aDaemon].paused = true; }
  void Wake(std::size_t aDaemon) { this->daemons[aDaemon].paused = false; }
  void PutInPart(std::size_t aDaemon, int aPart)
  {
    this->daemons[aDaemon].part = aPart;
  }

  void SetLimit(std::size_t aWorkspace, QuotaLimit aLimit)
  {
    this->loads[aWorkspace].limit = aLimit;
    this->limitStep[aWorkspace] = this->step;
    for (std::size_t i = 0; i < this->daemons.size(); ++i) {
      this->PublishLimits(i);
    }
  }

  void SetLoad(std::size_t aWorkspace, double aCallsPerSecond)
  {
    this->loads[aWorkspace].callsPerSecond = aCallsPerSecond;
  }

  /// The daemon that lends; the size of the fleet if there is none.
  std::size_t Lender()
  {
    std::size_t lenders = 0;
    std::size_t found = this->daemons.size();
    for (std::size_t i = 0; i < this->daemons.size(); ++i) {
      Daemon& daemon = this->daemons[i];
      if (!daemon.down && !daemon.paused &&
          daemon.lender->Lends(this->TimeAt(i))) {
        ++lenders;
        found = i;
      }
    }
    BOOST_REQUIRE_LE(lenders, 1U);
    return found;
  }

  std::int64_t Admitted(std::size_t aWorkspace, int aFrom) const
  {
    const auto& counts = this->admitted[aWorkspace];
    return std::accumulate(
      counts.begin() + aFrom, counts.end(), std::int64_t{});
  }

  std::int64_t Refused(std::size_t aWorkspace, int aFrom) const
  {
    const auto& counts = this->refused[aWorkspace];
    return std::accumulate(
      counts.begin() + aFrom, counts.end(), std::int64_t{});
  }

  int StepNumber() const { return this->step; }
  std::size_t Size() const { return this->daemons.size(); }
  std::uint64_t Datagrams() const { return this->sent; }

  double loss = 0;
  /// True if part 2 reaches parts 0 and 1, which do not reach each other.
  bool bridged = false;

private:
  struct Datagram
  {
    int due = 0;
    Endpoint from;
    QuotaMessage message;
  };

  struct Waiting
  {
    std::size_t workspace = 0;
    int giveUp = 0;
  };

  struct Daemon
  {
    Duration offset{ 0 };
    bool down = false;
    bool paused = false;
    int part = 0;
    int stepsAwake = 0;
    std::optional<QuotaLender> lender;
    std::optional<QuotaBorrower> borrower;
    QuotaCells cells;
    std::vector<Datagram> inbox;
    std::vector<Waiting> waiting;
  };

  bool IsLinked(int aPart, int aOther) const
  {
    return aPart == aOther || (this->bridged && (aPart == 2 || aOther == 2));
  }

  TimePoint TimeAt(std::size_t aDaemon) const
  {
    return TimePoint() + 10s + this->step * kStep +
           this->daemons[aDaemon].offset;
  }

  void PublishLimits(std::size_t aDaemon)
  {
    QuotaLimits limits;
    for (std::size_t w = 0; w < this->loads.size(); ++w) {
      limits[w + 1] = this->loads[w].limit;
    }
    this->daemons[aDaemon].lender->SetLimits(limits, this->TimeAt(aDaemon));
  }

  /// Members as a daemon sees them: late by some seconds, and not the same
  /// everywhere.
  void UpdateMembers(std::size_t aDaemon)
  {
    constexpr int kViewSteps = 3 * kStepsPerSecond;
    Daemon& self = this->daemons[aDaemon];
    const bool joined = ++self.stepsAwake >= kStepsPerSecond;
    self.lender->SetFleetSize(joined ? this->daemons.size() : 1,
                              this->TimeAt(aDaemon));
    const bool due =
      (this->step + static_cast<int>(aDaemon) * 37) % kViewSteps == 0;
    if (!due && self.stepsAwake != kStepsPerSecond) {
      return;
    }
    std::vector<Endpoint> members;
    for (std::size_t i = 0; i < this->daemons.size(); ++i) {
      if (!this->daemons[i].down &&
          (this->bridged || this->daemons[i].part == self.part)) {
        members.push_back(EndpointOf(i));
      }
    }
    self.borrower->SetMembers(members);
  }

  void Send(std::size_t aFrom, const Endpoint& aTo, QuotaMessage aMessage)
  {
    const std::size_t to = aTo.address - 1;
    if (to == aFrom) {
      this->Receive(to, { 0, EndpointOf(aFrom), std::move(aMessage) });
      return;
    }
    ++this->sent;
    Daemon& receiver = this->daemons[to];
    if (receiver.down ||
        !this->IsLinked(receiver.part, this->daemons[aFrom].part) ||
        UniformFraction(this->random) < this->loss) {
      return;
    }
    const int delay = 1 + static_cast<int>(UniformBelow(this->random, 2));
    receiver.inbox.push_back(
      { this->step + delay, EndpointOf(aFrom), std::move(aMessage) });
  }

  void Receive(std::size_t aDaemon, Datagram aDatagram)
  {
    Daemon& daemon = this->daemons[aDaemon];
    const TimePoint now = this->TimeAt(aDaemon);
    if (auto* reply = std::get_if<QuotaReply>(&aDatagram.message)) {
      if (reply->borrower == EndpointOf(aDaemon)) {
        daemon.borrower->OnReply(*reply, now);
      } else if (!reply->relayed) {
        reply->relayed = true;
        this->Send(aDaemon, reply->borrower, *reply);
      }
      return;
    }
    auto request = std::get<QuotaRequest>(aDatagram.message);
    const auto next =
      RelayTarget(request, EndpointOf(aDaemon), daemon.borrower->Lender(now));
    if (next) {
      request.relayed = true;
      this->Send(aDaemon, *next, request);
      return;
    }
    this->Send(aDaemon, aDatagram.from, daemon.lender->Handle(request, now));
  }

  void Step()
  {
    for (std::size_t w = 0; w < this->loads.size(); ++w) {
      this->admitted[w].push_back(0);
      this->refused[w].push_back(0);
    }
    for (std::size_t i = 0; i < this->daemons.size(); ++i) {
      if (!this->daemons[i].down && !this->daemons[i].paused) {
        this->Serve(i);
      }
    }
    for (std::size_t w = 0; w < this->loads.size(); ++w) {
      this->CheckWindow(w);
    }
    ++this->step;
  }

  void Serve(std::size_t aDaemon)
  {
    Daemon& daemon = this->daemons[aDaemon];
    this->UpdateMembers(aDaemon);
    std::vector<Datagram> due;
    std::erase_if(daemon.inbox, [&](Datagram& aDatagram) {
      if (aDatagram.due > this->step) {
        return false;
      }
      due.push_back(std::move(aDatagram));
      return true;
    });
    for (Datagram& datagram : due) {
      this->Receive(aDaemon, std::move(datagram));
    }
    std::erase_if(daemon.waiting, [&](const Waiting& aCall) {
      QuotaCell& cell = *daemon.cells[aCall.workspace + 1];
      if (!this->Settle(aDaemon, aCall)) {
        return false;
      }
      cell.waiting.fetch_sub(1);
      return true;
    });
    for (std::size_t w = 0; w < this->loads.size(); ++w) {
      this->MakeCalls(aDaemon, w);
    }
    if (const auto send = daemon.borrower->Poll(this->TimeAt(aDaemon),
                                                !daemon.waiting.empty())) {
      this->Send(aDaemon, send->to, send->request);
    }
  }

  void MakeCalls(std::size_t aDaemon, std::size_t aWorkspace)
  {
    const Load& load = this->loads[aWorkspace];
    if (aDaemon >= load.daemons) {
      return;
    }
    double expected =
      load.callsPerSecond / kStepsPerSecond / static_cast<double>(load.daemons);
    QuotaCell& cell = *this->daemons[aDaemon].cells[aWorkspace + 1];
    // Poisson arrivals.
    expected = std::exp(-expected);
    for (double p = UniformFraction(this->random); p > expected;
         p *= UniformFraction(this->random)) {
      cell.CountCall();
      constexpr int kPatience = 15;
      const Waiting call{ aWorkspace, this->step + kPatience };
      if (!this->Settle(aDaemon, call)) {
        cell.waiting.fetch_add(1);
        this->daemons[aDaemon].waiting.push_back(call);
      }
    }
  }

  /// Admits or refuses a call. Returns false if it waits on.
  bool Settle(std::size_t aDaemon, const Waiting& aCall)
  {
    QuotaCell& cell = *this->daemons[aDaemon].cells[aCall.workspace + 1];
    const TimePoint now = this->TimeAt(aDaemon);
    if (cell.TryTake(now)) {
      ++this->admitted[aCall.workspace].back();
      return true;
    }
    if (cell.IsDenied(now) || this->step >= aCall.giveUp) {
      ++this->refused[aCall.workspace].back();
      return true;
    }
    return false;
  }

  void CheckWindow(std::size_t aWorkspace)
  {
    const auto& counts = this->admitted[aWorkspace];
    const int end = static_cast<int>(counts.size());
    const int begin = std::max(0, end - kWindowSteps);
    if (begin < this->limitStep[aWorkspace]) {
      return;
    }
    const QuotaLimit& limit = this->loads[aWorkspace].limit;
    const double bound =
      (limit.ratePerSecond * 5 + static_cast<double>(limit.burst)) * 1.1 + 20;
    const auto sum =
      std::accumulate(counts.begin() + begin, counts.end(), std::int64_t{});
    BOOST_REQUIRE_MESSAGE(static_cast<double>(sum) <= bound,
                          "workspace " << aWorkspace << " at step "
                                       << this->step << ": " << sum << " > "
                                       << bound);
  }

  std::vector<Load> loads;
  SplitMix random;
  std::vector<Daemon> daemons;
  std::vector<std::vector<std::int64_t>> admitted;
  std::vector<std::vector<std::int64_t>> refused;
  /// Step of the last change of a limit.
  std::map<std::size_t, int> limitStep;
  int step = 0;
  std::uint64_t runs = 0;
  std::uint64_t sent = 0;
};

const TimePoint kStart = TimePoint() + 100s;
constexpr WorkspaceId kWorkspace = 1;

/// The only daemon of its fleet.
class LoneLender
{
public:
  explicit LoneLender(QuotaLimit aLimit)
    : lender(EndpointOf(0), 1, kStart)
  {
    this->lender.SetLimits({ { kWorkspace, aLimit } }, kStart);
  }

  /// Lets time pass in which the lender keeps its votes.
  void Run(Duration aTime)
  {
    for (const TimePoint end = this->now + aTime; this->now < end;
         this->now += kStep) {
      this->lender.SetFleetSize(1, this->now);
      this->Ask(0);
    }
  }

  /// Asks for tokens that are spent at once. Returns how many were lent.
  std::uint32_t Ask(std::uint32_t aWant)
  {
    QuotaRequest request{ EndpointOf(0), EndpointOf(0) };
    request.run = 1;
    request.sequence = ++this->sequence;
    request.answered = this->sequence - 1;
    request.vote = this->stamp;
    request.needs = { { kWorkspace, aWant, 0, 0 } };
    const QuotaReply reply = this->lender.Handle(request, this->now);
    this->stamp = reply.stamp;
    return reply.loans.empty() ? 0 : reply.loans.front().tokens;
  }

  QuotaLender lender;
  TimePoint now = kStart;

private:
  std::uint32_t sequence = 0;
  QuotaStamp stamp;
};

/// The reply of a lender that lends some tokens.
QuotaReply
ReplyTo(const QuotaRequest& aRequest,
        std::size_t aLender,
        std::uint32_t aTokens)
{
  QuotaReply reply;
  reply.borrower = aRequest.borrower;
  reply.lender = EndpointOf(aLender);
  reply.run = aRequest.run;
  reply.sequence = aRequest.sequence;
  reply.stamp = { static_cast<std::uint32_t>(aLender + 1), 5 };
  reply.lends = true;
  reply.loans = { { kWorkspace, aTokens } };
  return reply;
}

std::vector<Load>
MixedLoads()
{
  return { { { 300, 60 }, 240, 59 },
           { { 250, 0 }, 1750, 59 },
           { { 4, 8 }, 2.4, 3 },
           { { 5, 5 }, 35, 59 },
           { { 30, 10 }, 18, 20 } };
}

}

BOOST_AUTO_TEST_SUITE(quota)

BOOST_AUTO_TEST_CASE(at_rest_a_hot_workspace_gets_its_limit_and_others_all)
{
  Fleet fleet(59, MixedLoads(), 1);
  fleet.Run(kStartSteps);
  const int from = fleet.StepNumber();
  const std::uint64_t sent = fleet.Datagrams();
  constexpr int kSeconds = 40;
  fleet.Run(kSeconds * kStepsPerSecond);
  for (const std::size_t calm : { 0U, 2U, 4U }) {
    BOOST_TEST(fleet.Refused(calm, from) == 0, "workspace " << calm);
  }
  BOOST_TEST(fleet.Admitted(1, from) >= 0.95 * 250 * kSeconds);
  BOOST_TEST(fleet.Admitted(3, from) >= 0.95 * 5 * kSeconds);
  const auto datagrams = fleet.Datagrams() - sent;
  BOOST_TEST_MESSAGE("datagrams per second: " << datagrams / kSeconds);
  BOOST_TEST(datagrams / kSeconds <= 59U * 20);
}

BOOST_AUTO_TEST_CASE(a_limit_holds_over_random_faults)
{
  constexpr std::uint64_t kSeeds = 12;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed)
    {
      SplitMix random(seed * 7919);
      Fleet fleet(19, MixedLoads(), seed);
      fleet.loss = seed % 3 == 0 ? 0.1 : 0;
      for (int event = 0; event < 40; ++event) {
        // Half of the events hit the lender, if there is one.
        std::size_t victim = UniformBelow(random, fleet.Size());
        const std::size_t lender = fleet.Lender();
        if (UniformBelow(random, 2) == 0 && lender < fleet.Size()) {
          victim = lender;
        }
        switch (UniformBelow(random, 9)) {
          case 0:
            fleet.Stop(victim);
            break;
          case 1:
            fleet.Pause(victim);
            break;
          case 2:
            fleet.PutInPart(victim, 1);
            break;
          case 3:
            for (std::size_t i = 0; i < fleet.Size(); ++i) {
              fleet.PutInPart(i, UniformBelow(random, 2) == 0 ? 1 : 0);
            }
            break;
          case 4:
            for (std::size_t i = 0; i < fleet.Size(); ++i) {
              fleet.PutInPart(i, 0);
              fleet.Wake(i);
            }
            break;
          case 5:
            fleet.Start(victim);
            break;
          case 6:
            fleet.Leave(victim);
            break;
          case 7:
            fleet.SetLimit(0,
                           { UniformBelow(random, 2) == 0 ? 60.0 : 300, 20 });
            break;
          default:
            fleet.SetLoad(
              0, 1050.0 * static_cast<double>(UniformBelow(random, 3)));
            break;
        }
        fleet.Run(20 + static_cast<int>(UniformBelow(random, 400)));
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(a_dead_lender_is_replaced_within_three_seconds)
{
  Fleet fleet(19, MixedLoads(), 3);
  fleet.Run(kStartSteps);
  const std::size_t lender = fleet.Lender();
  BOOST_REQUIRE_LT(lender, fleet.Size());
  fleet.Stop(lender);
  fleet.Run(3 * kStepsPerSecond);
  BOOST_TEST(fleet.Lender() < fleet.Size());
  const int from = fleet.StepNumber() + kStepsPerSecond;
  fleet.Run(10 * kStepsPerSecond);
  BOOST_TEST(fleet.Refused(2, from) == 0);
}

BOOST_AUTO_TEST_CASE(a_lender_that_leaves_is_replaced_within_two_seconds)
{
  Fleet fleet(19, MixedLoads(), 6);
  fleet.Run(kStartSteps);
  const std::size_t lender = fleet.Lender();
  BOOST_REQUIRE_LT(lender, fleet.Size());
  fleet.Leave(lender);
  fleet.Run(2 * kStepsPerSecond);
  BOOST_TEST(fleet.Lender() != lender);
  BOOST_TEST(fleet.Lender() < fleet.Size());
}

BOOST_AUTO_TEST_CASE(a_lender_that_wakes_does_not_lend_the_tokens_of_its_pause)
{
  Fleet fleet(19, MixedLoads(), 4);
  fleet.Run(kStartSteps);
  const std::size_t lender = fleet.Lender();
  BOOST_REQUIRE_LT(lender, fleet.Size());
  fleet.Pause(lender);
  fleet.Run(4 * kStepsPerSecond);
  const std::size_t next = fleet.Lender();
  BOOST_TEST(next != lender);
  BOOST_TEST(next < fleet.Size());
  fleet.Wake(lender);
  fleet.Run(5 * kStepsPerSecond);
  BOOST_TEST(fleet.Lender() == next);
}

BOOST_AUTO_TEST_CASE(two_zones_that_do_not_reach_each_other_share_a_lender)
{
  Fleet fleet(21, MixedLoads(), 7);
  fleet.Run(kStartSteps);
  const std::size_t lender = fleet.Lender();
  BOOST_REQUIRE_LT(lender, fleet.Size());
  fleet.bridged = true;
  for (std::size_t i = 0; i < fleet.Size(); ++i) {
    fleet.PutInPart((lender + i) % fleet.Size(), static_cast<int>(i % 3));
  }
  fleet.Run(3 * kStepsPerSecond);
  const int from = fleet.StepNumber();
  fleet.Run(20 * kStepsPerSecond);
  BOOST_TEST(fleet.Lender() < fleet.Size());
  BOOST_TEST(static_cast<double>(fleet.Refused(0, from)) <=
             0.01 * static_cast<double>(fleet.Admitted(0, from)));
}

BOOST_AUTO_TEST_CASE(the_smaller_part_of_a_fleet_lends_nothing)
{
  Fleet fleet(19, MixedLoads(), 5);
  fleet.Run(kStartSteps);
  const std::size_t lender = fleet.Lender();
  BOOST_REQUIRE_LT(lender, fleet.Size());
  for (std::size_t i = 0; i < 6; ++i) {
    fleet.PutInPart((lender + i) % fleet.Size(), 1);
  }
  fleet.Run(8 * kStepsPerSecond);
  const std::size_t next = fleet.Lender();
  BOOST_REQUIRE_LT(next, fleet.Size());
  BOOST_TEST((next + fleet.Size() - lender) % fleet.Size() >= 6U);
}

BOOST_AUTO_TEST_CASE(unused_tokens_do_not_exceed_the_capacity)
{
  const QuotaLimit limit{ 100, 30 };
  LoneLender lone(limit);
  lone.Run(60s);
  BOOST_TEST(lone.Ask(10000) <= limit.Capacity());
  BOOST_TEST(lone.Ask(10000) == 0U);
}

BOOST_AUTO_TEST_CASE(a_new_lender_waits_until_earlier_loans_have_expired)
{
  LoneLender lone({ 100, 30 });
  while (lone.now < kStart + 10s && lone.Ask(1) == 0) {
    lone.lender.SetFleetSize(1, lone.now);
    lone.now += kStep;
  }
  // Two seconds until the size of the fleet counts as known.
  BOOST_TEST((lone.now - kStart >= 2s + kLoanLife));
  BOOST_TEST((lone.now - kStart <= 2s + kLoanLife + 100ms));
}

BOOST_AUTO_TEST_CASE(a_paused_lender_loses_its_tokens_and_its_votes)
{
  LoneLender lone({ 100, 30 });
  lone.Run(10s);
  BOOST_TEST(lone.Ask(5) == 5U);
  lone.now += 3s;
  BOOST_TEST(lone.Ask(10) == 0U);
  lone.now += kStep;
  BOOST_TEST(lone.Ask(10) == 0U);
  lone.Run(kLoanLife + 50ms);
  const std::uint32_t lent = lone.Ask(1000);
  BOOST_TEST(lent > 0U);
  BOOST_TEST(lent <= 15U);
}

BOOST_AUTO_TEST_CASE(a_lower_limit_takes_tokens_away_at_once)
{
  LoneLender lone({ 100, 50 });
  lone.Run(10s);
  const QuotaLimit lower{ 2, 0 };
  lone.lender.SetLimits({ { kWorkspace, lower } }, lone.now);
  BOOST_TEST(lone.Ask(1000) <= lower.Capacity());
}

BOOST_AUTO_TEST_CASE(a_loan_expires_by_the_time_of_its_request)
{
  QuotaBorrower borrower(EndpointOf(0), 1, kStart);
  const auto cell = std::make_shared<QuotaCell>();
  borrower.SetCells({ { kWorkspace, cell } });
  cell->CountCall();
  const auto send = borrower.Poll(kStart + 1s, true);
  BOOST_REQUIRE(send.has_value());
  borrower.OnReply(ReplyTo(send->request, 0, 2), kStart + 1s + 500ms);
  BOOST_TEST(cell->TryTake(kStart + 1s + kLoanLife - 1ms));
  BOOST_TEST(!cell->TryTake(kStart + 1s + kLoanLife));
}

BOOST_AUTO_TEST_CASE(a_daemon_votes_for_another_lender_once_its_vote_has_lapsed)
{
  QuotaBorrower borrower(EndpointOf(0), 1, kStart);
  borrower.SetCells({ { kWorkspace, std::make_shared<QuotaCell>() } });
  borrower.SetMembers({ EndpointOf(0), EndpointOf(1), EndpointOf(2) });
  TimePoint lastVote;
  std::optional<Endpoint> first;
  bool revoted = false;
  for (TimePoint now = kStart; now < kStart + 12s; now += kStep) {
    const auto send = borrower.Poll(now, false);
    if (!send) {
      continue;
    }
    const QuotaRequest& request = send->request;
    first = first.value_or(request.lender);
    if (request.vote.run != 0 && request.lender == *first) {
      lastVote = now;
    } else if (request.vote.run != 0) {
      BOOST_TEST((now - lastVote > kVoteLife));
      revoted = true;
    }
    // The first lender falls silent.
    if (request.lender != *first || now < kStart + 4s) {
      borrower.OnReply(ReplyTo(request, request.lender.address - 1, 0), now);
    }
  }
  BOOST_TEST((lastVote > kStart + 3s));
  BOOST_TEST(revoted);
}

BOOST_AUTO_TEST_CASE(needs_that_do_not_fit_follow_in_the_next_request)
{
  QuotaBorrower borrower(EndpointOf(0), 1, kStart);
  QuotaCells cells;
  constexpr std::size_t kCells = 72;
  for (WorkspaceId id = 1; id <= kCells; ++id) {
    cells[id] = std::make_shared<QuotaCell>();
    cells[id]->waiting = 1;
  }
  borrower.SetCells(cells);
  const auto first = borrower.Poll(kStart + 1s, true);
  const auto second = borrower.Poll(kStart + 1s + kStep, true);
  BOOST_REQUIRE(first.has_value());
  BOOST_REQUIRE(second.has_value());
  BOOST_TEST(first->request.needs.size() == kMaxQuotaEntries);
  BOOST_TEST(second->request.needs.size() == kCells - kMaxQuotaEntries);
  BOOST_TEST(!borrower.Poll(kStart + 1s + 2 * kStep, false).has_value());
}

BOOST_AUTO_TEST_CASE(the_only_lender_is_not_asked_again_at_once_when_it_leaves)
{
  QuotaBorrower borrower(EndpointOf(0), 1, kStart);
  borrower.SetCells({ { kWorkspace, std::make_shared<QuotaCell>() } });
  const auto send = borrower.Poll(kStart + 1s, false);
  BOOST_REQUIRE(send.has_value());
  QuotaReply reply = ReplyTo(send->request, 0, 0);
  reply.leaving = true;
  borrower.OnReply(reply, kStart + 1s);
  BOOST_TEST(!borrower.Poll(kStart + 1s, false).has_value());
  BOOST_TEST(borrower.Poll(kStart + 2s, false).has_value());
}

BOOST_AUTO_TEST_CASE(an_earlier_run_may_have_voted)
{
  QuotaBorrower borrower(EndpointOf(0), 1, kStart);
  borrower.SetCells({ { kWorkspace, std::make_shared<QuotaCell>() } });
  for (TimePoint now = kStart; now <= kStart + kVoteLife; now += kStep) {
    if (const auto send = borrower.Poll(now, false)) {
      BOOST_TEST(send->request.vote.run == 0U);
      borrower.OnReply(ReplyTo(send->request, 0, 0), now);
    }
  }
}

BOOST_AUTO_TEST_CASE(requests_pass_a_broken_link_by_way_of_other_daemons)
{
  QuotaRequest request{ EndpointOf(0), EndpointOf(1) };
  const auto target = [&](std::size_t aSelf, std::optional<Endpoint> aLender) {
    return RelayTarget(request, EndpointOf(aSelf), aLender);
  };
  BOOST_TEST((target(2, std::nullopt) == EndpointOf(1)));
  BOOST_TEST((target(1, EndpointOf(3)) == EndpointOf(3)));
  BOOST_TEST((target(1, EndpointOf(1)) == std::nullopt));
  request.vote.run = 1;
  BOOST_TEST((target(1, EndpointOf(3)) == std::nullopt));
  request.relayed = true;
  BOOST_TEST((target(2, std::nullopt) == std::nullopt));
}

BOOST_AUTO_TEST_CASE(a_token_is_put_back_only_before_it_is_reported_as_spent)
{
  const TimePoint now = TimePoint() + 10s;
  QuotaCell cell;
  cell.Add(1, now + 1s);
  const auto period = cell.Period();
  BOOST_TEST(cell.TryTake(now));
  cell.PutBack(period);
  BOOST_TEST(cell.TryTake(now));
  cell.StartPeriod();
  cell.PutBack(period);
  BOOST_TEST(!cell.TryTake(now));
}

BOOST_AUTO_TEST_SUITE_END()

}
