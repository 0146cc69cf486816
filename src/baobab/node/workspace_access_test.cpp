#include "baobab/node/workspace_access.hpp"

#include "baobab/node/ingress_call.hpp"

#include <boost/test/unit_test.hpp>

namespace baobab {
namespace {

constexpr std::string_view kHeader = "Baobab-Workspace";
const std::string kRoutes =
  "[[routes]]\npath_prefix = '/open/'\nanonymous = true\n"
  "[[routes]]\npath_prefix = '/'\npriority = 2\n";

std::string
Entry(const std::string& aName, const std::string& aKey, int aPriority = 0)
{
  return "[[workspaces]]\nname = '" + aName + "'\nkey_hashes = ['" +
         FormatKeyHash(HashKey(aKey)) +
         "']\npriority = " + std::to_string(aPriority) + "\n";
}

std::string
FileText(const std::string& aName, const std::string& aRest)
{
  return "name = '" + aName + "'\nrevision = 1\nunrouted = true\n" + aRest;
}

/// Returns the configuration of files with these names and contents.
Result<Configuration>
ConfigurationOf(const std::vector<std::pair<std::string, std::string>>& aFiles)
{
  ConfigDelta delta{ 0, 1, {}, {} };
  for (const auto& [name, rest] : aFiles) {
    const std::string text = FileText(name, rest);
    delta.entries.push_back({ name, 1, ContentHash(text), 1 });
    delta.texts.push_back(text);
  }
  return Configuration().Apply(delta);
}

WorkspaceIndex
IndexOf(const std::string& aWorkspaces)
{
  return WorkspaceIndex(Value(ConfigurationOf({ { "w", aWorkspaces } })));
}

std::vector<HeaderField>
WithKey(const std::string& aValue)
{
  return { { "Host", "a" }, { "authorization", aValue } };
}

}

BOOST_AUTO_TEST_SUITE(workspace_access)

BOOST_AUTO_TEST_CASE(a_key_leads_to_its_workspace)
{
  const WorkspaceIndex index =
    IndexOf(Entry("karri", "k1") + Entry("jarrah", "k2"));
  BOOST_REQUIRE(index.Find("k2"));
  BOOST_TEST(index.Find("k2")->spec.name == "jarrah");
  BOOST_TEST(index.Find("k2")->id == IdOfWorkspace("jarrah"));
  BOOST_TEST(index.Find("k1")->spec.name == "karri");
  for (const char* unknown : { "", "k", "k11", "K1", "k1 " }) {
    BOOST_TEST(!index.Find(unknown));
  }
}

BOOST_AUTO_TEST_CASE(only_one_valid_key_gives_access)
{
  const WorkspaceIndex index = IndexOf(Entry("karri", "k1"));
  const auto check = [&](const std::vector<HeaderField>& aHeaders) {
    return CheckAccess(index, RouteSpec{}, aHeaders).check;
  };
  BOOST_TEST((check(WithKey("Bearer k1")) == KeyCheck::Valid));
  BOOST_TEST((check(WithKey("bearer  k1 ")) == KeyCheck::Valid));
  BOOST_TEST((check(WithKey("Bearer k2")) == KeyCheck::Unknown));
  BOOST_TEST((check(WithKey("Bearer k1 k1")) == KeyCheck::Unknown));
  for (const char* value : { "", "k1", "Bearer", "Bearer ", "Basic k1" }) {
    BOOST_TEST((check(WithKey(value)) == KeyCheck::Missing));
  }
  BOOST_TEST((check({ { "Host", "a" } }) == KeyCheck::Missing));
  auto twice = WithKey("Bearer k1");
  twice.push_back({ "Authorization", "Bearer k1" });
  BOOST_TEST((check(twice) == KeyCheck::Missing));
}

BOOST_AUTO_TEST_CASE(
  without_workspaces_and_on_anonymous_routes_no_key_is_needed)
{
  const auto open = CheckAccess(WorkspaceIndex(), {}, WithKey("Bearer k1"));
  BOOST_TEST((open.check == KeyCheck::NotNeeded));
  BOOST_TEST(!open.declared);
  RouteSpec anonymous;
  anonymous.anonymous = true;
  const auto access =
    CheckAccess(IndexOf(Entry("karri", "k1")), anonymous, WithKey("Bearer k1"));
  BOOST_TEST((access.check == KeyCheck::NotNeeded));
  BOOST_TEST(!access.workspace);
  BOOST_TEST(access.declared);
}

/// Guards against a configuration that withdraws all keys and so lets everybody
/// in.
BOOST_AUTO_TEST_CASE(a_workspace_without_keys_demands_keys)
{
  const WorkspaceIndex index = IndexOf("[[workspaces]]\nname = 'karri'\n");
  BOOST_TEST(
    (CheckAccess(index, {}, WithKey("Bearer k1")).check == KeyCheck::Unknown));
}

BOOST_AUTO_TEST_CASE(targets_receive_the_name_and_never_the_key)
{
  const WorkspaceIndex index = IndexOf(Entry("karri", "k1"));
  const auto sent = [&](const WorkspaceIndex& aIndex, bool aAnonymous) {
    auto headers = WithKey("Bearer k1");
    headers.push_back({ "baobab-WORKSPACE", "forged" });
    RouteSpec route;
    route.anonymous = aAnonymous;
    ReplaceWorkspaceHeaders(
      headers, CheckAccess(aIndex, route, headers), kHeader);
    return headers;
  };
  const HeaderField host{ "Host", "a" };
  BOOST_TEST((sent(index, false) ==
              std::vector{ host, { std::string(kHeader), "karri" } }));
  BOOST_TEST((sent(index, true) == std::vector{ host }));
  BOOST_TEST((sent(WorkspaceIndex(), false) == WithKey("Bearer k1")));
}

BOOST_AUTO_TEST_CASE(workspaces_go_before_routes_in_the_priority)
{
  const auto priority = [&](int aWorkspace, std::int64_t aRoute) {
    RouteSpec route;
    route.priority = aRoute;
    return CallPriority(CheckAccess(IndexOf(Entry("karri", "k1", aWorkspace)),
                                    route,
                                    WithKey("Bearer k1")),
                        route);
  };
  BOOST_TEST(priority(0, 0) < priority(0, 1));
  BOOST_TEST(priority(0, 100) < priority(1, 0));
  BOOST_TEST(priority(1, 3) < priority(2, 0));
  BOOST_TEST(priority(14, 100) < priority(100, 0));
  BOOST_TEST(priority(100, 100) <= 255);
  RouteSpec route;
  route.priority = 100;
  BOOST_TEST(CallPriority({}, route) == 100);
}

BOOST_AUTO_TEST_CASE(a_key_in_two_files_makes_the_configuration_invalid)
{
  const auto refused = ConfigurationOf(
    { { "w1", Entry("karri", "k1") }, { "w2", Entry("jarrah", "k1") } });
  BOOST_REQUIRE(!Succeeded(refused));
  // Not a conflict, which means that a newer configuration is in force.
  BOOST_TEST((Failure(refused).kind == ErrorKind::OutOfRange));
  BOOST_TEST(Succeeded(ConfigurationOf(
    { { "w1", Entry("karri", "k1") }, { "w2", Entry("jarrah", "k2") } })));
}

BOOST_AUTO_TEST_CASE(a_call_carries_its_workspace_and_not_the_key)
{
  const RcuThreadRegistration reader;
  RouteTableBuilder builder(Locality{});
  builder.SetConfiguration(std::make_shared<const Configuration>(
    Value(ConfigurationOf({ { "r", kRoutes + Entry("karri", "k1", 3) } }))));
  RcuCell<RouteTable> routes;
  routes.Replace(builder.Build({}));
  Settings settings;
  SplitMix random(1);
  Request request{ "", "GET", "/x", WithKey("Bearer k1"), "" };
  const auto [route, workspaces] = routes.Read([&](const RouteTable& aTable) {
    return std::pair(aTable.FindRoute("a", "/x"), aTable.workspaces);
  });
  BOOST_REQUIRE(route);
  const IngressCall call =
    PrepareCall(route,
                CheckAccess(*workspaces, route->spec, request.headers),
                std::move(request),
                routes,
                settings,
                random);
  BOOST_REQUIRE(call.workspace);
  BOOST_TEST(call.workspace->spec.name == "karri");
  BOOST_TEST(call.terms.workspace == IdOfWorkspace("karri"));
  BOOST_TEST(call.terms.priority == 3 * 16 + 2);
  for (const HeaderField& field : call.request.headers) {
    BOOST_TEST(field.value.find("k1") == std::string::npos);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}
