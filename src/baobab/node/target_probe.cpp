#include "baobab/node/target_probe.hpp"

#include "baobab/net/clock.hpp"
#include "baobab/net/http_server.hpp"

#include <algorithm>
#include <charconv>

namespace baobab {
namespace {

/// Longest time for which a target may say that it stays cold.
constexpr std::int64_t kMaxWarmupMs = 600000;

std::optional<LoadReport>
LoadOf(const Response& aHealth, const Settings& aSettings)
{
  return ParseLoad(FindHeader(aHealth.headers, aSettings.headers.load));
}

std::optional<Millis>
WarmupOf(const Response& aHealth, const Settings& aSettings)
{
  const auto text = FindHeader(aHealth.headers, aSettings.headers.warmup);
  std::int64_t left = 0;
  const char* last = text.data() + text.size();
  const auto [end, code] = std::from_chars(text.data(), last, left);
  const bool valid = code == std::errc{} && end == last && left >= 0;
  return valid ? std::optional(Millis(std::min(left, kMaxWarmupMs)))
               : std::nullopt;
}

bool
IsHealthy(const Response& aHealth, const Settings& aSettings)
{
  constexpr unsigned kOk = 200;
  return aHealth.status == kOk &&
         !ReadSignals(aHealth, aSettings.headers).leaving;
}

}

std::optional<TargetProof>
AskTarget(TargetClient& aTarget,
          const Endpoint& aAddress,
          std::string_view aPath,
          const Settings& aSettings)
{
  const TimePoint askedAt = Now();
  const auto health =
    aTarget.GetHealthOf(aAddress, aPath, aSettings.timeouts.connect);
  if (!Succeeded(health)) {
    return std::nullopt;
  }
  return TargetProof{ std::string(FindHeader(Value(health).headers,
                                             aSettings.headers.instance)),
                      IsHealthy(Value(health), aSettings),
                      askedAt };
}

std::optional<HealthReport>
ProbeHealth(TargetClient& aTarget,
            std::string_view aPath,
            const Settings& aSettings)
{
  const TimePoint askedAt = Now();
  const auto health = aTarget.GetHealth(aPath, aSettings.timeouts.connect);
  if (!Succeeded(health)) {
    return std::nullopt;
  }
  return HealthReport{ LoadOf(Value(health), aSettings),
                       WarmupOf(Value(health), aSettings),
                       askedAt };
}

std::optional<ProbedTarget>
ProbeTarget(TargetClient& aTarget,
            std::string_view aPath,
            const Settings& aSettings)
{
  const auto health = aTarget.GetHealth(aPath, aSettings.timeouts.connect);
  if (!Succeeded(health) || !IsHealthy(Value(health), aSettings)) {
    return std::nullopt;
  }
  const auto load = LoadOf(Value(health), aSettings);
  const auto instance =
    FindHeader(Value(health).headers, aSettings.headers.instance);
  if (!load || load->slots == 0 || instance.empty()) {
    return std::nullopt;
  }
  return ProbedTarget{ std::string(instance), *load };
}

}
