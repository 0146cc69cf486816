/// @file
/// Runs the decision code at full size in one process and prints what it costs:
/// memory of the member table and of the routes, and the mean time to merge a
/// member, to run a protocol tick, to handle and build a datagram, to update
/// the routes and to choose a target.
#include "baobab/decision/membership.hpp"
#include "baobab/node/route_table.hpp"
#include "baobab/node/target_chooser.hpp"
#include "baobab/wire/gossip_codec.hpp"

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <gflags/gflags.h>
#include <unistd.h>

DEFINE_int32(members, 8500, "number of daemons in the member table");
DEFINE_int32(services, 290, "number of services");
DEFINE_int32(regions, 5, "number of regions");
DEFINE_int32(zones, 16, "number of availability zones");

namespace baobab {
namespace {

TimePoint
Now()
{
  return std::chrono::steady_clock::now();
}

/// Returns the resident memory of this process in bytes.
double
ResidentBytes()
{
  std::ifstream file("/proc/self/statm");
  long total = 0;
  long resident = 0;
  file >> total >> resident;
  return static_cast<double>(resident) *
         static_cast<double>(sysconf(_SC_PAGESIZE));
}

/// Calls a function with 0, 1, ... aRounds - 1 and prints the mean time of a
/// call in nanoseconds.
template<class F>
void
PrintMeanTime(const char* aName, int aRounds, F aFunction)
{
  const TimePoint start = Now();
  for (int i = 0; i < aRounds; ++i) {
    aFunction(i);
  }
  const double meanNanoseconds =
    std::chrono::duration<double, std::nano>(Now() - start).count() / aRounds;
  std::printf("%-28s %14.0f ns\n", aName, meanNanoseconds);
}

MemberRecord
MakeMember(int aIndex)
{
  MemberRecord record;
  record.endpoint = { 0x0a000001U + static_cast<std::uint32_t>(aIndex), 7100 };
  record.incarnation = 1;
  const int zone = aIndex % FLAGS_zones;
  record.locality = { "region-" + std::to_string(zone % FLAGS_regions),
                      "zone-" + std::to_string(zone) };
  record.service = "service-" + std::to_string(aIndex % FLAGS_services);
  record.targetState = TargetState::Ready;
  record.slots = 20;
  return record;
}

Configuration
MakeConfiguration()
{
  ConfigDelta delta{ 0, 1, {}, {} };
  for (int i = 0; i < FLAGS_services; ++i) {
    const std::string name = "service-" + std::to_string(i);
    std::string text = "name = '";
    text += name;
    text += "'\nrevision = 1\nhosts = ['";
    text += name;
    text += ".example']\n";
    delta.entries.push_back({ name, 1, ContentHash(text), 1 });
    delta.texts.push_back(text);
  }
  return Value(Configuration().Apply(delta));
}

ConfigDelta
MakeServiceChange(const Configuration& aConfiguration, int aService)
{
  ConfigDelta delta = aConfiguration.DeltaSince(0);
  const auto index = static_cast<std::size_t>(aService);
  ManifestEntry entry = delta.entries[index];
  entry.generation = aConfiguration.Generation() + 1;
  return { aConfiguration.Generation(),
           aConfiguration.Generation() + 1,
           { entry },
           { delta.texts[index] } };
}

void
Run()
{
  const double tableBaseline = ResidentBytes();
  Membership membership(MakeMember(0), {}, 1, Now());
  for (int i = 1; i < FLAGS_members; ++i) {
    membership.Merge(MakeMember(i), Now());
  }
  std::printf("%-28s %14.0f bytes\n", "table", ResidentBytes() - tableBaseline);
  PrintMeanTime("merge of a change", 20000, [&](int aRound) {
    MemberRecord record = MakeMember(1 + aRound % (FLAGS_members - 1));
    record.incarnation = 2 + static_cast<std::uint64_t>(aRound);
    membership.Merge(record, Now());
  });
  TimePoint virtualNow = Now();
  PrintMeanTime("tick", 20000, [&](int) {
    virtualNow += 50ms;
    membership.Tick(virtualNow);
  });
  const auto pushed = membership.PushUpdates();
  const std::string datagram = EncodeGossip(pushed.front().message);
  std::printf(
    "%-28s %14zu bytes\n", "datagram full of updates", datagram.size());
  std::vector<std::uint64_t> aligned(datagram.size() / 8 + 1);
  std::copy(
    datagram.begin(), datagram.end(), reinterpret_cast<char*>(aligned.data()));
  const std::span<const std::uint8_t> bytes(
    reinterpret_cast<const std::uint8_t*>(aligned.data()), datagram.size());
  PrintMeanTime("datagram handled", 20000, [&](int) {
    membership.Handle(Value(DecodeGossip(bytes)), virtualNow);
  });
  PrintMeanTime("datagram built", 20000, [&](int) {
    EncodeGossip(membership.MakePing(MakeMember(1).endpoint).message);
  });
  PrintMeanTime(
    "members of the zone", 200, [&](int) { membership.ZoneMembers(); });
  PrintMeanTime(
    "spenders counted", 200, [&](int) { membership.SpenderCount(Now()); });

  const double routesBaseline = ResidentBytes();
  const Configuration configuration = MakeConfiguration();
  RouteTableBuilder builder(MakeMember(0).locality);
  builder.SetConfiguration(
    std::make_shared<const Configuration>(configuration));
  for (int i = 0; i < FLAGS_members; ++i) {
    builder.Update(MakeMember(i));
  }
  auto table = builder.Build({});
  std::printf("%-28s %14.0f bytes\n",
              "routes and configuration",
              ResidentBytes() - routesBaseline);
  PrintMeanTime("change of a target routed", 2000, [&](int aRound) {
    MemberRecord record = MakeMember(aRound / 2 % FLAGS_members);
    record.targetState =
      aRound % 2 == 0 ? TargetState::Leaving : TargetState::Ready;
    builder.Update(record);
    table = builder.Build({});
  });
  PrintMeanTime("configuration change applied", 200, [&](int aRound) {
    configuration.Apply(
      MakeServiceChange(configuration, aRound % FLAGS_services));
  });
  SplitMix random(1);
  const auto route = table->FindService("service-7");
  PrintMeanTime("service found", 1000000, [&](int) {
    table->FindRoute("service-7.example", "/");
  });
  PrintMeanTime("target chosen", 1000000, [&](int) {
    ChooseTarget(*route, {}, { 50ms, 600 }, random, virtualNow);
  });
}

}
}

int
main(int aCount, char** aArguments)
{
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  baobab::Run();
  return 0;
}
