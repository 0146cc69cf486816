#include "baobab/node/config_agent.hpp"

#include "baobab/net/clock.hpp"

#include <boost/test/unit_test.hpp>

namespace baobab {
namespace {

ConfigDelta
Generation(std::uint64_t aGeneration)
{
  const std::string text =
    "name = 'quoting'\nrevision = " + std::to_string(aGeneration) +
    "\nhosts = ['q.example']\n";
  return { 0,
           aGeneration,
           { { "quoting", 1, ContentHash(text), aGeneration } },
           { text } };
}

/// A source during whose read another configuration comes into force, as when
/// a peer answers first.
class OvertakenSource : public ConfigSource
{
public:
  explicit OvertakenSource(RoutePublisher& aPublisher)
    : publisher(aPublisher)
  {
  }

  Result<std::optional<ConfigDelta>> Read(
    const Configuration& aCurrent) override
  {
    auto next =
      Value(this->publisher.CurrentConfiguration()->Apply(Generation(5)));
    this->publisher.SetConfiguration(
      std::make_shared<const Configuration>(std::move(next)));
    this->seen = aCurrent.Services().size();
    return Generation(4);
  }

  Result<std::optional<ConfigDelta>> Watch(const Configuration& aCurrent,
                                           Duration /*aTime*/) override
  {
    return this->Read(aCurrent);
  }

  std::uint64_t Calls() const override { return 0; }

  std::size_t seen = 99;

private:
  RoutePublisher& publisher;
};

}

BOOST_AUTO_TEST_SUITE(config_agent)

/// Found by processes that ended with SIGSEGV: the configuration in force was
/// destroyed while the source still compared with it.
BOOST_AUTO_TEST_CASE(a_configuration_outlives_the_read_that_it_was_passed_to)
{
  boost::asio::io_context context;
  Settings settings;
  MemberRecord self;
  self.endpoint = { 1, 7100 };
  Membership membership(self, {}, 1, Now());
  Quarantine quarantine;
  RcuCell<RouteTable> routes;
  const RcuThreadRegistration reader;
  RoutePublisher publisher(membership, quarantine, routes, settings);
  ControlPacer pacer(settings.control.bytesPerSecond);
  auto source = std::make_unique<OvertakenSource>(publisher);
  const OvertakenSource& seen = *source;
  ConfigAgent agent(
    context, std::move(source), membership, publisher, pacer, settings);
  agent.ReadStore();
  BOOST_TEST(seen.seen == 0U);
  BOOST_TEST(agent.Generation() == 5U);
}

BOOST_AUTO_TEST_SUITE_END()

}
