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
  /// @param aPublisher set before the first read
  explicit RacingSource(RoutePublisher* const& aPublisher)
    : publisher(aPublisher)
  {
  }

  Result<std::optional<ConfigDelta>> Read(
    const Configuration& aCurrent) override
  {
    auto next =
      Value(this->publisher->CurrentConfiguration()->Apply(Generation(5)));
    this->publisher->SetConfiguration(
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
  void Rewind() override {}
  std::uint64_t Calls() const override { return 0; }

  std::size_t servicesDuringRead = 99;

private:
  RoutePublisher* const& publisher;
};

/// Source that returns a configuration which cannot be adopted.
class RejectedSource : public ConfigSource
{
public:
  Result<std::optional<ConfigDelta>> Read(
    const Configuration& /*aCurrent*/) override
  {
    ConfigDelta delta = Generation(7);
    delta.texts.front() = "not what the hash says";
    return delta;
  }

  Result<std::optional<ConfigDelta>> Watch(const Configuration& aCurrent,
                                           Duration /*aTime*/) override
  {
    return this->Read(aCurrent);
  }

  std::string Position() const override { return "9"; }
  void Resume(std::string_view /*aPosition*/) override {}
  void Rewind() override { ++this->rewinds; }
  std::uint64_t Calls() const override { return 0; }

  int rewinds = 0;
};

/// An agent with all that it refers to.
struct AgentFixture
{
  explicit AgentFixture(ConfigSourceFactory aOpenSource)
    : agent(this->context,
            std::move(aOpenSource),
            this->membership,
            this->freshness,
            this->publisher,
            this->pacer,
            this->settings)
  {
  }

  static MemberRecord Self()
  {
    MemberRecord self;
    self.endpoint = { 1, 7100 };
    return self;
  }

  boost::asio::io_context context;
  Settings settings;
  Membership membership{ Self(), {}, 1, Now() };
  Quarantine quarantine;
  RcuCell<RouteTable> routes;
  const RcuThreadRegistration reader;
  RoutePublisher publisher{ this->membership,
                            this->quarantine,
                            this->routes,
                            this->settings };
  ControlPacer pacer{ this->settings.control.bytesPerSecond };
  StoreFreshness freshness{ 1 };
  ConfigAgent agent;
};

}

BOOST_AUTO_TEST_SUITE(config_agent)

/// The position after a configuration that was rejected was handed to other
/// daemons, which then never read that configuration.
BOOST_AUTO_TEST_CASE(a_rejected_configuration_is_not_confirmed)
{
  RejectedSource* source = nullptr;
  AgentFixture fixture([&] {
    auto opened = std::make_unique<RejectedSource>();
    source = opened.get();
    return opened;
  });
  fixture.agent.ReadStore();
  BOOST_TEST(fixture.agent.Generation() == 0U);
  BOOST_TEST(!fixture.freshness.Current(0, Now()).has_value());
  BOOST_TEST(source->rewinds == 1);
  BOOST_TEST(!fixture.agent.Prove().has_value());
  BOOST_TEST(!fixture.freshness.Current(0, Now()).has_value());
}

/// Guards against a use after free (SIGSEGV): adopting a configuration during
/// a read destroyed the previous one while the source still compared with it.
BOOST_AUTO_TEST_CASE(configuration_outlives_the_read_that_it_is_passed_to)
{
  const RacingSource* racing = nullptr;
  RoutePublisher* publisher = nullptr;
  AgentFixture fixture([&] {
    auto source = std::make_unique<RacingSource>(publisher);
    racing = source.get();
    return source;
  });
  publisher = &fixture.publisher;
  fixture.agent.ReadStore();
  BOOST_TEST(racing->servicesDuringRead == 0U);
  BOOST_TEST(fixture.agent.Generation() == 5U);
}

BOOST_AUTO_TEST_SUITE_END()

}
