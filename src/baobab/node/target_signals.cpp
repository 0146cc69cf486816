#include "baobab/node/target_signals.hpp"

#include "baobab/net/http_server.hpp"

#include <charconv>
#include <cmath>

namespace baobab {
namespace {

std::optional<double>
ParseRate(std::string_view aText)
{
  double rate = 0;
  const char* last = aText.data() + aText.size();
  const auto [end, code] = std::from_chars(aText.data(), last, rate);
  const bool valid =
    code == std::errc{} && end == last && std::isfinite(rate) && rate >= 0;
  return valid ? std::optional(rate) : std::nullopt;
}

}

TargetSignals
ReadSignals(const Response& aAnswer, const HeaderNames& aNames)
{
  TargetSignals signals;
  signals.leaving = FindHeader(aAnswer.headers, aNames.leaving) == "1";
  signals.requestLimit =
    ParseRate(FindHeader(aAnswer.headers, aNames.requestLimit));
  return signals;
}

}
