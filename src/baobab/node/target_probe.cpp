#include "baobab/node/target_probe.hpp"

#include "baobab/net/clock.hpp"
#include "baobab/net/http_server.hpp"

namespace baobab {
namespace {

std::optional<LoadReport>
LoadOf(const Response& aHealth, const Settings& aSettings)
{
  return ParseLoad(FindHeader(aHealth.headers, aSettings.headers.load));
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

std::optional<LoadReport>
ProbeLoad(TargetClient& aTarget,
          std::string_view aPath,
          const Settings& aSettings)
{
  const auto health = aTarget.GetHealth(aPath, aSettings.timeouts.connect);
  return Succeeded(health) ? LoadOf(Value(health), aSettings) : std::nullopt;
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
