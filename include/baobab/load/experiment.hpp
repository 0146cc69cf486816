/// @file
/// Definition of a load experiment.
#pragma once

#include "baobab/core/endpoint.hpp"
#include "baobab/core/schema.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace baobab {

/// A host name and path to call, weighted by their share of the calls.
struct WeightedDestination
{
  std::string host;
  std::string path = "/";
  double weight = 1;
};

/// Contents of an experiment file.
struct Experiment
{
  std::int64_t seed = 1;
  double rate = 100;
  double seconds = 10;
  /// Fraction of calls that are not idempotent.
  double postFraction = 0.3;
  std::int64_t bodyBytes = 64;
  Millis timeout{ 5000 };
  std::int64_t workers = 2;
  std::vector<std::string> addresses;
  std::vector<std::string> services;
  /// Files in which the test targets record the calls that they ran.
  std::vector<std::string> records;
  /// Time after which a leaving target must receive no new calls.
  Millis leaveGrace{ 5000 };
};

/// Returns the keys of an experiment file.
const std::vector<Field<Experiment>>& ExperimentSchema();

/// Parses and validates an experiment file.
/// @param aFile name of the file for error messages
Result<Experiment> ParseExperiment(std::string_view aText,
                                   std::string_view aFile);

/// Parses `host`, `host=weight` or `host/path=weight`.
WeightedDestination ParseDestination(std::string_view aText);

}
