/// @file
/// Compares what callers were told with what targets ran.
#pragma once

#include "baobab/core/result.hpp"
#include "baobab/load/call_result.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace baobab {

/// One line of a target's record.
struct RunRecord
{
  std::uint64_t number = 0;
  std::string target;
  std::chrono::milliseconds at{ 0 };
};

/// A target's record: what ran, and since when it was leaving.
struct TargetRecord
{
  std::vector<RunRecord> runs;
  std::vector<RunRecord> leaves;
};

/// Totals of an experiment.
struct Reconciliation
{
  std::uint64_t calls = 0;
  std::uint64_t answered = 0;
  std::uint64_t notRun = 0;
  std::uint64_t unknown = 0;
  std::uint64_t wrong = 0;
  /// Not idempotent and run more than once.
  std::uint64_t doubled = 0;
  std::uint64_t ranAfterNotRun = 0;
  /// Answered without having run.
  std::uint64_t neverRan = 0;
  std::uint64_t newWorkAfterLeave = 0;

  /// True if a promise was broken.
  bool HasViolations() const
  {
    return this->wrong + this->doubled + this->ranAfterNotRun + this->neverRan +
             this->newWorkAfterLeave >
           0;
  }
};

/// Parses a record. Lines of other experiments are left out.
/// @param aPrefix prefix of the call ids of this experiment
TargetRecord ParseRecord(std::string_view aText, std::string_view aPrefix);

/// Compares results with records.
/// @param aGrace time in which a leaving target may still get new work
Reconciliation Reconcile(const std::vector<CallResult>& aResults,
                         const TargetRecord& aRecord,
                         std::chrono::milliseconds aGrace,
                         bool aHasRecord);

}
