#include "baobab/net/publish.hpp"

#include <boost/test/unit_test.hpp>
#include <functional>
#include <map>

namespace baobab {
namespace {

/// Store in memory with faults at chosen writes.
class MemoryStore
{
public:
  Result<std::optional<StoredObject>> Get(std::string_view aKey)
  {
    if (this->away) {
      return Error{ ErrorKind::StoreUnavailable, "away", "" };
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
    if (this->away) {
      return Error{ ErrorKind::StoreUnavailable, "away", "" };
    }
    if (aKey == kManifestKey && this->beforeManifest) {
      std::exchange(this->beforeManifest, nullptr)();
    }
    const auto found = this->objects.find(std::string(aKey));
    const ObjectVersion current =
      found == this->objects.end() ? "" : found->second.version;
    if (current != aCondition.version) {
      return Error{ ErrorKind::Conflict, "", "" };
    }
    if (aKey == kManifestKey && this->loseRequests > 0) {
      --this->loseRequests;
      return Error{ ErrorKind::OutcomeUnknown, "", "" };
    }
    this->objects[std::string(aKey)] = { std::string(aValue),
                                         std::to_string(++this->version) };
    if (aKey == kManifestKey && this->loseAnswers > 0) {
      --this->loseAnswers;
      this->away = this->goAway;
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
  std::function<void()> beforeManifest;
  int loseAnswers = 0;
  int loseRequests = 0;
  bool goAway = false;
  bool away = false;

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

BOOST_AUTO_TEST_CASE(publishes_and_repeats_without_effect)
{
  MemoryStore store;
  const auto first = Publish(store, { File("a", 1, "x") });
  BOOST_REQUIRE(Succeeded(first));
  BOOST_TEST(Value(first).generation == 1);
  const auto again = Publish(store, { File("a", 1, "x") });
  BOOST_REQUIRE(Succeeded(again));
  BOOST_TEST(!Value(again).changed);
}

BOOST_AUTO_TEST_CASE(a_lost_answer_is_read_back)
{
  MemoryStore store;
  store.loseAnswers = 1;
  const auto result = Publish(store, { File("a", 1, "x") });
  BOOST_REQUIRE(Succeeded(result));
  BOOST_TEST(Value(result).generation == 1);
}

BOOST_AUTO_TEST_CASE(a_lost_request_is_sent_again)
{
  MemoryStore store;
  store.loseRequests = 2;
  const auto result = Publish(store, { File("a", 1, "x") });
  BOOST_REQUIRE(Succeeded(result));
  BOOST_TEST(Value(result).generation == 1);
}

BOOST_AUTO_TEST_CASE(unknown_when_the_store_goes_away_after_the_write)
{
  MemoryStore store;
  store.loseAnswers = 1;
  store.goAway = true;
  const auto result = Publish(store, { File("a", 1, "x") });
  BOOST_REQUIRE(!Succeeded(result));
  BOOST_TEST((Failure(result).kind == ErrorKind::OutcomeUnknown));
}

BOOST_AUTO_TEST_CASE(not_published_when_the_store_is_away)
{
  MemoryStore store;
  store.away = true;
  const auto result = Publish(store, { File("a", 1, "x") });
  BOOST_REQUIRE(!Succeeded(result));
  BOOST_TEST((Failure(result).kind == ErrorKind::StoreUnavailable));
}

BOOST_AUTO_TEST_CASE(racing_publishers_of_other_services_merge)
{
  MemoryStore store;
  store.beforeManifest = [&] {
    BOOST_TEST(Succeeded(Publish(store, { File("b", 1, "y") })));
  };
  const auto result = Publish(store, { File("a", 1, "x") });
  BOOST_REQUIRE(Succeeded(result));
  const auto manifest = ReadManifest(store);
  BOOST_TEST(Value(manifest).manifest.entries.size() == 2);
  BOOST_TEST(Value(result).generation == 2);
}

BOOST_AUTO_TEST_CASE(racing_publishers_of_one_revision_conflict)
{
  MemoryStore store;
  store.beforeManifest = [&] {
    BOOST_TEST(Succeeded(Publish(store, { File("a", 1, "y") })));
  };
  const auto result = Publish(store, { File("a", 1, "x") });
  BOOST_REQUIRE(!Succeeded(result));
  BOOST_TEST((Failure(result).kind == ErrorKind::Conflict));
}

BOOST_AUTO_TEST_CASE(an_older_revision_never_replaces_a_newer_one)
{
  MemoryStore store;
  BOOST_TEST(Succeeded(Publish(store, { File("a", 5, "x") })));
  const auto result = Publish(store, { File("a", 4, "y") });
  BOOST_REQUIRE(!Succeeded(result));
  BOOST_TEST((Failure(result).kind == ErrorKind::Conflict));
}

BOOST_AUTO_TEST_SUITE_END()

}
