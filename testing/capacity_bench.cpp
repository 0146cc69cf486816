/// @file
/// Drives the decision code at full size in one process and prints its cost:
/// table bytes, and the time of a merge, a probe round, a datagram, a routing
/// table and a choice.
#include "baobab/decision/membership.hpp"
#include "baobab/node/route_table.hpp"
#include "baobab/node/target_chooser.hpp"
#include "baobab/wire/gossip_codec.hpp"

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <gflags/gflags.h>
#include <unistd.h>

DEFINE_int32(members, 8500, "daemons in the table");
DEFINE_int32(services, 290, "services");
DEFINE_int32(regions, 5, "regions");
DEFINE_int32(zones, 16, "availability zones");

namespace baobab {
namespace {

TimePoint
Now()
{
  return std::chrono::steady_clock::now();
}

/// Resident memory of this process in bytes.
double
Resident()
{
  std::ifstream file("/proc/self/statm");
  long total = 0;
  long resident = 0;
  file >> total >> resident;
  return static_cast<double>(resident) *
         static_cast<double>(sysconf(_SC_PAGESIZE));
}

/// Prints the mean time of a function in nanoseconds.
template<class F>
void
Measure(const char* aName, int aTimes, F aFunction)
{
  const TimePoint began = Now();
  for (int i = 0; i < aTimes; ++i) {
    aFunction(i);
  }
  const double nanos =
    std::chrono::duration<double, std::nano>(Now() - began).count() / aTimes;
  std::printf("%-28s %14.0f ns\n", aName, nanos);
}

MemberRecord
Member(int aIndex)
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
FullConfiguration()
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
ChangeOf(const Configuration& aConfiguration, int aService)
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
  const double before = Resident();
  Membership membership(Member(0), {}, 1, Now());
  for (int i = 1; i < FLAGS_members; ++i) {
    membership.Merge(Member(i), Now());
  }
  std::printf("%-28s %14.0f bytes\n", "table", Resident() - before);
  Measure("merge of a change", 20000, [&](int aRound) {
    MemberRecord record = Member(1 + aRound % (FLAGS_members - 1));
    record.incarnation = 2 + static_cast<std::uint64_t>(aRound);
    membership.Merge(record, Now());
  });
  TimePoint virtualNow = Now();
  Measure("tick", 20000, [&](int) {
    virtualNow += 50ms;
    membership.Tick(virtualNow);
  });
  const auto pushed = membership.PushUpdates();
  const std::string datagram = EncodeGossip(pushed.front().message);
  std::printf("%-28s %14zu bytes\n", "datagram full of news", datagram.size());
  std::vector<std::uint64_t> aligned(datagram.size() / 8 + 1);
  std::copy(
    datagram.begin(), datagram.end(), reinterpret_cast<char*>(aligned.data()));
  const std::span<const std::uint8_t> bytes(
    reinterpret_cast<const std::uint8_t*>(aligned.data()), datagram.size());
  Measure("datagram handled", 20000, [&](int) {
    membership.Handle(Value(DecodeGossip(bytes)), virtualNow);
  });
  Measure("datagram built", 20000, [&](int) {
    EncodeGossip(membership.MakePing(Member(1).endpoint).message);
  });
  Measure("members of the zone", 200, [&](int) { membership.ZoneMembers(); });
  Measure(
    "spenders counted", 200, [&](int) { membership.SpenderCount(Now()); });

  const double beforeRoutes = Resident();
  const Configuration configuration = FullConfiguration();
  RouteTableBuilder builder(Member(0).locality);
  builder.SetConfiguration(
    std::make_shared<const Configuration>(configuration));
  for (int i = 0; i < FLAGS_members; ++i) {
    builder.Update(Member(i));
  }
  auto table = builder.Build({});
  std::printf("%-28s %14.0f bytes\n",
              "routes and configuration",
              Resident() - beforeRoutes);
  Measure("change of a target routed", 2000, [&](int aRound) {
    MemberRecord record = Member(aRound / 2 % FLAGS_members);
    record.targetState =
      aRound % 2 == 0 ? TargetState::Leaving : TargetState::Ready;
    builder.Update(record);
    table = builder.Build({});
  });
  Measure("configuration change applied", 200, [&](int aRound) {
    configuration.Apply(ChangeOf(configuration, aRound % FLAGS_services));
  });
  SplitMix random(1);
  const auto route = table->FindService("service-7");
  Measure("service found", 1000000, [&](int) {
    table->FindRoute("service-7.example", "/");
  });
  Measure("target chosen", 1000000, [&](int) {
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
