/// @file
/// Reports burn rates of service-level objectives.
#include "baobab/net/publish.hpp"
#include "baobab/net/status_json.hpp"
#include "baobab/report/slo_report.hpp"
#include "command_line.hpp"
#include "store_program.hpp"

#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(store, "", "address of the object store");
DEFINE_bool(json, false, "print JSON");
DEFINE_bool(html, false, "print a self-contained HTML report");

namespace baobab {
namespace {

constexpr char kUsage[] =
  "reports the error-budget burn rates of all services\n\n"
  "  baobab-report --store ADDRESS [--json | --html]\n\n"
  "A burn rate of 1 uses up the error budget exactly over its window. The age\n"
  "of a zone is the age of its last report.\n"
  "Exit codes: 0 no alert, 1 an alert is raised, 2 wrong command line,\n"
  "3 the store is unavailable.";

constexpr int kExitAlert = 1;

/// Long, so that a slow store delays the report but does not make it fail.
constexpr Duration kStoreTimeout = 15s;

Result<std::vector<ServiceSpec>>
ReadServices(HttpStore& aStore, const Manifest& aManifest)
{
  std::vector<ServiceSpec> services;
  for (const ManifestEntry& entry : aManifest.entries) {
    auto file = aStore.Get(ServiceFileKey(entry.hash));
    if (!Succeeded(file)) {
      return Failure(file);
    }
    if (!Value(file)) {
      continue;
    }
    auto spec = ParseService(Value(file)->value, entry.name + ".toml");
    if (Succeeded(spec) && !Value(spec).retired) {
      services.push_back(std::move(Value(spec)));
    }
  }
  return services;
}

Result<std::map<std::string, ZoneStatus>>
ReadZones(HttpStore& aStore)
{
  auto keys = aStore.List(kStatusPrefix);
  if (!Succeeded(keys)) {
    return Failure(keys);
  }
  std::map<std::string, ZoneStatus> zones;
  for (const std::string& key : Value(keys)) {
    auto object = aStore.Get(key);
    if (!Succeeded(object)) {
      return Failure(object);
    }
    if (!Value(object)) {
      continue;
    }
    auto status = DecodeStatus(Value(object)->value);
    if (!Succeeded(status)) {
      std::cerr << key << ": " << Describe(Failure(status)) << "\n";
      continue;
    }
    zones[key.substr(kStatusPrefix.size())] = std::move(Value(status));
  }
  return zones;
}

Result<SloReport>
ReadReport(HttpStore& aStore)
{
  const auto manifest = ReadManifest(aStore);
  if (!Succeeded(manifest)) {
    return Failure(manifest);
  }
  const auto services = ReadServices(aStore, Value(manifest).manifest);
  if (!Succeeded(services)) {
    return Failure(services);
  }
  const auto zones = ReadZones(aStore);
  if (!Succeeded(zones)) {
    return Failure(zones);
  }
  const auto now = std::chrono::duration_cast<StatusTime>(
    std::chrono::system_clock::now().time_since_epoch());
  return BuildSloReport(
    Value(services), Value(zones), Value(manifest).manifest.generation, now);
}

int
PrintReport(const SloReport& aReport)
{
  std::cout << (FLAGS_json   ? SloReportJson(aReport) + "\n"
                : FLAGS_html ? SloReportHtml(aReport)
                             : SloReportTable(aReport));
  const bool hasAlert =
    std::ranges::any_of(aReport.services, [](const SloServiceRow& aService) {
      return aService.burn.alert != BurnAlert::None;
    });
  return hasAlert ? kExitAlert : 0;
}

int
Run()
{
  return RunWithStore(FLAGS_store, kStoreTimeout, [](HttpStore& aStore) {
    const auto report = ReadReport(aStore);
    if (!Succeeded(report)) {
      std::cerr << Describe(Failure(report)) << "\n";
      return kExitUnavailable;
    }
    return PrintReport(Value(report));
  });
}

}
}

int
main(int aCount, char** aArguments)
{
  baobab::ParseCommandLine(baobab::kUsage, BAOBAB_VERSION, aCount, aArguments);
  const int code = baobab::Run();
  std::cout.flush();
  std::_Exit(code);
}
