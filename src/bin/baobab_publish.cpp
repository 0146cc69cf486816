/// @file
/// Validates service files and publishes them.
#include "baobab/core/service.hpp"
#include "baobab/net/publish.hpp"
#include "command_line.hpp"
#include "store_program.hpp"

#include <algorithm>
#include <filesystem>
#include <gflags/gflags.h>
#include <iostream>
#include <set>

DEFINE_string(store,
              "",
              "address of the object store, for example 10.0.0.5:80");
DEFINE_bool(check, false, "validate the files without connecting to the store");
DEFINE_bool(print_reference, false, "print all keys of service files and exit");
DEFINE_bool(diff, false, "show the changes without publishing");

namespace baobab {
namespace {

constexpr char kUsage[] =
  "validates service files and publishes them in one update\n\n"
  "  baobab-publish --store ADDRESS FILE_OR_DIRECTORY...\n"
  "  baobab-publish --check FILE_OR_DIRECTORY...\n"
  "  baobab-publish --diff --store ADDRESS FILE_OR_DIRECTORY...\n\n"
  "Directories are searched for *.toml.\n"
  "Exit codes: 0 published or already in force, 2 wrong command line,\n"
  "3 not published: the store is unavailable, 4 refused: a file is invalid,\n"
  "5 conflict with the published files, 6 outcome unknown: publish again.";

constexpr int kExitRefused = 4;
constexpr int kExitConflict = 5;
constexpr int kExitUnknown = 6;

constexpr Duration kStoreTimeout = 5s;

std::vector<std::string>
FindFiles(const std::vector<std::string>& aPaths)
{
  namespace fs = std::filesystem;
  std::vector<std::string> files;
  for (const std::string& path : aPaths) {
    if (!fs::is_directory(path)) {
      files.push_back(path);
      continue;
    }
    for (const auto& entry : fs::recursive_directory_iterator(path)) {
      if (entry.path().extension() == ".toml") {
        files.push_back(entry.path().string());
      }
    }
  }
  std::ranges::sort(files);
  return files;
}

Result<ServiceFile>
LoadFile(const std::string& aPath)
{
  auto text = ReadTextFile(aPath);
  if (!Succeeded(text)) {
    return Failure(text);
  }
  auto service = ParseService(Value(text), aPath);
  if (!Succeeded(service)) {
    return Failure(service);
  }
  const ServiceSpec& spec = Value(service);
  const std::string hash = ContentHash(Value(text));
  return ServiceFile{ aPath,
                      std::move(Value(text)),
                      { spec.name, spec.revision, hash, 0 } };
}

/// Loads all files. Prints every error and returns nothing if there is one.
std::optional<std::vector<ServiceFile>>
LoadFiles(const std::vector<std::string>& aPaths)
{
  std::vector<ServiceFile> files;
  std::set<std::string> names;
  std::vector<WorkspaceSpec> workspaces;
  bool valid = true;
  for (const std::string& path : aPaths) {
    auto file = LoadFile(path);
    if (!Succeeded(file)) {
      std::cerr << Describe(Failure(file)) << "\n";
      valid = false;
    } else if (!names.insert(Value(file).entry.name).second) {
      std::cerr << path << ":1:1: service '" << Value(file).entry.name
                << "' is declared in more than one file (keep one of them)\n";
      valid = false;
    } else {
      const auto service = ParseService(Value(file).text, path);
      if (!Value(service).retired) {
        std::ranges::copy(Value(service).workspaces,
                          std::back_inserter(workspaces));
      }
      files.push_back(std::move(Value(file)));
    }
  }
  if (const auto error = CheckWorkspaces(workspaces)) {
    std::cerr << Describe(*error) << "\n";
    valid = false;
  }
  return valid ? std::optional(std::move(files)) : std::nullopt;
}

int
ExitCode(const Error& aError)
{
  switch (aError.kind) {
    case ErrorKind::Conflict:
      return kExitConflict;
    case ErrorKind::OutcomeUnknown:
      return kExitUnknown;
    default:
      return kExitUnavailable;
  }
}

int
ReportFailure(const Error& aError)
{
  const int code = ExitCode(aError);
  const std::string_view prefix = code == kExitConflict  ? "conflict: "
                                  : code == kExitUnknown ? "unknown: "
                                                         : "not published: ";
  std::cerr << prefix << Describe(aError) << "\n";
  return code;
}

int
ShowDiff(HttpStore& aStore, const std::vector<ServiceFile>& aFiles)
{
  const auto current = ReadManifest(aStore);
  if (!Succeeded(current)) {
    return ReportFailure(Failure(current));
  }
  const auto& entries = Value(current).manifest.entries;
  for (const ServiceFile& file : aFiles) {
    const auto& [name, revision, hash, generation] = file.entry;
    const auto published =
      std::ranges::find(entries, name, &ManifestEntry::name);
    if (published == entries.end()) {
      std::cout << "+ " << name << " revision " << revision << " (new)\n";
    } else if (published->hash == hash && published->revision == revision) {
      std::cout << "= " << name << " revision " << revision << "\n";
    } else if (revision > published->revision) {
      std::cout << "~ " << name << " revision " << published->revision << " -> "
                << revision << "\n";
    } else {
      std::cout << "! " << name << " revision " << revision
                << " conflicts with published revision " << published->revision
                << "\n";
    }
  }
  return 0;
}

int
PublishFiles(HttpStore& aStore, const std::vector<ServiceFile>& aFiles)
{
  const auto published = Publish(aStore, aFiles);
  if (!Succeeded(published)) {
    return ReportFailure(Failure(published));
  }
  std::cout << (Value(published).changed ? "published" : "already in force")
            << ": generation " << Value(published).generation << "\n";
  return 0;
}

int
Run(const std::vector<std::string>& aPaths)
{
  if (PrintReference(FLAGS_print_reference, ServiceSchema())) {
    std::cout << "\n";
    PrintReference(true, RouteSchema());
    std::cout << "\n";
    PrintReference(true, WorkspaceSchema());
    return 0;
  }
  if (aPaths.empty() || (!FLAGS_check && FLAGS_store.empty())) {
    std::cerr << "baobab-publish " << kUsage << "\n";
    return kExitUsage;
  }
  const auto files = LoadFiles(FindFiles(aPaths));
  if (!files) {
    std::cerr << "refused: nothing was published\n";
    return kExitRefused;
  }
  if (FLAGS_check) {
    std::cout << files->size() << " files are valid\n";
    return 0;
  }
  return RunWithStore(FLAGS_store, kStoreTimeout, [&](HttpStore& aStore) {
    return FLAGS_diff ? ShowDiff(aStore, *files) : PublishFiles(aStore, *files);
  });
}

}
}

int
main(int aCount, char** aArguments)
{
  baobab::ParseCommandLine(baobab::kUsage, BAOBAB_VERSION, aCount, aArguments);
  const int code = baobab::Run({ aArguments + 1, aArguments + aCount });
  std::cout.flush();
  std::_Exit(code);
}
