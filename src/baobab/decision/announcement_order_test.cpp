#include "baobab/decision/announcement_filter.hpp"

#include <array>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <vector>

namespace baobab {
namespace {

constexpr Duration kMaxDelay = 10s;
constexpr Duration kStepTime = 1ms;

/// What may happen to a target and the daemon beside it.
enum class Step : std::uint8_t
{
  /// An announcement is sent and arrives at once.
  Announce,
  /// An announcement is sent and held up.
  AnnounceLate,
  /// The first announcement that is held up arrives; it may arrive again.
  DeliverFirst,
  DeliverLast,
  /// The target announces that it leaves.
  Drain,
  Delete,
  /// Another process of the target starts.
  NewInstance,
  NewInstanceClockBack,
  SameInstance,
  RestartDaemon,
  Wait,
};

constexpr std::array kSteps = {
  Step::Announce,      Step::AnnounceLate, Step::DeliverFirst,
  Step::DeliverLast,   Step::Drain,        Step::Delete,
  Step::NewInstance,   Step::SameInstance, Step::NewInstanceClockBack,
  Step::RestartDaemon, Step::Wait,
};

struct Process
{
  std::string instance = "i-0";
  std::int64_t startedAtMs = 1000000;
  std::int64_t sequence = 0;
  bool leaving = false;
  /// A daemon has acknowledged that the process leaves.
  bool departureAcknowledged = false;
};

/// A target, the daemon beside it, and announcements on their way.
class World
{
public:
  World()
    : filter(kMaxDelay, this->now)
  {
    this->Discover();
  }

  void Perform(Step aStep)
  {
    this->now += kStepTime;
    switch (aStep) {
      case Step::Announce:
        this->Deliver(this->MakeAnnouncement());
        break;
      case Step::AnnounceLate:
        this->delayed.push_back({ this->MakeAnnouncement(), this->now });
        break;
      case Step::DeliverFirst:
        if (!this->delayed.empty()) {
          this->DeliverDelayed(this->delayed.front());
        }
        break;
      case Step::DeliverLast:
        if (!this->delayed.empty()) {
          this->DeliverDelayed(this->delayed.back());
        }
        break;
      case Step::Drain:
        this->process.leaving = true;
        this->Deliver(this->MakeAnnouncement());
        this->process.departureAcknowledged = true;
        break;
      case Step::Delete:
        this->process.leaving = true;
        if (this->filter.RecordDeparture(
              this->process.instance, std::nullopt, this->now)) {
          this->state = TargetState::Leaving;
        }
        this->process.departureAcknowledged = true;
        break;
      case Step::NewInstance:
        this->Replace("i-" + std::to_string(++this->starts), 1000);
        break;
      case Step::NewInstanceClockBack:
        this->Replace("i-" + std::to_string(++this->starts), -1000);
        break;
      case Step::SameInstance:
        this->Replace(this->process.instance, 1000);
        break;
      case Step::RestartDaemon:
        this->filter = AnnouncementFilter(kMaxDelay, this->now);
        this->state = TargetState::None;
        this->Discover();
        break;
      case Step::Wait:
        this->now += kMaxDelay / 2;
        break;
    }
  }

  /// True if requests would run at a process whose departure is acknowledged.
  bool SendsToDeparted() const
  {
    return this->IsUsed() && this->process.departureAcknowledged;
  }

  /// True if an announcement that arrives at once does not make the running
  /// process used, though it is not leaving.
  bool IgnoresRunningProcess()
  {
    if (this->process.leaving) {
      return false;
    }
    this->Perform(Step::Announce);
    return !this->IsUsed();
  }

private:
  struct Delayed
  {
    TargetAnnouncement announcement;
    TimePoint sentAt;
  };

  bool IsUsed() const
  {
    return this->state == TargetState::Ready &&
           this->filter.Current().instance == this->process.instance;
  }

  void Replace(std::string aInstance, std::int64_t aLaterMs)
  {
    this->process = { std::move(aInstance),
                      this->process.startedAtMs + aLaterMs };
  }

  TargetAnnouncement MakeAnnouncement()
  {
    TargetAnnouncement announcement;
    announcement.instance = this->process.instance;
    announcement.startedAtMs = this->process.startedAtMs;
    announcement.sequence = ++this->process.sequence;
    announcement.announcement.state =
      this->process.leaving ? TargetState::Leaving : TargetState::Ready;
    return announcement;
  }

  TargetProof AskProcess() const
  {
    return { this->process.instance, !this->process.leaving, this->now };
  }

  void DeliverDelayed(const Delayed& aDelayed)
  {
    if (this->now - aDelayed.sentAt < kMaxDelay) {
      this->Deliver(aDelayed.announcement);
    }
  }

  void Deliver(const TargetAnnouncement& aAnnouncement)
  {
    auto verdict = this->filter.Accept(aAnnouncement, std::nullopt, this->now);
    if (verdict == AnnouncementVerdict::Unproven) {
      verdict =
        this->filter.Accept(aAnnouncement, this->AskProcess(), this->now);
    }
    if (verdict == AnnouncementVerdict::Accepted) {
      this->state = aAnnouncement.announcement.state;
    }
  }

  void Discover()
  {
    const TargetProof proof = this->AskProcess();
    if (!proof.healthy) {
      return;
    }
    TargetAnnouncement found;
    found.instance = proof.instance;
    found.announcement.state = TargetState::Ready;
    if (this->filter.Accept(found, proof, this->now) ==
        AnnouncementVerdict::Accepted) {
      this->state = TargetState::Ready;
    }
  }

  TimePoint now{ 1000s };
  AnnouncementFilter filter;
  /// State of the target as the daemon believes.
  TargetState state = TargetState::None;
  Process process;
  std::deque<Delayed> delayed;
  int starts = 0;
};

/// Extends an order of steps to all longer ones and checks each.
/// @return number of orders in which a property did not hold
int
CountViolations(const World& aWorld,
                std::vector<Step>& aOrder,
                std::size_t aLength)
{
  int violations = 0;
  for (const Step step : kSteps) {
    World next = aWorld;
    next.Perform(step);
    aOrder.push_back(step);
    World probe = next;
    const bool violated =
      next.SendsToDeparted() || probe.IgnoresRunningProcess();
    if (violated) {
      std::string order;
      for (const Step performed : aOrder) {
        order += std::to_string(static_cast<int>(performed)) + " ";
      }
      BOOST_TEST_MESSAGE("violated after steps " << order);
      ++violations;
    } else if (aOrder.size() < aLength) {
      violations += CountViolations(next, aOrder, aLength);
    }
    aOrder.pop_back();
  }
  return violations;
}

}

BOOST_AUTO_TEST_SUITE(announcement_order)

// In every order of announcements that arrive late or twice with departures and
// with restarts of the target and of the daemon, no call is sent to a target
// whose departure was acknowledged, and a target that stays is used.
BOOST_AUTO_TEST_CASE(no_order_brings_back_a_target_that_has_left)
{
  constexpr std::size_t kLength = 6;
  std::vector<Step> order;
  BOOST_TEST(CountViolations(World(), order, kLength) == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}
