#include "baobab/core/service.hpp"

#include <array>
#include <cctype>

namespace baobab {
namespace {

using S = ServiceSpec;

constexpr IntegerRange kBytes{ 0, 1LL << 30U };

std::vector<Field<S>>
BuildSchema()
{
  std::vector<Field<S>> schema;
  const auto add = [&](Field<S> aField) {
    schema.push_back(std::move(aField));
  };
  add(Required(Plain<S>(
    "name", [](S& s) -> auto& { return s.name; }, "Name of the service.")));
  add(Required(Integer<S>(
    "revision",
    [](S& s) -> auto& { return s.revision; },
    { 1, 1LL << 52U },
    "",
    "Raised with each change of the file.")));
  add(Plain<S>(
    "retired",
    [](S& s) -> auto& { return s.retired; },
    "Withdraws the service; keep the file until every zone has it."));
  add(Plain<S>(
    "hosts",
    [](S& s) -> auto& { return s.hosts; },
    "Host header values that callers use."));
  add(Plain<S>(
    "path_prefix",
    [](S& s) -> auto& { return s.pathPrefix; },
    "Path prefix of the service's requests."));
  add(Time<S>(
    "deadline_ms",
    [](S& s) -> auto& { return s.deadline; },
    { 1, 600000 },
    "ms",
    "Time a caller waits for an answer at most."));
  add(OneOf<S, PolicyKind>(
    "policy",
    [](S& s) -> auto& { return s.policy; },
    { { "load_aware", PolicyKind::LoadAware },
      { "random", PolicyKind::Random },
      { "round_robin", PolicyKind::RoundRobin },
      { "least_known", PolicyKind::LeastKnown } },
    "How a target is chosen."));
  add(Time<S>(
    "ramp_ms",
    [](S& s) -> auto& { return s.ramp; },
    { 0, 600000 },
    "ms",
    "Time in which a target that became ready reaches its full share."));
  add(Plain<S>(
    "idempotent_paths",
    [](S& s) -> auto& { return s.idempotentPaths; },
    "Path prefixes whose calls may be repeated whatever their method."));
  add(Plain<S>(
    "non_idempotent_paths",
    [](S& s) -> auto& { return s.nonIdempotentPaths; },
    "Path prefixes whose calls must not be repeated whatever their method."));
  add(Plain<S>(
    "claims.paths",
    [](S& s) -> auto& { return s.claimPaths; },
    "Path prefixes whose calls with an Idempotency-Key run at most once."));
  add(OneOf<S, ClaimFallback>(
    "claims.store_away",
    [](S& s) -> auto& { return s.claimFallback; },
    { { "refuse", ClaimFallback::Refuse }, { "run", ClaimFallback::Run } },
    "What happens to such a call while the store is away."));
  add(Integer<S>(
    "limits.body_bytes",
    [](S& s) -> auto& { return s.limits.bodyBytes; },
    { 0, 16LL << 20U },
    "bytes",
    "Largest request body."));
  add(Integer<S>(
    "limits.answer_bytes",
    [](S& s) -> auto& { return s.limits.answerBytes; },
    { 0, 64LL << 20U },
    "bytes",
    "Largest answer body."));
  add(Integer<S>(
    "limits.queue_length",
    [](S& s) -> auto& { return s.limits.queueLength; },
    { 0, 4096 },
    "calls",
    "Calls that wait at one target at most."));
  add(Time<S>(
    "limits.queue_ms",
    [](S& s) -> auto& { return s.limits.queueTime; },
    { 0, 60000 },
    "ms",
    "Time a call waits at one target at most."));
  add(Real<S>(
    "retry.ratio",
    [](S& s) -> auto& { return s.retry.ratio; },
    0,
    1,
    "retries per call",
    "Retries that each first attempt earns."));
  add(Integer<S>(
    "retry.burst",
    [](S& s) -> auto& { return s.retry.burst; },
    { 0, 10000 },
    "retries",
    "Retries that a daemon may save up."));
  add(Integer<S>(
    "retry.attempts",
    [](S& s) -> auto& { return s.retry.attempts; },
    { 1, 10 },
    "attempts",
    "Attempts of one call at most."));
  add(Plain<S>(
    "hedge.enabled",
    [](S& s) -> auto& { return s.hedge.enabled; },
    "Starts a second attempt of a slow idempotent call."));
  add(Real<S>(
    "hedge.quantile",
    [](S& s) -> auto& { return s.hedge.quantile; },
    0.5,
    0.999,
    "quantile",
    "Latency quantile after which the second attempt starts."));
  add(Integer<S>(
    "measuring.bytes_per_second",
    [](S& s) -> auto& { return s.measuring.bytesPerSecond; },
    kBytes,
    "bytes/s",
    "Load reports and probes of the whole fleet."));
  add(Integer<S>(
    "measuring.cross_region_bytes_per_second",
    [](S& s) -> auto& { return s.measuring.crossRegionBytesPerSecond; },
    kBytes,
    "bytes/s",
    "The part of it that may cross region links; 0 forbids it."));
  add(Plain<S>(
    "spill.cross_region",
    [](S& s) -> auto& { return s.spill.crossRegion; },
    "Sends calls to another region while the own one has no room."));
  add(Integer<S>(
    "spill.bytes_per_second",
    [](S& s) -> auto& { return s.spill.bytesPerSecond; },
    kBytes,
    "bytes/s",
    "Bytes of such calls for the whole fleet."));
  add(Real<S>(
    "objective.availability",
    [](S& s) -> auto& { return s.objective.availability; },
    0.5,
    0.99999,
    "fraction",
    "Fraction of good calls."));
  add(Time<S>(
    "objective.latency_ms",
    [](S& s) -> auto& { return s.objective.latency; },
    { 1, 600000 },
    "ms",
    "Latency that a good call keeps."));
  add(Real<S>(
    "objective.latency_quantile",
    [](S& s) -> auto& { return s.objective.latencyQuantile; },
    0.5,
    0.9999,
    "quantile",
    "Fraction of calls that must keep the latency."));
  add(Integer<S>(
    "objective.window_days",
    [](S& s) -> auto& { return s.objective.windowDays; },
    { 1, 90 },
    "days",
    "Window of the objective."));
  add(Real<S>(
    "quarantine.threshold",
    [](S& s) -> auto& { return s.quarantine.threshold; },
    1,
    100,
    "crashes",
    "Weighted crashes after which a request is refused."));
  add(Time<S>(
    "quarantine.lifetime_s",
    [](S& s) -> auto& { return s.quarantine.lifetime; },
    { 1, 86400 },
    "s",
    "Time after which a suspicion lapses."));
  return schema;
}

bool
StartsWithAny(const std::vector<std::string>& aPrefixes,
              std::string_view aTarget)
{
  return std::ranges::any_of(aPrefixes, [&](const std::string& aPrefix) {
    return aTarget.starts_with(aPrefix);
  });
}

bool
EqualIgnoringCase(std::string_view aLeft, std::string_view aRight)
{
  return std::ranges::equal(aLeft, aRight, {}, ::tolower, ::tolower);
}

bool
IsName(std::string_view aName)
{
  constexpr std::size_t kLongestName = 63;
  return !aName.empty() && aName.size() <= kLongestName &&
         std::ranges::all_of(aName, [](unsigned char aChar) {
           return std::islower(aChar) != 0 || std::isdigit(aChar) != 0 ||
                  aChar == '-';
         });
}

Error
DocumentError(std::string_view aFile,
              ErrorKind aKind,
              std::string_view aWhat,
              std::string_view aRemedy)
{
  return { aKind,
           std::string(aFile) + ":1:1: " + std::string(aWhat),
           std::string(aRemedy) };
}

}

const std::vector<Field<ServiceSpec>>&
ServiceSchema()
{
  static const std::vector<Field<ServiceSpec>> schema = BuildSchema();
  return schema;
}

Result<ServiceSpec>
ParseService(std::string_view aText, std::string_view aFile)
{
  auto parsed = ReadDocument(ServiceSchema(), aText, aFile);
  if (!Succeeded(parsed)) {
    return parsed;
  }
  const ServiceSpec& service = Value(parsed);
  if (!IsName(service.name)) {
    return DocumentError(aFile,
                         ErrorKind::OutOfRange,
                         "'name' is not a service name",
                         "use 1 to 63 lower-case letters, digits and hyphens");
  }
  if (!service.retired && service.hosts.empty() && service.pathPrefix.empty()) {
    return DocumentError(aFile,
                         ErrorKind::MissingKey,
                         "neither 'hosts' nor 'path_prefix' is given",
                         "say by which Host or path callers reach the service");
  }
  if (!service.pathPrefix.empty() && service.pathPrefix.front() != '/') {
    return DocumentError(aFile,
                         ErrorKind::OutOfRange,
                         "'path_prefix' does not start with '/'",
                         "write it as it stands in the request line");
  }
  if (service.measuring.crossRegionBytesPerSecond >
      service.measuring.bytesPerSecond) {
    return DocumentError(
      aFile,
      ErrorKind::OutOfRange,
      "'measuring.cross_region_bytes_per_second' exceeds the whole budget",
      "lower it or raise 'measuring.bytes_per_second'");
  }
  return parsed;
}

bool
IsIdempotent(const ServiceSpec& aService,
             std::string_view aMethod,
             std::string_view aTarget)
{
  if (StartsWithAny(aService.nonIdempotentPaths, aTarget)) {
    return false;
  }
  if (StartsWithAny(aService.idempotentPaths, aTarget)) {
    return true;
  }
  constexpr std::array<std::string_view, 6> kIdempotentMethods = {
    "GET", "HEAD", "PUT", "DELETE", "OPTIONS", "TRACE"
  };
  return std::ranges::find(kIdempotentMethods, aMethod) !=
         kIdempotentMethods.end();
}

bool
Matches(const ServiceSpec& aService,
        std::string_view aHost,
        std::string_view aTarget)
{
  if (aService.retired || !aTarget.starts_with(aService.pathPrefix)) {
    return false;
  }
  return aService.hosts.empty() ||
         std::ranges::any_of(aService.hosts, [&](const std::string& aName) {
           return EqualIgnoringCase(aName, aHost);
         });
}

}
