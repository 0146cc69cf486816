#include "baobab/net/http_store.hpp"

#include "testing/scripted_server.hpp"

namespace baobab {
namespace {

constexpr Duration kTimeout = 2s;

/// Calls a function with a store that sends a malformed answer to each request.
void
WithMalformedStore(const std::function<void(HttpStore&)>& aBody)
{
  ScriptedServer({ "HTTP/1.1 000 Odd\r\nETag: 1\r\nContent-Length: 0\r\n\r\n" })
    .Listening([&](boost::asio::io_context& aContext, const Endpoint& aServer) {
      HttpStore store(aContext, aServer, kTimeout);
      aBody(store);
    });
}

template<class T>
bool
FailedAs(const Result<T>& aResult, ErrorKind aKind)
{
  return !Succeeded(aResult) && Failure(aResult).kind == aKind;
}

}

BOOST_AUTO_TEST_SUITE(http_store)

/// Publishers were told that a write had not taken effect.
BOOST_AUTO_TEST_CASE(a_write_with_a_malformed_answer_has_an_unknown_outcome)
{
  WithMalformedStore([](HttpStore& aStore) {
    BOOST_TEST(
      FailedAs(aStore.Put("key", "value", {}), ErrorKind::OutcomeUnknown));
  });
}

BOOST_AUTO_TEST_CASE(a_malformed_answer_holds_no_object)
{
  WithMalformedStore([](HttpStore& aStore) {
    BOOST_TEST(FailedAs(aStore.Get("key"), ErrorKind::StoreUnavailable));
    BOOST_TEST(
      FailedAs(aStore.Watch("key", "1", 1s), ErrorKind::StoreUnavailable));
    BOOST_TEST(FailedAs(aStore.List("key"), ErrorKind::StoreUnavailable));
  });
}

BOOST_AUTO_TEST_SUITE_END()

}
