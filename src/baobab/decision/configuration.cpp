#include "baobab/decision/configuration.hpp"

#include <algorithm>
#include <xxhash.h>

namespace baobab {
namespace {

using Services = std::vector<std::shared_ptr<const ConfiguredService>>;

const std::string&
NameOf(const std::shared_ptr<const ConfiguredService>& aService)
{
  return aService->entry.name;
}

Result<std::shared_ptr<const ConfiguredService>>
CheckAndParse(const ManifestEntry& aEntry, const std::string& aText)
{
  if (ContentHash(aText) != aEntry.hash) {
    return Error{ ErrorKind::BadMessage,
                  "the file of service '" + aEntry.name +
                    "' does not match its hash",
                  "the daemon fetches it again from another source" };
  }
  auto parsed = ParseService(aText, aEntry.name + ".toml");
  if (!Succeeded(parsed)) {
    return Failure(parsed);
  }
  return std::make_shared<const ConfiguredService>(
    ConfiguredService{ aEntry, aText, std::move(Value(parsed)) });
}

/// Checks the workspaces of all service files together.
std::optional<Error>
CheckAllWorkspaces(const Services& aServices)
{
  std::vector<WorkspaceSpec> all;
  for (const auto& service : aServices) {
    if (!service->spec.retired) {
      std::ranges::copy(service->spec.workspaces, std::back_inserter(all));
    }
  }
  return CheckWorkspaces(all);
}

Error
GapError()
{
  return { ErrorKind::MissingKey,
           "the delta does not result in the expected configuration",
           "the daemon requests the whole configuration" };
}

void
Replace(Services& aServices, std::shared_ptr<const ConfiguredService> aService)
{
  const auto position =
    std::ranges::lower_bound(aServices, NameOf(aService), {}, NameOf);
  if (position != aServices.end() && NameOf(*position) == NameOf(aService)) {
    *position = std::move(aService);
  } else {
    aServices.insert(position, std::move(aService));
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
  if (aDelta.base > this->generation) {
    return GapError();
  }
  if (aDelta.entries.size() != aDelta.texts.size()) {
    return Error{ ErrorKind::BadMessage,
                  "the delta has fewer or more files than entries",
                  "" };
  }
  Configuration result = aDelta.base == 0 ? Configuration() : *this;
  result.generation = aDelta.generation;
  for (std::size_t i = 0; i < aDelta.entries.size(); ++i) {
    const ManifestEntry& entry = aDelta.entries[i];
    if (auto unchanged = this->FindUnchanged(entry)) {
      Replace(result.services, std::move(unchanged));
      continue;
    }
    auto service = CheckAndParse(entry, aDelta.texts[i]);
    if (!Succeeded(service)) {
      return Failure(service);
    }
    Replace(result.services, std::move(Value(service)));
  }
  if (aDelta.digest != 0 && aDelta.digest != result.Digest()) {
    return GapError();
  }
  if (auto error = CheckAllWorkspaces(result.services)) {
    return *error;
  }
  return result;
}

/// Returns the service of an entry whose file is already in force; null if
/// there is none.
std::shared_ptr<const ConfiguredService>
Configuration::FindUnchanged(const ManifestEntry& aEntry) const
{
  const auto found =
    std::ranges::lower_bound(this->services, aEntry.name, {}, NameOf);
  const bool same = found != this->services.end() &&
                    NameOf(*found) == aEntry.name &&
                    (*found)->entry.hash == aEntry.hash;
  return same ? *found : nullptr;
}

std::uint64_t
Configuration::Digest() const
{
  std::string listed;
  for (const auto& service : this->services) {
    if (!service->spec.retired) {
      listed += service->entry.name + " " + service->entry.hash + "\n";
    }
  }
  return XXH3_64bits(listed.data(), listed.size());
}

ConfigDelta
Configuration::DeltaSince(std::uint64_t aGeneration) const
{
  ConfigDelta delta{ aGeneration, this->generation, {}, {}, this->Digest() };
  for (const auto& service : this->services) {
    if (service->entry.generation > aGeneration) {
      delta.entries.push_back(service->entry);
      delta.texts.push_back(service->text);
    }
  }
  return delta;
}

}
