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

/// Source during whose read another configuration is adopted, as happens when
/// a peer answers first.
class RacingSource : public ConfigSource
{
public:
  explicit RacingSource(RoutePublisher& aPublisher)
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
    this->servicesDuringRead = aCurrent.Services().size();
    return Generation(4);
  }

  Result<std::optional<ConfigDelta>> Watch(const Configuration& aCurrent,
                                           Duration /*aTime*/) override
  {
    return this->Read(aCurrent);
  }

  std::string Position() const override { return ""; }
  void Resume(std::string_view /*aPosition*/) override {}
  std::uint64_t Calls() const override { return 0; }

  std::size_t servicesDuringRead = 99;

private:
  RoutePublisher& publisher;
};

}

BOOST_AUTO_TEST_SUITE(config_agent)

/// Guards against a use after free (SIGSEGV): adopting a configuration during
/// a read destroyed the previous one while the source still compared with it.
BOOST_AUTO_TEST_CASE(configuration_outlives_the_read_that_it_is_passed_to)
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
  StoreFreshness freshness(1);
  const RacingSource* racing = nullptr;
  ConfigAgent agent(
    context,
    [&] {
      auto source = std::make_unique<RacingSource>(publisher);
      racing = source.get();
      return source;
    },
    membership,
    freshness,
    publisher,
    pacer,
    settings);
  agent.ReadStore();
  BOOST_TEST(racing->servicesDuringRead == 0U);
  BOOST_TEST(agent.Generation() == 5U);
}

BOOST_AUTO_TEST_SUITE_END()

}
