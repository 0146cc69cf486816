#include "baobab/core/key_hash.hpp"
#include "baobab/core/workspace.hpp"

namespace baobab {
namespace {

/// A list of key hashes, each checked.
Field<WorkspaceSpec>
KeyHashesField()
{
  auto field = BasicField<WorkspaceSpec>(
    "key_hashes",
    [](WorkspaceSpec& w) -> auto& { return w.keyHashes; },
    "SHA-256 of each key of the workspace, as printed by `sha256sum`; a key "
    "that is not listed is not valid.");
  field.assign = [assign = std::move(field.assign)](
                   WorkspaceSpec& aWorkspace,
                   const TomlValue& aValue) -> std::optional<Error> {
    if (auto error = assign(aWorkspace, aValue)) {
      return error;
    }
    const bool valid =
      std::ranges::all_of(aWorkspace.keyHashes, [](const std::string& aHash) {
        return ParseKeyHash(aHash).has_value();
      });
    return valid ? std::nullopt
                 : std::optional(schema_detail::WrongTypeError(
                     "each item as the 64 hexadecimal digits that "
                     "`printf %s KEY | sha256sum` prints"));
  };
  return field;
}

std::vector<Field<WorkspaceSpec>>
BuildSchema()
{
  using W = WorkspaceSpec;
  constexpr std::int64_t kMaxBurst = 1'000'000'000;
  return {
    Required(BasicField<W>(
      "name",
      [](W& w) -> auto& { return w.name; },
      "Name of the workspace, which targets receive with each of its calls.")),
    KeyHashesField(),
    IntegerField<W>(
      "priority",
      [](W& w) -> auto& { return w.priority; },
      { 0, 100 },
      "",
      "Priority of queued calls; 0 is the highest. It applies before the "
      "priority of the route."),
    RealField<W>(
      "rate_per_s",
      [](W& w) -> auto& { return w.ratePerSecond; },
      0,
      kMaxBurst,
      "calls/s",
      "Calls that all daemons together let in; 0: no limit."),
    IntegerField<W>(
      "burst",
      [](W& w) -> auto& { return w.burst; },
      { 0, kMaxBurst },
      "calls",
      "Calls that may exceed the rate at once."),
    BasicField<W>(
      "regions",
      [](W& w) -> auto& { return w.regions; },
      "Regions in which calls may be served; empty: all."),
  };
}

}

const std::vector<Field<WorkspaceSpec>>&
WorkspaceSchema()
{
  static const std::vector<Field<WorkspaceSpec>> schema = BuildSchema();
  return schema;
}

}
