#include "baobab/node/key_lease_agent.hpp"

#include "baobab/net/clock.hpp"
#include "baobab/net/worker.hpp"

#include <algorithm>
#include <boost/fiber/operations.hpp>

namespace baobab {
namespace {

constexpr Duration kCheckPeriod = 50ms;

/// Questions to the store at once, of which each waits for a slow store.
constexpr std::size_t kMaxStoreQuestions = 4;

}

KeyLeaseAgent::KeyLeaseAgent(ConfigAgent& aConfig,
                             GossipAgent& aGossip,
                             Membership& aMembership,
                             RoutePublisher& aPublisher,
                             LeaseCell& aCell,
                             const Settings& aSettings)
  : config(aConfig)
  , gossip(aGossip)
  , membership(aMembership)
  , publisher(aPublisher)
  , cell(aCell)
  , settings(aSettings)
  , lease(aSettings.workspaces.revocationTime, EntropySeed())
{
}

void
KeyLeaseAgent::Run()
{
  if (this->settings.workspaces.revocationTime == Millis::zero()) {
    return;
  }
  while (true) {
    boost::this_fiber::sleep_for(kCheckPeriod);
    if (!this->Needed()) {
      continue;
    }
    auto ranked = this->config.RankedZone();
    const auto self =
      std::ranges::find(ranked, this->membership.Self().endpoint);
    const auto rank = static_cast<std::size_t>(self - ranked.begin());
    if (this->storeQuestions < kMaxStoreQuestions &&
        this->lease.ShouldAskStore(
          rank,
          static_cast<std::size_t>(this->settings.control.readersPerZone),
          this->membership.Size(),
          BootNow())) {
      Spawn([this] { this->AskStore(); });
    }
    if (self != ranked.end()) {
      ranked.erase(self);
    }
    this->AskPeer(ranked);
  }
}

bool
KeyLeaseAgent::Needed() const
{
  return std::ranges::any_of(this->publisher.CurrentConfiguration()->Services(),
                             [](const auto& aService) {
                               return !aService->spec.retired &&
                                      !aService->spec.workspaces.empty();
                             });
}

void
KeyLeaseAgent::AskStore()
{
  ++this->storeQuestions;
  if (const auto proof = this->config.Prove()) {
    this->lease.Confirm(*proof);
    this->Publish();
  }
  --this->storeQuestions;
}

void
KeyLeaseAgent::AskPeer(const std::vector<Endpoint>& aRanked)
{
  if (const auto question = this->lease.NextQuestion(aRanked, BootNow())) {
    this->gossip.SendLease(
      question->peer,
      { false, question->nonce, 0, 0ms, this->membership.Self().endpoint });
  }
}

void
KeyLeaseAgent::Handle(const LeaseMessage& aMessage)
{
  if (aMessage.answer) {
    if (this->lease.OnAnswer(
          aMessage.sender, aMessage.nonce, aMessage.generation, aMessage.age)) {
      this->Publish();
      this->config.OnPeerGeneration(aMessage.sender, aMessage.generation);
    }
    return;
  }
  if (const auto age = this->lease.Age(BootNow())) {
    this->gossip.SendLease(aMessage.sender,
                           { true,
                             aMessage.nonce,
                             this->lease.Latest()->generation,
                             *age,
                             this->membership.Self().endpoint });
  }
}

void
KeyLeaseAgent::Publish()
{
  // A proof of a newer configuration takes the place of an earlier one only
  // when that is in force: until then the earlier one still holds.
  if (const auto& proof = this->lease.Latest();
      proof && proof->generation <= this->config.Generation()) {
    this->cell.Set(*proof);
  }
}

}
