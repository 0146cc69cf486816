#include "baobab/core/key_hash.hpp"
#include "baobab/core/service.hpp"

#include <boost/test/unit_test.hpp>

namespace baobab {
namespace {

/// SHA-256 of "abc", from FIPS 180-2, appendix B.1.
constexpr std::string_view kHashOfAbc =
  "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad";

Result<ServiceSpec>
Parse(const std::string& aWorkspaces)
{
  return ParseService(
    "name = 'w'\nrevision = 1\nunrouted = true\n" + aWorkspaces, "w.toml");
}

std::string
Entry(const std::string& aName, std::string_view aHash)
{
  return "[[workspaces]]\nname = '" + aName + "'\nkey_hashes = ['" +
         std::string(aHash) + "']\n";
}

void
RequireError(const std::string& aWorkspaces, ErrorKind aKind)
{
  const auto parsed = Parse(aWorkspaces);
  BOOST_REQUIRE(!Succeeded(parsed));
  BOOST_TEST((Failure(parsed).kind == aKind));
  BOOST_TEST(Failure(parsed).message.starts_with("w.toml:"));
  BOOST_TEST(!Failure(parsed).remedy.empty());
}

}

BOOST_AUTO_TEST_SUITE(workspaces)

BOOST_AUTO_TEST_CASE(hashes_keys_with_sha_256)
{
  const KeyHash hash = HashKey("abc");
  BOOST_TEST(FormatKeyHash(hash) == kHashOfAbc);
  BOOST_TEST((ParseKeyHash(kHashOfAbc) == hash));
  BOOST_TEST(SameKeyHash(hash, HashKey("abc")));
  BOOST_TEST(!SameKeyHash(hash, HashKey("abd")));
}

BOOST_AUTO_TEST_CASE(reads_workspaces_of_a_service_file)
{
  const auto parsed =
    Parse(Entry("karri", kHashOfAbc) +
          "priority = 2\nrate_per_s = 12.5\nburst = 40\nregions = ['perth']\n" +
          "[[workspaces]]\nname = 'jarrah'\n");
  BOOST_REQUIRE(Succeeded(parsed));
  const std::vector<WorkspaceSpec> expected{
    { "karri", { std::string(kHashOfAbc) }, 2, 12.5, 40, { "perth" } },
    { "jarrah" }
  };
  BOOST_TEST((Value(parsed).workspaces == expected));
}

BOOST_AUTO_TEST_CASE(invalid_workspaces_are_errors_with_a_remedy)
{
  const std::string digits(kHashOfAbc);
  RequireError(Entry("", digits), ErrorKind::OutOfRange);
  RequireError(Entry("two words", digits), ErrorKind::OutOfRange);
  RequireError(Entry("a", digits.substr(1)), ErrorKind::WrongType);
  RequireError(Entry("a", "g" + digits.substr(1)), ErrorKind::WrongType);
  RequireError(Entry("a", "-" + digits.substr(1)), ErrorKind::WrongType);
  RequireError("[[workspaces]]\nkey_hashes = []\n", ErrorKind::MissingKey);
  RequireError(Entry("a", digits) + "keys = ['abc']\n", ErrorKind::UnknownKey);
  RequireError(Entry("a", digits) + Entry("b", digits), ErrorKind::OutOfRange);
  RequireError(Entry("a", digits) + "[[workspaces]]\nname = 'a'\n",
               ErrorKind::OutOfRange);
}

BOOST_AUTO_TEST_CASE(an_error_does_not_show_the_key_that_was_written_by_mistake)
{
  const auto parsed = Parse(Entry("a", "my-secret-key"));
  BOOST_REQUIRE(!Succeeded(parsed));
  BOOST_TEST(Describe(Failure(parsed)).find("my-secret") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(ids_depend_on_the_name_only)
{
  BOOST_TEST(IdOfWorkspace("karri") == IdOfWorkspace(std::string("karri")));
  BOOST_TEST(IdOfWorkspace("karri") != IdOfWorkspace("jarrah"));
  BOOST_TEST(IdOfWorkspace("") != 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}
