#include "baobab/net/publish.hpp"

#include <boost/test/unit_test.hpp>
#include <functional>
#include <map>

namespace baobab {
namespace {

/// In-memory store that injects faults into writes of the manifest.
class MemoryStore
{
public:
  Result<std::optional<StoredObject>> Get(std::string_view aKey)
  {
    if (this->unavailable) {
      return Error{ ErrorKind::StoreUnavailable, "unavailable", "" };
    }
    const auto found = this->objects.find(std::string(aKey));
    if (found == this->objects.end()) {
      return std::nullopt;
    }
    return found->second;
  }

  Result<ObjectVersion> Put(std::string_view aKey,
                            std::string_view aValue,
                            const PutCondition& aCondition)
  {
    if (this->unavailable) {
      return Error{ ErrorKind::StoreUnavailable, "unavailable", "" };
    }
    if (aKey == kManifestKey && this->beforeManifestWrite) {
      std::exchange(this->beforeManifestWrite, nullptr)();
    }
    const auto found = this->objects.find(std::string(aKey));
    const ObjectVersion current =
      found == this->objects.end() ? "" : found->second.version;
    if (current != aCondition.version) {
      return Error{ ErrorKind::Conflict, "", "" };
    }
    if (aKey == kManifestKey && this->lostRequests > 0) {
      --this->lostRequests;
      return Error{ ErrorKind::OutcomeUnknown, "", "" };
    }
    this->objects[std::string(aKey)] = { std::string(aValue),
                                         std::to_string(++this->version) };
    if (aKey == kManifestKey && this->lostResponses > 0) {
      --this->lostResponses;
      this->unavailable = this->failAfterLostResponse;
      return Error{ ErrorKind::OutcomeUnknown, "", "" };
    }
    return std::to_string(this->version);
  }

  Result<std::optional<StoredObject>> Watch(std::string_view,
                                            std::string_view,
                                            Duration)
  {
    return std::nullopt;
  }

  Result<std::vector<std::string>> List(std::string_view)
  {
    return std::vector<std::string>{};
  }

  std::map<std::string, StoredObject> objects;
  /// Called once, before the next write of the manifest.
  std::function<void()> beforeManifestWrite;
  /// Number of next manifest writes that take effect but get no response.
  int lostResponses = 0;
  /// Number of next manifest writes that get lost before they take effect.
  int lostRequests = 0;
  /// Makes the store unavailable after a lost response.
  bool failAfterLostResponse = false;
  bool unavailable = false;

private:
  int version = 0;
};

ServiceFile
File(std::string aName, std::int64_t aRevision, std::string aText)
{
  const std::string hash = ContentHash(aText);
  return { aName, std::move(aText), { aName, aRevision, hash, 0 } };
}

}

BOOST_AUTO_TEST_SUITE(publish)

BOOST_AUTO_TEST_CASE(publishing_again_changes_nothing)
{
  MemoryStore store;
  const auto first = Publish(store, { File("a", 1, "x") });
  BOOST_REQUIRE(Succeeded(first));
  BOOST_TEST(Value(first).generation == 1);
  const auto again = Publish(store, { File("a", 1, "x") });
  BOOST_REQUIRE(Succeeded(again));
  BOOST_TEST(!Value(again).changed);
}

BOOST_AUTO_TEST_CASE(a_write_with_a_lost_response_is_found_by_reading)
{
  MemoryStore store;
  store.lostResponses = 1;
  const auto result = Publish(store, { File("a", 1, "x") });
  BOOST_REQUIRE(Succeeded(result));
  BOOST_TEST(Value(result).generation == 1);
}

BOOST_AUTO_TEST_CASE(a_lost_request_is_sent_again)
{
  MemoryStore store;
  store.lostRequests = 2;
  const auto result = Publish(store, { File("a", 1, "x") });
  BOOST_REQUIRE(Succeeded(result));
  BOOST_TEST(Value(result).generation == 1);
}

BOOST_AUTO_TEST_CASE(outcome_is_unknown_if_the_store_fails_after_the_write)
{
  MemoryStore store;
  store.lostResponses = 1;
  store.failAfterLostResponse = true;
  const auto result = Publish(store, { File("a", 1, "x") });
  BOOST_REQUIRE(!Succeeded(result));
  BOOST_TEST((Failure(result).kind == ErrorKind::OutcomeUnknown));
}

BOOST_AUTO_TEST_CASE(nothing_is_published_if_the_store_is_unavailable)
{
  MemoryStore store;
  store.unavailable = true;
  const auto result = Publish(store, { File("a", 1, "x") });
  BOOST_REQUIRE(!Succeeded(result));
  BOOST_TEST((Failure(result).kind == ErrorKind::StoreUnavailable));
}

BOOST_AUTO_TEST_CASE(concurrent_publications_of_different_services_are_merged)
{
  MemoryStore store;
  store.beforeManifestWrite = [&] {
    BOOST_TEST(Succeeded(Publish(store, { File("b", 1, "y") })));
  };
  const auto result = Publish(store, { File("a", 1, "x") });
  BOOST_REQUIRE(Succeeded(result));
  const auto manifest = ReadManifest(store);
  BOOST_TEST(Value(manifest).manifest.entries.size() == 2);
  BOOST_TEST(Value(result).generation == 2);
}

BOOST_AUTO_TEST_CASE(concurrent_publications_of_one_revision_conflict)
{
  MemoryStore store;
  store.beforeManifestWrite = [&] {
    BOOST_TEST(Succeeded(Publish(store, { File("a", 1, "y") })));
  };
  const auto result = Publish(store, { File("a", 1, "x") });
  BOOST_REQUIRE(!Succeeded(result));
  BOOST_TEST((Failure(result).kind == ErrorKind::Conflict));
}

BOOST_AUTO_TEST_CASE(an_older_revision_does_not_replace_a_newer_one)
{
  MemoryStore store;
  BOOST_TEST(Succeeded(Publish(store, { File("a", 5, "x") })));
  const auto result = Publish(store, { File("a", 4, "y") });
  BOOST_REQUIRE(!Succeeded(result));
  BOOST_TEST((Failure(result).kind == ErrorKind::Conflict));
}

BOOST_AUTO_TEST_SUITE_END()

}
