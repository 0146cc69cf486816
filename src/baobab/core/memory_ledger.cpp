#include "baobab/core/memory_ledger.hpp"

namespace baobab {

std::string_view
Name(MemoryPart aPart)
{
  switch (aPart) {
    case MemoryPart::Connections:
      return "connections";
    case MemoryPart::Requests:
      return "requests";
    case MemoryPart::Calls:
      return "calls";
    case MemoryPart::Answers:
      return "answers";
  }
  return "";
}

bool
MemoryLedger::TryTake(MemoryPart aPart, std::size_t aBytes, bool aSmall)
{
  const auto bytes = static_cast<std::int64_t>(aBytes);
  auto& held = this->parts[Index(aPart)].held;
  if (!this->bounds.Bounded()) {
    held.fetch_add(bytes, std::memory_order_relaxed);
    this->total.fetch_add(bytes, std::memory_order_relaxed);
    return true;
  }
  const std::int64_t reserve = aSmall ? this->bounds.reserve : 0;
  const std::int64_t ofPart =
    held.fetch_add(bytes, std::memory_order_relaxed) + bytes;
  const std::int64_t ofAll =
    this->total.fetch_add(bytes, std::memory_order_relaxed) + bytes;
  if (ofPart <= this->bounds.parts[Index(aPart)] + reserve &&
      ofAll <= this->bounds.total + reserve) {
    return true;
  }
  this->Return(aPart, aBytes);
  return false;
}

void
MemoryLedger::Take(MemoryPart aPart, std::size_t aBytes)
{
  const auto bytes = static_cast<std::int64_t>(aBytes);
  this->parts[Index(aPart)].held.fetch_add(bytes, std::memory_order_relaxed);
  this->total.fetch_add(bytes, std::memory_order_relaxed);
}

void
MemoryLedger::Return(MemoryPart aPart, std::size_t aBytes)
{
  const auto bytes = static_cast<std::int64_t>(aBytes);
  this->parts[Index(aPart)].held.fetch_sub(bytes, std::memory_order_relaxed);
  this->total.fetch_sub(bytes, std::memory_order_relaxed);
}

MemoryLedger&
ProcessMemory()
{
  static MemoryLedger ledger;
  return ledger;
}

bool
HeldMemory::TryHold(std::size_t aBytes, bool aSmall)
{
  if (aBytes > this->bytes && this->ledger != nullptr &&
      !this->ledger->TryTake(this->part, aBytes - this->bytes, aSmall)) {
    return false;
  }
  if (aBytes < this->bytes && this->ledger != nullptr) {
    this->ledger->Return(this->part, this->bytes - aBytes);
  }
  this->bytes = aBytes;
  return true;
}

void
HeldMemory::Account(std::size_t aBytes)
{
  if (this->ledger == nullptr || aBytes == this->bytes) {
    return;
  }
  if (aBytes > this->bytes) {
    this->ledger->Take(this->part, aBytes - this->bytes);
  } else {
    this->ledger->Return(this->part, this->bytes - aBytes);
  }
  this->bytes = aBytes;
}

void
HeldMemory::MarkRefused()
{
  this->Release();
  this->refused = true;
  if (this->ledger != nullptr) {
    this->ledger->RecordRefusal(this->part);
  }
}

}
