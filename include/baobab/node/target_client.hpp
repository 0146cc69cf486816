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
  /// before. @param aConnection is set while the call can be cancelled by
  ///   closing it
  TargetResult Run(const TargetCall& aCall, HttpClient*& aConnection);

  /// True if the target accepts connections.
  bool IsListening();

private:
  std::unique_ptr<HttpClient> TakePooled();
  TargetResult Exchange(const TargetCall& aCall,
                        std::unique_ptr<HttpClient> aClient,
                        HttpClient*& aConnection);
  Request Prepare(const TargetCall& aCall) const;

  boost::asio::io_context& context;
  const Settings& settings;
  Endpoint endpoint;
  std::vector<std::unique_ptr<HttpClient>> pool;
};

}
