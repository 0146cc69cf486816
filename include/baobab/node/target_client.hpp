/// @file
#pragma once

#include "baobab/core/call_id.hpp"
#include "baobab/core/outcome.hpp"
#include "baobab/core/settings.hpp"
#include "baobab/net/http_client.hpp"

#include <boost/asio/io_context.hpp>
#include <memory>
#include <vector>

namespace baobab {

/// A call as it is handed to the target.
struct TargetCall
{
  CallId id;
  const Request& request;
  bool idempotent = false;
  TimePoint deadline;
  std::size_t answerBytes = 0;
};

/// Lets another fiber cancel a call at the target.
struct TargetControl
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
  bool broken = false;
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

  /// Changes the target's address; pooled connections are dropped.
  void SetEndpoint(const Endpoint& aEndpoint);

  /// Runs a call. Only an idempotent one uses a connection that was used
  /// before.
  TargetResult Run(const TargetCall& aCall, TargetControl& aControl);

  /// True if the target accepts connections.
  bool IsListening();

private:
  std::unique_ptr<HttpClient> TakePooled();
  TargetResult Exchange(const TargetCall& aCall,
                        std::unique_ptr<HttpClient> aClient,
                        TargetControl& aControl);
  Request Prepare(const TargetCall& aCall) const;

  boost::asio::io_context& context;
  const Settings& settings;
  Endpoint endpoint;
  std::vector<std::unique_ptr<HttpClient>> pool;
};

}
