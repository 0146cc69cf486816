#include "baobab/node/quarantine_agent.hpp"

#include "baobab/decision/rendezvous.hpp"
#include "baobab/decision/suspicion_list.hpp"
#include "baobab/net/clock.hpp"
#include "baobab/net/log.hpp"
#include "baobab/net/log_events.hpp"

#include <algorithm>
#include <boost/fiber/operations.hpp>

namespace baobab {
namespace {

constexpr std::string_view kPrefix = "quarantine/";
constexpr std::string_view kKey = "quarantine/confirmed";
constexpr std::string_view kKeeperRole = "quarantine-keeper";

/// Mean time between attempts while the store fails.
constexpr Duration kRetryInterval = 500ms;

/// Time after the first read at which the list is read once more: a read at
/// the start may return data that is a few seconds old.
constexpr Duration kSecondReadDelay = 5s;

/// Time that the daemon of the crashed target has to store a suspicion before
/// the keeper does.
constexpr Duration kKeeperDelay = 2s;

/// Time between checks whether this daemon has become the keeper.
constexpr Duration kKeeperPeriod = 30s;

WallTime
WallNow()
{
  return std::chrono::system_clock::now();
}

}

QuarantineAgent::QuarantineAgent(std::unique_ptr<Store> aStore,
                                 Quarantine& aQuarantine,
                                 Membership& aMembership)
  : store(std::move(aStore))
  , quarantine(aQuarantine)
  , membership(aMembership)
  , random(EntropySeed())
{
}

void
QuarantineAgent::Run()
{
  this->Restore();
  TimePoint secondRead = Now() + kSecondReadDelay;
  while (true) {
    this->changed.WaitUntil(std::min(secondRead, this->nextKeeperCheck));
    if (Now() >= secondRead) {
      secondRead = TimePoint::max();
      this->Restore();
    }
    if (this->ShouldStore()) {
      this->StoreConfirmed();
    }
  }
}

void
QuarantineAgent::OnStoreLoss()
{
  this->quarantine.MarkAllUnstored();
  this->changed.Notify();
}

/// True if this daemon is to store suspicions now: its own at once, others if
/// it is the keeper and they were not stored for some time.
bool
QuarantineAgent::ShouldStore()
{
  const TimePoint now = Now();
  if (!this->quarantine.HasUnstored(now)) {
    this->nextKeeperCheck = TimePoint::max();
    return false;
  }
  if (this->quarantine.HasUnstoredOfThisHost(now)) {
    return true;
  }
  if (this->nextKeeperCheck == TimePoint::max()) {
    this->nextKeeperCheck = now + kKeeperDelay;
    return false;
  }
  if (now < this->nextKeeperCheck) {
    return false;
  }
  this->nextKeeperCheck = now + kKeeperPeriod;
  return this->IsKeeper();
}

/// Stores the confirmed suspicions; tries again until it succeeds.
void
QuarantineAgent::StoreConfirmed()
{
  while (this->quarantine.HasUnstored(Now())) {
    const auto written = this->Write();
    if (!Succeeded(written)) {
      Log(kQuarantineNotStored, Failure(written));
      this->SleepBeforeRetry();
    }
  }
}

void
QuarantineAgent::SleepBeforeRetry()
{
  const double jitter = 0.5 + UniformFraction(this->random);
  boost::this_fiber::sleep_for(
    std::chrono::duration_cast<Duration>(kRetryInterval * jitter));
}

/// Reads the stored suspicions; tries again until the store answers.
void
QuarantineAgent::Restore()
{
  while (true) {
    const auto lists = this->store->ReadAll(kPrefix);
    if (Succeeded(lists)) {
      for (const StoredObject& list : Value(lists)) {
        this->Merge(ParseSuspicions(list.value, WallNow()));
      }
      return;
    }
    this->SleepBeforeRetry();
  }
}

void
QuarantineAgent::Merge(const std::vector<Suspicion>& aSuspicions)
{
  for (const Suspicion& suspicion : aSuspicions) {
    this->quarantine.Merge(suspicion, Now());
  }
  this->quarantine.MarkStored(aSuspicions);
  if (!aSuspicions.empty()) {
    Log(kQuarantineRead, aSuspicions.size());
    if (this->onSuspicions) {
      this->onSuspicions();
    }
  }
}

/// True if this daemon stores suspicions that the daemon of the crashed target
/// did not store.
bool
QuarantineAgent::IsKeeper() const
{
  std::vector<Endpoint> members;
  for (const MemberRecord& member : this->membership.LiveMembers(Now())) {
    members.push_back(member.endpoint);
  }
  const auto keepers = RendezvousPick(members, kKeeperRole, 1);
  return keepers.front() == this->membership.Self().endpoint;
}

/// Adds the confirmed suspicions to the stored list. Fails if the store fails
/// or another daemon changed the list meanwhile.
Result<Done>
QuarantineAgent::Write()
{
  const auto object = this->store->Get(kKey);
  if (!Succeeded(object)) {
    return Failure(object);
  }
  PutCondition condition;
  std::vector<Suspicion> stored;
  if (Value(object)) {
    condition.version = Value(object)->version;
    stored = ParseSuspicions(Value(object)->value, WallNow());
    this->Merge(stored);
  }
  const std::vector<Suspicion> confirmed = this->quarantine.Confirmed(Now());
  if (!this->quarantine.HasUnstored(Now())) {
    return Done{};
  }
  const auto merged = MergeSuspicions(
    std::move(stored), confirmed, this->quarantine.Cleared(Now()));
  const auto written =
    this->store->Put(kKey, FormatSuspicions(merged, WallNow()), condition);
  if (!Succeeded(written)) {
    return Failure(written);
  }
  this->quarantine.MarkStored(confirmed);
  Log(kQuarantineStored, merged.size());
  return Done{};
}

}
