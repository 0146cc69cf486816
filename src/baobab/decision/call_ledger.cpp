#include "baobab/decision/call_ledger.hpp"

#include <algorithm>

namespace baobab {
namespace {

/// Connections that are remembered for each sender. The status of a call that
/// was sent on an older one and has no record is unknown.
constexpr std::size_t kMaxConnections = 64;

/// Bytes of an answer that count against the limit.
std::size_t
SizeOf(const Response& aResponse)
{
  std::size_t size = aResponse.body.size();
  for (const HeaderField& field : aResponse.headers) {
    size += field.name.size() + field.value.size();
  }
  return size;
}

}

CallLedger::CallLedger(std::size_t aAnswerBytes)
  : maxAnswerBytes(aAnswerBytes)
{
}

OpenedConnection
CallLedger::Open(std::uint64_t aSender, ConnectionNumber aConnection)
{
  const auto [found, added] = this->senders.try_emplace(aSender);
  Sender& sender = found->second;
  if (!added && aConnection <= sender.current) {
    return {};
  }
  OpenedConnection opened{ true, std::nullopt };
  if (sender.open) {
    opened.retired = sender.current;
  }
  sender.current = aConnection;
  sender.connections.push_back(aConnection);
  if (sender.connections.size() > kMaxConnections) {
    sender.connections.pop_front();
  }
  sender.open = true;
  return opened;
}

void
CallLedger::Close(std::uint64_t aSender,
                  ConnectionNumber aConnection,
                  TimePoint aNow)
{
  const auto found = this->senders.find(aSender);
  if (found == this->senders.end()) {
    return;
  }
  Sender& sender = found->second;
  std::vector<CallId> dropped;
  for (const std::uint64_t sequence : sender.sequences) {
    const CallId id{ aSender, sequence };
    const Record& record = this->records.at(id);
    if (record.state == State::Waiting && record.connection == aConnection) {
      dropped.push_back(id);
    }
  }
  std::ranges::for_each(dropped, [&](const CallId& aId) { this->Erase(aId); });
  if (sender.current == aConnection) {
    sender.open = false;
    sender.closedAt = aNow;
  }
}

bool
CallLedger::RecordArrival(const CallId& aId,
                          ConnectionNumber aConnection,
                          TimePoint aDeadline)
{
  const auto sender = this->senders.find(aId.sender);
  if (sender == this->senders.end() || !sender->second.open ||
      sender->second.current != aConnection) {
    return false;
  }
  const auto [record, added] = this->records.try_emplace(aId);
  if (!added) {
    return false;
  }
  record->second.connection = aConnection;
  record->second.deadline = aDeadline;
  sender->second.sequences.insert(aId.sequence);
  this->byDeadline.emplace(aDeadline, aId);
  return true;
}

bool
CallLedger::Start(const CallId& aId)
{
  const auto found = this->records.find(aId);
  if (found == this->records.end() || found->second.state != State::Waiting) {
    return false;
  }
  found->second.state = State::Running;
  return true;
}

void
CallLedger::Refuse(const CallId& aId)
{
  const auto found = this->records.find(aId);
  if (found != this->records.end() && (found->second.state == State::Waiting ||
                                       found->second.state == State::Running)) {
    this->Erase(aId);
  }
}

void
CallLedger::Finish(const CallId& aId, Response aResponse)
{
  const auto found = this->records.find(aId);
  if (found == this->records.end() || found->second.state != State::Running) {
    return;
  }
  this->answerBytes += SizeOf(aResponse);
  found->second.state = State::Done;
  found->second.response = std::move(aResponse);
  this->EvictAnswers();
}

void
CallLedger::RecordLoss(const CallId& aId)
{
  const auto found = this->records.find(aId);
  if (found != this->records.end() && found->second.state == State::Running) {
    found->second.state = State::Lost;
  }
}

CallStatus
CallLedger::QueryStatus(const CallId& aId, ConnectionNumber aSentOn)
{
  const auto found = this->records.find(aId);
  if (found == this->records.end()) {
    const auto sender = this->senders.find(aId.sender);
    const bool recordsComplete =
      sender != this->senders.end() &&
      std::ranges::binary_search(sender->second.connections, aSentOn) &&
      aId.sequence > sender->second.highestDropped;
    return recordsComplete ? CallStatus{ CallNotRun{} }
                           : CallStatus{ CallUnknown{} };
  }
  switch (found->second.state) {
    case State::Waiting:
      this->Erase(aId);
      return CallNotRun{};
    case State::Running:
      return CallRunning{};
    case State::Done:
      return CallDone{ found->second.response };
    case State::Lost:
      break;
  }
  return CallUnknown{};
}

void
CallLedger::Release(const CallId& aId)
{
  const auto found = this->records.find(aId);
  if (found == this->records.end()) {
    return;
  }
  const State state = found->second.state;
  if (state == State::Done || state == State::Lost) {
    this->Erase(aId);
  }
}

void
CallLedger::Expire(TimePoint aNow)
{
  std::vector<CallId> expired;
  for (const auto& [deadline, id] : this->byDeadline) {
    if (deadline > aNow) {
      break;
    }
    const State state = this->records.at(id).state;
    if (state == State::Done || state == State::Lost) {
      expired.push_back(id);
    }
  }
  std::ranges::for_each(expired,
                        [&](const CallId& aId) { this->EraseUnreleased(aId); });
  std::erase_if(this->senders, [&](const auto& aEntry) {
    const Sender& sender = aEntry.second;
    return !sender.open && sender.sequences.empty() &&
           aNow - sender.closedAt > kSenderRetention;
  });
}

std::optional<ConnectionNumber>
CallLedger::CurrentConnection(std::uint64_t aSender) const
{
  const auto found = this->senders.find(aSender);
  if (found == this->senders.end() || !found->second.open) {
    return std::nullopt;
  }
  return found->second.current;
}

void
CallLedger::Erase(const CallId& aId)
{
  const auto found = this->records.find(aId);
  if (found->second.state == State::Done) {
    this->answerBytes -= SizeOf(found->second.response);
  }
  this->byDeadline.erase({ found->second.deadline, aId });
  this->records.erase(found);
  this->senders.at(aId.sender).sequences.erase(aId.sequence);
}

void
CallLedger::EraseUnreleased(const CallId& aId)
{
  Sender& sender = this->senders.at(aId.sender);
  sender.highestDropped = std::max(sender.highestDropped, aId.sequence);
  this->Erase(aId);
}

void
CallLedger::EvictAnswers()
{
  while (this->answerBytes > this->maxAnswerBytes) {
    const auto oldest = std::ranges::find_if(
      this->byDeadline, [&](const std::pair<TimePoint, CallId>& aEntry) {
        return this->records.at(aEntry.second).state == State::Done;
      });
    // A copy, because the call erases the entry.
    const CallId id = oldest->second;
    this->EraseUnreleased(id);
  }
}

}
