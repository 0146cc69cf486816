#include "baobab/load/experiment.hpp"

#include <cstdlib>

namespace baobab {
namespace {

using E = Experiment;

std::vector<Field<E>>
BuildSchema()
{
  return {
    IntegerField<E>(
      "seed",
      [](E& e) -> auto& { return e.seed; },
      { 0, 1LL << 52U },
      "",
      "Seed of the random arrival times and calls."),
    RealField<E>(
      "rate",
      [](E& e) -> auto& { return e.rate; },
      0.1,
      1e6,
      "calls/s",
      "Mean rate of the Poisson arrivals."),
    RealField<E>(
      "seconds",
      [](E& e) -> auto& { return e.seconds; },
      0.1,
      86400,
      "s",
      "Duration of the experiment."),
    RealField<E>(
      "post_fraction",
      [](E& e) -> auto& { return e.postFraction; },
      0,
      1,
      "fraction",
      "Fraction of calls that are not idempotent."),
    IntegerField<E>(
      "body_bytes",
      [](E& e) -> auto& { return e.bodyBytes; },
      { 0, 1 << 20 },
      "bytes",
      "Size of the body of calls that are not idempotent."),
    DurationField<E>(
      "timeout_ms",
      [](E& e) -> auto& { return e.timeout; },
      { 1, 600000 },
      "ms",
      "Longest time that a caller waits for a response."),
    IntegerField<E>(
      "workers",
      [](E& e) -> auto& { return e.workers; },
      { 1, 16 },
      "threads",
      "Threads that make calls."),
    Required(BasicField<E>(
      "addresses",
      [](E& e) -> auto& { return e.addresses; },
      "Addresses to call, each with an equal share of the calls.")),
    Required(BasicField<E>(
      "services",
      [](E& e) -> auto& { return e.services; },
      "Host names to call, with weights: host, host=2 or host/path=2.")),
    BasicField<E>(
      "records",
      [](E& e) -> auto& { return e.records; },
      "Records of the test targets, to compare with the results of calls."),
    DurationField<E>(
      "leave_grace_ms",
      [](E& e) -> auto& { return e.leaveGrace; },
      { 0, 60000 },
      "ms",
      "Time for which a leaving target may still get new calls."),
  };
}

}

const std::vector<Field<Experiment>>&
ExperimentSchema()
{
  static const std::vector<Field<Experiment>> schema = BuildSchema();
  return schema;
}

Result<Experiment>
ParseExperiment(std::string_view aText, std::string_view aFile)
{
  auto parsed = ReadDocument(ExperimentSchema(), aText, aFile);
  if (!Succeeded(parsed)) {
    return parsed;
  }
  for (const std::string& address : Value(parsed).addresses) {
    auto endpoint = ParseEndpoint(address);
    if (!Succeeded(endpoint)) {
      return Error{ ErrorKind::OutOfRange,
                    std::string(aFile) + ":1:1: " + Failure(endpoint).message,
                    Failure(endpoint).remedy };
    }
  }
  if (Value(parsed).addresses.empty() || Value(parsed).services.empty()) {
    return Error{ ErrorKind::OutOfRange,
                  std::string(aFile) + ":1:1: no address or no service to call",
                  "name at least one address and one service" };
  }
  return parsed;
}

WeightedDestination
ParseDestination(std::string_view aText)
{
  WeightedDestination destination;
  const auto equals = aText.find('=');
  if (equals != std::string_view::npos) {
    destination.weight =
      std::atof(std::string(aText.substr(equals + 1)).c_str());
    aText = aText.substr(0, equals);
  }
  const auto slash = aText.find('/');
  destination.host = aText.substr(0, slash);
  if (slash != std::string_view::npos) {
    destination.path = aText.substr(slash);
  }
  return destination;
}

}
