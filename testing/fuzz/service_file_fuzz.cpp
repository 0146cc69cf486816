/// @file
/// Fuzzes the parsers of service files and of settings.
#include "baobab/core/service.hpp"
#include "baobab/core/settings.hpp"
#include "bytes.hpp"

void
baobab::Fuzz(std::span<const std::uint8_t> aBytes)
{
  const auto service = ParseService(AsText(aBytes), "fuzz.toml");
  if (Succeeded(service)) {
    (void)RoutesOf(Value(service));
  }
  (void)ParseSettings(AsText(aBytes), "fuzz.toml");
}
