/// @file
#pragma once

#include "baobab/core/call_id.hpp"
#include "baobab/core/load_report.hpp"
#include "baobab/core/outcome.hpp"
#include "baobab/core/settings.hpp"
#include "baobab/net/http_client.hpp"

#include <boost/asio/io_context.hpp>
#include <memory>
#include <vector>

namespace baobab {

/// Parses `running,waiting,slots[,slowness]`; nothing if it is malformed.
std::optional<LoadReport> ParseLoad(std::string_view aText);

/// A call as it is handed to the target.
struct TargetCall
{
  CallId id;
  const Request& request;
  bool idempotent = false;
  TimePoint deadline;
  std::size_t maxAnswerBytes = 0;
};

/// Lets another fiber cancel a call at the target.
struct TargetCallControl
{
  /// Set while the call is on a connection.
  HttpClient* connection = nullptr;
  bool cancelled = false;

  void Cancel()
  {
    this->cancelled = true;
    if (this->connection != nullptr) {
      this->connection->Close();
    }
  }
};

/// How the target dealt with a call.
struct TargetResult
{
  Outcome outcome;
  /// True if the connection broke before an answer.
  bool connectionBroken = false;
  /// Load that the target reported with its answer.
  std::optional<LoadReport> load;
};

/// Connections to the local target.
class TargetClient
{
public:
  TargetClient(boost::asio::io_context& aContext, const Settings& aSettings)
    : context(aContext)
    , settings(aSettings)
  {
  }

  /// Changes the target's address or instance; pooled connections are
  /// dropped.
  /// @param aInstance named on every call; empty if the target has none
  void SetTarget(const Endpoint& aEndpoint, std::string_view aInstance);

  /// Asks the target's health path. Fails with ConnectFailed, ConnectionLost
  /// or TimedOut.
  Result<Response> GetHealth(std::string_view aPath, Duration aTimeout);

  /// Runs a call. Only an idempotent one uses a connection that was used
  /// before.
  TargetResult Run(const TargetCall& aCall, TargetCallControl& aControl);

  /// True if the target accepts connections.
  bool IsListening();

private:
  std::unique_ptr<HttpClient> TakePooled();
  struct Pooled
  {
    std::unique_ptr<HttpClient> client;
    /// Time until which the target is expected to keep the connection.
    TimePoint usableUntil;
  };

  TargetResult Exchange(const TargetCall& aCall,
                        std::unique_ptr<HttpClient> aClient,
                        TargetCallControl& aControl);
  TargetResult ClassifyAnswer(const TargetCall& aCall, Response aAnswer) const;
  bool IsRefusal(const Response& aResponse, const CallId& aId) const;
  void ReturnToPool(std::unique_ptr<HttpClient> aClient);
  Request BuildRequest(const TargetCall& aCall) const;

  boost::asio::io_context& context;
  const Settings& settings;
  Endpoint endpoint;
  std::string instance;
  std::vector<Pooled> pool;
};

}
