#include "baobab/net/status_json.hpp"

#include <boost/json.hpp>

namespace baobab {
namespace {

namespace json = boost::json;

/// Encodes the buckets of a level as the number of the first one, followed by
/// the counts of good and bad calls of that bucket and each later one. This
/// keeps the status of a large zone within the size limit of an object.
json::array
EncodeBuckets(const BurnSeries::Buckets& aBuckets)
{
  json::array encoded;
  if (aBuckets.empty()) {
    return encoded;
  }
  const std::int64_t first = aBuckets.begin()->first;
  encoded.push_back(first);
  for (const auto& [number, count] : aBuckets) {
    const auto position = 2 * static_cast<std::size_t>(number - first) + 1;
    encoded.resize(position, 0);
    encoded.push_back(count.good);
    encoded.push_back(count.bad);
  }
  return encoded;
}

BurnSeries::Buckets
DecodeBuckets(const json::array& aEncoded)
{
  BurnSeries::Buckets buckets;
  for (std::size_t i = 1; i + 1 < aEncoded.size(); i += 2) {
    const BurnCount count{ aEncoded[i].to_number<std::uint64_t>(),
                           aEncoded[i + 1].to_number<std::uint64_t>() };
    if (count.Total() > 0) {
      const auto offset = static_cast<std::int64_t>(i / 2);
      buckets[aEncoded[0].to_number<std::int64_t>() + offset] = count;
    }
  }
  return buckets;
}

json::object
EncodeService(const ServiceStatus& aService)
{
  json::array levels;
  for (const auto& buckets : aService.series.levels) {
    levels.push_back(EncodeBuckets(buckets));
  }
  json::object targets;
  for (const auto& [state, count] : aService.targets) {
    targets[state] = count;
  }
  return { { "calls", json::value_from(aService.calls) },
           { "measuring_bytes", aService.measuringBytes },
           { "levels", levels },
           { "targets", targets } };
}

ServiceStatus
DecodeService(const json::object& aObject)
{
  ServiceStatus service;
  const json::array& calls = aObject.at("calls").as_array();
  for (std::size_t i = 0; i < kCallClassCount; ++i) {
    service.calls[i] = calls.at(i).to_number<std::uint64_t>();
  }
  service.measuringBytes =
    aObject.at("measuring_bytes").to_number<std::uint64_t>();
  const json::array& levels = aObject.at("levels").as_array();
  for (std::size_t i = 0; i < service.series.levels.size(); ++i) {
    service.series.levels[i] = DecodeBuckets(levels.at(i).as_array());
  }
  for (const auto& [state, count] : aObject.at("targets").as_object()) {
    service.targets[std::string(state)] = count.to_number<std::uint64_t>();
  }
  return service;
}

}

std::string
StatusKey(std::string_view aRegion, std::string_view aZone)
{
  return std::string(kStatusPrefix) + std::string(aRegion) + "/" +
         std::string(aZone);
}

std::string
EncodeStatus(const ZoneStatus& aStatus)
{
  json::object services;
  for (const auto& [name, service] : aStatus.services) {
    services[name] = EncodeService(service);
  }
  json::array reporters;
  for (const auto& [id, reporter] : aStatus.reporters) {
    reporters.push_back(json::array{ id,
                                     reporter.sequence,
                                     reporter.generation,
                                     reporter.reportedAt.count() });
  }
  return json::serialize(
    json::object{ { "updated_at", aStatus.updatedAt.count() },
                  { "reporters", reporters },
                  { "services", services } });
}

Result<ZoneStatus>
DecodeStatus(std::string_view aText)
{
  boost::system::error_code error;
  const json::value parsed =
    json::parse(json::string_view(aText.data(), aText.size()), error);
  try {
    const json::object& object = parsed.as_object();
    ZoneStatus status;
    status.updatedAt =
      StatusTime(object.at("updated_at").to_number<std::int64_t>());
    for (const json::value& item : object.at("reporters").as_array()) {
      const json::array& reporter = item.as_array();
      status.reporters[reporter.at(0).to_number<std::uint64_t>()] = {
        reporter.at(1).to_number<std::uint64_t>(),
        reporter.at(2).to_number<std::uint64_t>(),
        StatusTime(reporter.at(3).to_number<std::int64_t>())
      };
    }
    for (const auto& [name, service] : object.at("services").as_object()) {
      status.services[std::string(name)] = DecodeService(service.as_object());
    }
    return status;
  } catch (const std::exception&) {
    return Error{ ErrorKind::BadMessage,
                  "a status object in the store cannot be parsed",
                  "delete it; it will be written again" };
  }
}

}
