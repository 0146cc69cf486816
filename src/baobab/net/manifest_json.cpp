#include "baobab/net/manifest_json.hpp"

#include <boost/json.hpp>

namespace baobab {
namespace {

namespace json = boost::json;

Error
UnreadableManifestError()
{
  return { ErrorKind::BadMessage,
           "the manifest in the object store cannot be parsed",
           "restore an earlier version of 'config/manifest'" };
}

}

std::string
ServiceFileKey(std::string_view aHash)
{
  return "config/services/" + std::string(aHash);
}

std::string
SeedKey(std::string_view aRegion, std::string_view aZone)
{
  return std::string(kSeedPrefix) + std::string(aRegion) + "/" +
         std::string(aZone);
}

std::string
EncodeManifest(const Manifest& aManifest)
{
  json::array entries;
  for (const ManifestEntry& entry : aManifest.entries) {
    entries.push_back(json::object{ { "name", entry.name },
                                    { "revision", entry.revision },
                                    { "hash", entry.hash },
                                    { "generation", entry.generation } });
  }
  return json::serialize(json::object{ { "generation", aManifest.generation },
                                       { "services", entries } });
}

Result<Manifest>
DecodeManifest(std::string_view aText)
{
  boost::system::error_code error;
  const json::value parsed =
    json::parse(json::string_view(aText.data(), aText.size()), error);
  if (error) {
    return UnreadableManifestError();
  }
  try {
    Manifest manifest;
    const json::object& object = parsed.as_object();
    manifest.generation = object.at("generation").to_number<std::uint64_t>();
    for (const json::value& item : object.at("services").as_array()) {
      const json::object& entry = item.as_object();
      manifest.entries.push_back(
        { json::value_to<std::string>(entry.at("name")),
          entry.at("revision").to_number<std::int64_t>(),
          json::value_to<std::string>(entry.at("hash")),
          entry.at("generation").to_number<std::uint64_t>() });
    }
    return manifest;
  } catch (const std::exception&) {
    return UnreadableManifestError();
  }
}

}
