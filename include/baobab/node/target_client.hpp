/// @file
/// HTTP client for the local target.
#pragma once

#include "baobab/core/call_id.hpp"
#include "baobab/core/load_report.hpp"
#include "baobab/core/outcome.hpp"
#include "baobab/core/settings.hpp"
#include "baobab/decision/send_permit.hpp"
#include "baobab/net/http_client.hpp"
#include "baobab/node/target_signals.hpp"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace baobab {

/// Parses a load header, `running,waiting,slots[,slowness]`. Returns nothing if
/// it is malformed.
std::optional<LoadReport> ParseLoad(std::string_view aText);

/// A call to be sent to the target.
struct TargetCall
{
  CallId id;
  const Request& request;
  bool idempotent = false;
  TimePoint deadline;
  /// Largest accepted body of the answer.
  std::size_t maxAnswerBytes = 0;
};

/// Lets another fiber cancel a call that runs at the target.
struct TargetCallControl
{
  /// Set while the call is on a connection.
  HttpClient* connection = nullptr;
  bool cancelled = false;

  /// Closes the connection of the call, if it has one.
  void Cancel()
  {
    this->cancelled = true;
    if (this->connection != nullptr) {
      this->connection->Close();
    }
  }
};

/// Result of a call at the target.
struct TargetResult
{
  Outcome outcome;
  /// True if the connection broke before the answer began.
  bool connectionBroken = false;
  /// Load that the target reported in the headers of its answer.
  std::optional<LoadReport> load;
  /// Set if the target answered.
  std::optional<TargetSignals> signals;
};

/// Returns a permit to send a call again; nothing if it must not be.
using RepeatPermitter = std::function<std::optional<SendPermit>()>;

/// Sends calls to the local target over pooled connections.
class TargetClient
{
public:
  TargetClient(boost::asio::io_context& aContext, const Settings& aSettings)
    : context(aContext)
    , settings(aSettings)
  {
  }

  /// Sets the target's address and instance. A change closes the pooled
  /// connections.
  /// @param aInstance sent as a header with every call; empty if not known
  void SetTarget(const Endpoint& aEndpoint, std::string_view aInstance);

  /// Sends a GET request to the target's health path. Fails with
  /// ConnectFailed, ConnectionLost, TimedOut or BadMessage.
  Result<Response> GetHealth(std::string_view aPath, Duration aTimeout);

  /// Sends a GET request to a health path at any address, on a new connection.
  /// Fails like GetHealth.
  Result<Response> GetHealthOf(const Endpoint& aAddress,
                               std::string_view aPath,
                               Duration aTimeout);

  /// Runs a call; suspends the fiber until its result is known. Only an
  /// idempotent call uses a pooled connection, which the target may close at
  /// any time. It is then sent once more, on a new connection, if that is
  /// permitted.
  /// @param aPermit used up by the first send
  /// @param aRepeat asked for the permit to send again
  TargetResult Run(const TargetCall& aCall,
                   TargetCallControl& aControl,
                   SendPermit aPermit,
                   const RepeatPermitter& aRepeat);

  /// True if the target accepts connections.
  bool IsListening();

private:
  std::unique_ptr<HttpClient> AcquireFromPool();
  struct PooledConnection
  {
    std::unique_ptr<HttpClient> client;
    /// Time until which the target is expected to keep the connection open.
    TimePoint usableUntil;
  };

  TargetResult Exchange(const TargetCall& aCall,
                        std::unique_ptr<HttpClient> aClient,
                        TargetCallControl& aControl,
                        SendPermit aPermit);
  TargetResult ClassifyAnswer(const TargetCall& aCall, Response aAnswer) const;
  bool IsRefusal(const Response& aAnswer, const CallId& aId) const;
  void ReturnToPool(std::unique_ptr<HttpClient> aClient);
  std::vector<HeaderField> HeadersFor(const TargetCall& aCall) const;

  boost::asio::io_context& context;
  const Settings& settings;
  Endpoint endpoint;
  std::string instance;
  std::vector<PooledConnection> pool;
};

}
