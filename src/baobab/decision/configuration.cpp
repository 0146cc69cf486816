#include "baobab/decision/configuration.hpp"

#include <algorithm>

namespace baobab {
namespace {

using Services = std::vector<std::shared_ptr<const ConfiguredService>>;

const std::string&
NameOf(const std::shared_ptr<const ConfiguredService>& aService)
{
  return aService->entry.name;
}

Result<std::shared_ptr<const ConfiguredService>>
Check(const ManifestEntry& aEntry, const std::string& aText)
{
  if (ContentHash(aText) != aEntry.hash) {
    return Error{ ErrorKind::BadMessage,
                  "the file of service '" + aEntry.name +
                    "' does not match its hash",
                  "it is fetched again from another source" };
  }
  auto parsed = ParseService(aText, aEntry.name + ".toml");
  if (!Succeeded(parsed)) {
    return Failure(parsed);
  }
  return std::make_shared<const ConfiguredService>(
    ConfiguredService{ aEntry, aText, std::move(Value(parsed)) });
}

void
Replace(Services& aServices, std::shared_ptr<const ConfiguredService> aService)
{
  const auto place =
    std::ranges::lower_bound(aServices, NameOf(aService), {}, NameOf);
  if (place != aServices.end() && NameOf(*place) == NameOf(aService)) {
    *place = std::move(aService);
  } else {
    aServices.insert(place, std::move(aService));
  }
}

}

Result<Configuration>
Configuration::Apply(const ConfigDelta& aDelta) const
{
  if (aDelta.generation <= this->generation) {
    return Error{ ErrorKind::Conflict,
                  "generation " + std::to_string(aDelta.generation) +
                    " is not newer than " + std::to_string(this->generation),
                  "" };
  }
  if (aDelta.base > this->generation ||
      aDelta.entries.size() != aDelta.texts.size()) {
    return Error{ ErrorKind::BadMessage, "the delta leaves a gap", "" };
  }
  Configuration next = *this;
  next.generation = aDelta.generation;
  for (std::size_t i = 0; i < aDelta.entries.size(); ++i) {
    if (aDelta.entries[i].generation <= this->generation) {
      continue;
    }
    auto service = Check(aDelta.entries[i], aDelta.texts[i]);
    if (!Succeeded(service)) {
      return Failure(service);
    }
    Replace(next.services, std::move(Value(service)));
  }
  return next;
}

ConfigDelta
Configuration::Since(std::uint64_t aGeneration) const
{
  ConfigDelta delta{ aGeneration, this->generation, {}, {} };
  for (const auto& service : this->services) {
    if (service->entry.generation > aGeneration) {
      delta.entries.push_back(service->entry);
      delta.texts.push_back(service->text);
    }
  }
  return delta;
}

}
