#include "baobab/decision/pipeline_order.hpp"

#include <algorithm>
#include <numeric>

namespace baobab {

bool
PipelineOrder::MayRead() const
{
  if (this->closed || this->reading || this->entries.size() >= kMaxRequests) {
    return false;
  }
  const std::size_t held =
    std::accumulate(this->entries.begin(),
                    this->entries.end(),
                    std::size_t{ 0 },
                    [](std::size_t aSum, const Request& aRequest) {
                      return aSum + aRequest.entry.bytes;
                    });
  return this->entries.empty() ||
         (held < kMaxHeldBytes &&
          std::ranges::all_of(this->entries, [](const Request& aRequest) {
            return aRequest.entry.overlaps;
          }));
}

PipelineOrder::Ticket
PipelineOrder::Admit(Entry aEntry)
{
  this->reading = false;
  this->closed = this->closed || aEntry.closes;
  this->entries.push_back({ this->next, aEntry });
  return this->next++;
}

void
PipelineOrder::EndRead()
{
  this->reading = false;
  this->closed = true;
}

PipelineOrder::Turn
PipelineOrder::StartTurn(Ticket aTicket)
{
  if (this->withdrawn) {
    return Turn::Drop;
  }
  const auto request = this->Find(aTicket);
  // Nothing is read behind a request that runs alone, so those before this one
  // overlap.
  return request->entry.overlaps || request == this->entries.begin()
           ? Turn::Go
           : Turn::Wait;
}

void
PipelineOrder::SetHeldBytes(Ticket aTicket, std::size_t aBytes)
{
  this->Find(aTicket)->entry.bytes = aBytes;
}

PipelineOrder::Turn
PipelineOrder::WriteTurn(Ticket aTicket) const
{
  if (this->broken) {
    return Turn::Drop;
  }
  return this->entries.front().ticket == aTicket ? Turn::Go : Turn::Wait;
}

bool
PipelineOrder::EndsAfter(Ticket aTicket, bool aStopping)
{
  const bool last = this->entries.back().ticket == aTicket && !this->reading;
  const bool ends =
    this->Find(aTicket)->entry.closes || (last && (aStopping || this->closed));
  this->closed = this->closed || ends;
  return ends;
}

void
PipelineOrder::Remove(Ticket aTicket)
{
  this->entries.erase(this->Find(aTicket));
}

void
PipelineOrder::Withdraw()
{
  this->closed = true;
  this->withdrawn = true;
}

void
PipelineOrder::Break()
{
  this->Withdraw();
  this->broken = true;
}

std::vector<PipelineOrder::Request>::iterator
PipelineOrder::Find(Ticket aTicket)
{
  return std::ranges::find(this->entries, aTicket, &Request::ticket);
}

}
