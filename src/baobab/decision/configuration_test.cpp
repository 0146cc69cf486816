#include "baobab/decision/configuration.hpp"

#include <boost/test/unit_test.hpp>

namespace baobab {
namespace {

std::string
FileOf(const std::string& aName, int aRevision)
{
  return "name = '" + aName + "'\nrevision = " + std::to_string(aRevision) +
         "\nhosts = ['" + aName + ".example']\n";
}

ConfigDelta
Delta(std::uint64_t aBase, std::uint64_t aGeneration, const std::string& aName)
{
  const std::string text = FileOf(aName, 1);
  return { aBase,
           aGeneration,
           { { aName, 1, ContentHash(text), aGeneration } },
           { text } };
}

}

BOOST_AUTO_TEST_SUITE(configuration)

BOOST_AUTO_TEST_CASE(applies_only_a_higher_generation)
{
  auto first = Configuration().Apply(Delta(0, 2, "a"));
  BOOST_REQUIRE(Succeeded(first));
  BOOST_TEST(!Succeeded(Value(first).Apply(Delta(0, 2, "b"))));
  BOOST_TEST(!Succeeded(Value(first).Apply(Delta(0, 1, "b"))));
  auto next = Value(first).Apply(Delta(1, 3, "b"));
  BOOST_REQUIRE(Succeeded(next));
  BOOST_TEST(Value(next).Services().size() == 2U);
}

BOOST_AUTO_TEST_CASE(a_gap_a_wrong_hash_or_an_invalid_file_is_rejected)
{
  BOOST_TEST(!Succeeded(Configuration().Apply(Delta(1, 2, "a"))));
  ConfigDelta wrongHash = Delta(0, 2, "a");
  wrongHash.texts[0] += "# changed\n";
  BOOST_TEST(!Succeeded(Configuration().Apply(wrongHash)));
  ConfigDelta incomplete = Delta(0, 2, "a");
  const std::string bad = "name = 'b'\n";
  incomplete.entries.push_back({ "b", 1, ContentHash(bad), 2 });
  incomplete.texts.push_back(bad);
  BOOST_TEST(!Succeeded(Configuration().Apply(incomplete)));
  incomplete.texts.pop_back();
  BOOST_TEST(!Succeeded(Configuration().Apply(incomplete)));
}

BOOST_AUTO_TEST_CASE(a_delta_has_exactly_the_changes_since_its_base)
{
  const auto first = Value(Configuration().Apply(Delta(0, 1, "a")));
  const auto second = Value(first.Apply(Delta(1, 2, "b")));
  BOOST_TEST(second.DeltaSince(0).entries.size() == 2U);
  BOOST_TEST(second.DeltaSince(1).entries.size() == 1U);
  BOOST_TEST(second.DeltaSince(1).entries[0].name == "b");
  BOOST_TEST(second.DeltaSince(2).entries.empty());
  const auto caughtUp = first.Apply(second.DeltaSince(1));
  BOOST_REQUIRE(Succeeded(caughtUp));
  BOOST_TEST(Value(caughtUp).Generation() == 2U);
}

/// A source that never had a service cannot report its removal. The digest
/// shows that applying the source's changes does not result in its
/// configuration.
BOOST_AUTO_TEST_CASE(a_delta_that_misses_a_removed_service_is_rejected)
{
  const auto old = Value(
    Value(Configuration().Apply(Delta(0, 1, "a"))).Apply(Delta(1, 2, "b")));
  const auto source = Value(Configuration().Apply(Delta(0, 3, "a")));
  const auto missed = old.Apply(source.DeltaSince(2));
  BOOST_REQUIRE(!Succeeded(missed));
  BOOST_TEST((Failure(missed).kind == ErrorKind::MissingKey));
  const auto whole = old.Apply(source.DeltaSince(0));
  BOOST_REQUIRE(Succeeded(whole));
  BOOST_TEST(Value(whole).Services().size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}
