/// @file
/// Account of the bytes that messages hold in this process.
#pragma once

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <string_view>
#include <utility>

namespace baobab {

/// Largest answer that may use the reserve: its call has run, and without the
/// answer its outcome would be unknown.
constexpr std::size_t kReservedAnswerBytes = 256U << 10U;

/// What the bytes are used for.
enum class MemoryPart : std::uint8_t
{
  /// Connections of callers with their buffers.
  Connections,
  /// Requests that callers send, until they are answered.
  Requests,
  /// Calls that other daemons send, until they are answered.
  Calls,
  /// Answers of targets, until they are passed on.
  Answers,
};

constexpr std::size_t kMemoryParts = 4;

/// Returns the name of a part in metrics. These names are stable.
std::string_view Name(MemoryPart aPart);

/// Largest number of bytes of each part and of all together.
struct MemoryBounds
{
  static constexpr std::int64_t kUnbounded =
    std::numeric_limits<std::int64_t>::max();

  std::array<std::int64_t, kMemoryParts> parts{ kUnbounded,
                                                kUnbounded,
                                                kUnbounded,
                                                kUnbounded };
  std::int64_t total = kUnbounded;
  /// Bytes beyond the bounds that only small messages may take.
  std::int64_t reserve = 0;
  /// True if memory that is reserved but not written to is in use as well, as
  /// it is for resource limits of the process.
  bool reservedCounts = false;

  bool Bounded() const { return this->total != kUnbounded; }
};

/// Counts the bytes that messages hold. Threads share it without locks.
class MemoryLedger
{
public:
  /// Sets the bounds. Call it before other threads use the ledger.
  void SetBounds(const MemoryBounds& aBounds) { this->bounds = aBounds; }
  const MemoryBounds& Bounds() const { return this->bounds; }

  /// Takes bytes unless a bound would be exceeded.
  /// @param aSmall true if the message may use the reserve
  bool TryTake(MemoryPart aPart, std::size_t aBytes, bool aSmall = false);

  /// Takes bytes that are in use already, whatever the bounds.
  void Take(MemoryPart aPart, std::size_t aBytes);

  void Return(MemoryPart aPart, std::size_t aBytes);

  std::int64_t Held(MemoryPart aPart) const
  {
    return this->parts[Index(aPart)].held.load(std::memory_order_relaxed);
  }
  std::int64_t Total() const
  {
    return this->total.load(std::memory_order_relaxed);
  }

  /// Records that a message was refused or discarded for lack of memory.
  void RecordRefusal(MemoryPart aPart)
  {
    this->parts[Index(aPart)].refusals.fetch_add(1, std::memory_order_relaxed);
  }
  std::uint64_t Refusals(MemoryPart aPart) const
  {
    return this->parts[Index(aPart)].refusals.load(std::memory_order_relaxed);
  }

private:
  static constexpr std::size_t Index(MemoryPart aPart)
  {
    return static_cast<std::size_t>(aPart);
  }

  struct Part
  {
    std::atomic<std::int64_t> held{ 0 };
    std::atomic<std::uint64_t> refusals{ 0 };
  };

  MemoryBounds bounds;
  std::array<Part, kMemoryParts> parts;
  std::atomic<std::int64_t> total{ 0 };
};

/// Returns the ledger of this process.
MemoryLedger& ProcessMemory();

/// Bytes that an object holds in the ledger, and returns when it is destroyed.
/// A copy holds the same number of bytes once more.
class HeldMemory
{
public:
  HeldMemory() = default;
  explicit HeldMemory(MemoryPart aPart, MemoryLedger& aLedger = ProcessMemory())
    : ledger(&aLedger)
    , part(aPart)
  {
  }
  HeldMemory(const HeldMemory& aOther)
    : ledger(aOther.ledger)
    , part(aOther.part)
    , refused(aOther.refused)
  {
    this->Account(aOther.bytes);
  }
  HeldMemory(HeldMemory&& aOther) noexcept
    : ledger(aOther.ledger)
    , part(aOther.part)
    , refused(aOther.refused)
    , bytes(std::exchange(aOther.bytes, 0))
  {
  }
  HeldMemory& operator=(HeldMemory aOther) noexcept
  {
    std::swap(this->ledger, aOther.ledger);
    std::swap(this->part, aOther.part);
    std::swap(this->refused, aOther.refused);
    std::swap(this->bytes, aOther.bytes);
    return *this;
  }
  ~HeldMemory() { this->Release(); }

  /// Holds a number of bytes in all. Returns false, and changes nothing, if a
  /// bound would be exceeded.
  bool TryHold(std::size_t aBytes, bool aSmall = false);

  /// Holds a number of bytes in all, whatever the bounds.
  void Account(std::size_t aBytes);

  void Release() { this->Account(0); }

  std::size_t Bytes() const { return this->bytes; }

  /// Records that the message lost its body because there was no memory for it.
  void MarkRefused();
  bool Refused() const { return this->refused; }

  /// Accounting is no part of a message's value.
  bool operator==(const HeldMemory& /*aOther*/) const { return true; }

private:
  MemoryLedger* ledger = nullptr;
  MemoryPart part = MemoryPart::Requests;
  bool refused = false;
  std::size_t bytes = 0;
};

}
