#include "baobab/node/call_server.hpp"

#include "baobab/net/clock.hpp"
#include "testing/on_fiber.hpp"

#include <boost/fiber/operations.hpp>
#include <boost/test/unit_test.hpp>

namespace baobab {
namespace {

/// A call server with a target that accepts connections and never answers, and
/// a sender that is connected to it.
class Fixture
{
public:
  explicit Fixture(boost::asio::io_context& aContext)
    : listener(ListenOn(aContext))
    , peers(ListenOn(aContext))
    , target(aContext, this->settings)
    , calls(
        this->target,
        this->quarantine,
        [](std::string_view) { return nullptr; },
        this->settings)
  {
    auto near = Connect(aContext, AddressOf(this->peers), 1s);
    Tcp::socket far(aContext);
    this->peers.accept(far);
    this->connection.sender = 7;
    this->connection.number = 1;
    this->connection.frames =
      std::make_shared<FrameConnection>(std::move(Value(near)));
    this->sender = std::make_shared<FrameConnection>(std::move(far));
    this->calls.AddConnection(this->connection);
    TargetAnnouncement announcement;
    announcement.address = AddressOf(this->listener);
    announcement.announcement = { "quoting", 1, TargetState::Ready };
    this->calls.OnAnnouncement(announcement);
  }

  void Call(std::uint64_t aNumber)
  {
    CallMessage call;
    call.id = { 7, aNumber };
    call.request = { "quoting", "GET", "/", {}, "" };
    call.remaining = 5s;
    this->calls.OnCall(this->connection, std::move(call));
  }

  std::uint64_t Refusals(RefusalReason aReason) const
  {
    const auto& refusals = this->calls.Stats().refusals;
    const auto found = refusals.find(aReason);
    return found == refusals.end() ? 0 : found->second;
  }

  static Tcp::acceptor ListenOn(boost::asio::io_context& aContext)
  {
    auto acceptor = Listen(aContext, { 0x7f000001, 0 });
    BOOST_REQUIRE(Succeeded(acceptor));
    return std::move(Value(acceptor));
  }

  static Endpoint AddressOf(const Tcp::acceptor& aAcceptor)
  {
    return { 0x7f000001, aAcceptor.local_endpoint().port() };
  }

  Settings settings;
  Tcp::acceptor listener;
  Tcp::acceptor peers;
  Quarantine quarantine;
  TargetClient target;
  CallServer calls;
  SenderConnection connection;
  std::shared_ptr<FrameConnection> sender;
};

}

BOOST_AUTO_TEST_SUITE(call_server)

BOOST_AUTO_TEST_CASE(an_evacuation_returns_waiting_calls_and_refuses_new_ones)
{
  OnFiber([](boost::asio::io_context& aContext) {
    // Never destroyed: the call that runs refers to it.
    Fixture& fixture = *new Fixture(aContext);
    fixture.Call(1);
    fixture.Call(2);
    BOOST_TEST(fixture.calls.InFlight() == 2U);
    fixture.calls.SetEvacuated(true);
    BOOST_TEST(fixture.Refusals(RefusalReason::Evacuated) == 1U);
    BOOST_TEST(fixture.calls.InFlight() == 1U);
    fixture.Call(3);
    BOOST_TEST(fixture.Refusals(RefusalReason::Evacuated) == 2U);
    BOOST_TEST(fixture.calls.InFlight() == 1U);
    BOOST_TEST((fixture.calls.State() == TargetState::Ready));
    fixture.calls.SetEvacuated(false);
    fixture.Call(4);
    BOOST_TEST(fixture.calls.InFlight() == 2U);
    BOOST_TEST(fixture.Refusals(RefusalReason::Evacuated) == 2U);
  });
}

BOOST_AUTO_TEST_SUITE_END()

}
