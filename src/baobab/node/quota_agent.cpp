#include "baobab/node/quota_agent.hpp"

#include "baobab/core/random.hpp"
#include "baobab/decision/quota_relay.hpp"
#include "baobab/net/clock.hpp"
#include "baobab/net/log.hpp"
#include "baobab/net/log_events.hpp"
#include "baobab/wire/quota_codec.hpp"

#include <algorithm>
#include <boost/fiber/operations.hpp>
#include <utility>

namespace baobab {
namespace {

constexpr Duration kTimerPeriod = 50ms;

/// Period while no workspace has a limit.
constexpr Duration kIdlePeriod = 250ms;

/// Time between two lines about the refusals of one workspace.
constexpr Duration kLinePeriod = 10s;

/// Returns a number that tells this run of the daemon from others.
std::uint32_t
RandomRun()
{
  return static_cast<std::uint32_t>(EntropySeed()) | 1U;
}

}

QuotaAgent::QuotaAgent(Membership& aMembership,
                       QuotaGate& aGate,
                       Sender aSender)
  : membership(aMembership)
  , gate(aGate)
  , sender(std::move(aSender))
  , lender(aMembership.Self().endpoint, RandomRun(), Now())
  , borrower(aMembership.Self().endpoint, RandomRun(), Now())
{
}

void
QuotaAgent::SetConfiguration(const Configuration& aConfiguration)
{
  QuotaLimits limits;
  QuotaCells next;
  std::unordered_map<WorkspaceId, Limited> limited;
  for (const auto& service : aConfiguration.Services()) {
    for (const WorkspaceSpec& workspace : service->spec.workspaces) {
      if (service->spec.retired || workspace.ratePerSecond <= 0) {
        continue;
      }
      const WorkspaceId id = IdOfWorkspace(workspace.name);
      limits[id] = { workspace.ratePerSecond, workspace.burst };
      const auto held = this->cells.find(id);
      next[id] = held == this->cells.end() ? std::make_shared<QuotaCell>()
                                           : held->second;
      limited[id].name = workspace.name;
    }
  }
  this->workspaces = std::move(limited);
  this->lender.SetLimits(std::move(limits), Now());
  this->borrower.SetCells(next);
  if (next != this->cells) {
    this->gate.SetCells(next);
    this->cells = std::move(next);
  }
}

void
QuotaAgent::Run()
{
  while (true) {
    boost::this_fiber::sleep_for(this->cells.empty() ? kIdlePeriod
                                                     : kTimerPeriod);
    const TimePoint now = Now();
    this->UpdateMembers(now);
    this->Poll();
    this->LogLender(now);
    this->LogRefusals(now);
  }
}

void
QuotaAgent::UpdateMembers(TimePoint aNow)
{
  this->lender.SetFleetSize(
    std::max(this->membership.Size(), this->membership.SeedCount() + 1), aNow);
  if (this->cells.empty() ||
      this->membersVersion == this->membership.Version()) {
    return;
  }
  this->membersVersion = this->membership.Version();
  std::vector<Endpoint> members;
  for (const MemberRecord& member : this->membership.LiveMembers(aNow)) {
    if (member.state != MemberState::Unreachable) {
      members.push_back(member.endpoint);
    }
  }
  this->borrower.SetMembers(members);
}

void
QuotaAgent::Poll()
{
  const TimePoint now = Now();
  this->gate.SetLender(this->borrower.Lender(now).has_value());
  if (const auto send = this->borrower.Poll(now, this->gate.AnyWaiting())) {
    this->Send(send->to, send->request);
  }
}

void
QuotaAgent::Handle(std::span<const std::uint8_t> aBytes, const Endpoint& aFrom)
{
  ++this->counts.received;
  auto message = DecodeQuota(aBytes);
  if (!Succeeded(message)) {
    this->counts.refused.Record(Failure(message).message, Now());
    return;
  }
  this->Receive(std::move(Value(message)), aFrom);
}

void
QuotaAgent::Receive(QuotaMessage aMessage, const Endpoint& aFrom)
{
  const Endpoint& self = this->membership.Self().endpoint;
  if (auto* reply = std::get_if<QuotaReply>(&aMessage)) {
    if (reply->borrower == self) {
      this->borrower.OnReply(*reply, Now());
      this->Poll();
    } else if (!std::exchange(reply->relayed, true)) {
      this->Send(reply->borrower, *reply);
    }
    return;
  }
  auto& request = std::get<QuotaRequest>(aMessage);
  const auto next = RelayTarget(request, self, this->borrower.Lender(Now()));
  if (next) {
    request.relayed = true;
    this->Send(*next, request);
  } else {
    this->Send(aFrom, this->lender.Handle(request, Now()));
  }
}

void
QuotaAgent::Send(const Endpoint& aTo, const QuotaMessage& aMessage)
{
  const Endpoint self = this->membership.Self().endpoint;
  if (aTo == self) {
    this->Receive(aMessage, self);
    return;
  }
  const std::string bytes = EncodeQuota(aMessage);
  ++this->counts.sent;
  this->counts.sentBytes += bytes.size();
  this->sender(aTo, bytes);
}

bool
QuotaAgent::Lends()
{
  return this->lender.Lends(Now());
}

std::int64_t
QuotaAgent::Lent()
{
  return this->lender.Lent(Now());
}

std::int64_t
QuotaAgent::Held() const
{
  return this->borrower.Held(Now());
}

void
QuotaAgent::LogLender(TimePoint aNow)
{
  const auto current = this->borrower.Lender(aNow);
  if (current && current != this->loggedLender) {
    this->loggedLender = current;
    Log(kQuotaLender, *current);
  }
}

void
QuotaAgent::LogRefusals(TimePoint aNow)
{
  for (auto& [id, workspace] : this->workspaces) {
    QuotaCell& cell = *this->cells.at(id);
    if (aNow >= workspace.nextLine &&
        cell.refused.load(std::memory_order_relaxed) > 0) {
      workspace.nextLine = aNow + kLinePeriod;
      Log(kQuotaExceeded, workspace.name, cell.refused.exchange(0));
    }
  }
}

}
