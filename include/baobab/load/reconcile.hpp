/// @file
/// Compares the outcomes reported to callers with the calls that targets ran.
#pragma once

#include "baobab/core/result.hpp"
#include "baobab/load/call_result.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace baobab {

/// One line of the record of a test target.
struct RunRecord
{
  /// Number of the call in its experiment; 0 for the start of a leave.
  std::uint64_t number = 0;
  /// Address of the target.
  std::string target;
  /// Time of the event, by the target's clock.
  std::chrono::milliseconds at{ 0 };
};

/// Contents of the records of the test targets.
struct TargetRecord
{
  /// Calls that were run.
  std::vector<RunRecord> runs;
  /// Times at which targets started to leave.
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
  /// Calls that are not idempotent and ran more than once.
  std::uint64_t doubled = 0;
  /// Calls reported as not run that a target did run.
  std::uint64_t ranAfterNotRun = 0;
  /// Answered calls that no target ran.
  std::uint64_t neverRan = 0;
  /// Calls that a target ran after the grace period of its leave.
  std::uint64_t newWorkAfterLeave = 0;

  /// True if a guarantee was violated.
  bool HasViolations() const
  {
    return this->wrong + this->doubled + this->ranAfterNotRun + this->neverRan +
             this->newWorkAfterLeave >
           0;
  }
};

/// Parses a record. Calls of other experiments are skipped.
/// @param aPrefix prefix of the call IDs of this experiment
TargetRecord ParseRecord(std::string_view aText, std::string_view aPrefix);

/// Compares the results of calls with the records of targets.
/// @param aGrace time for which a leaving target may still get new calls
/// @param aHasRecord false if the experiment has no records
Reconciliation Reconcile(const std::vector<CallResult>& aResults,
                         const TargetRecord& aRecord,
                         std::chrono::milliseconds aGrace,
                         bool aHasRecord);

}
