/// @file
#pragma once

#include "baobab/core/settings.hpp"
#include "baobab/decision/call_attempt.hpp"
#include "baobab/net/frame_connection.hpp"
#include "baobab/net/signal.hpp"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>

namespace baobab {

/// Outcome of one attempt and the load that came with it.
struct AttemptResult
{
  CallId id;
  Outcome outcome;
  std::optional<LoadReport> load;
  /// Of an answer: time that the target took, as if its host were unhurried,
  /// and time from the call's arrival there; 0 if not known.
  Duration work = Duration::zero();
  Duration serverTime = Duration::zero();
};

/// Called when the load of a daemon's target has changed.
using LoadListener = std::function<void(const Endpoint&, const LoadReport&)>;

/// Lets another fiber of the same thread cancel a running attempt.
struct Cancellation
{
  /// Set while the attempt can be cancelled.
  std::function<void()> cancel;
};

/// What the target's daemon is told about a call besides the request.
struct CallTerms
{
  bool idempotent = false;
  std::uint8_t priority = 0;
  TimePoint deadline;
  /// Time until which an answer has its full worth.
  TimePoint objective;
  /// Usual time of the call on an unhurried host; 0 if not known.
  Duration work = Duration::zero();
  /// Time in which another target is believed to finish; 0 if there is none.
  Duration alternative = Duration::zero();
  /// True if every step of the call is logged.
  bool traced = false;
};

/// Identity of the sending end of a worker's links.
struct LinkIdentity
{
  std::uint64_t sender = 0;
  std::string region;
  /// Address from which connections are opened.
  std::uint32_t localAddress = 0;
  /// Sequence of the next attempt. Shared by the links of a worker, so that no
  /// two of their attempts have the same identity in the logs.
  std::shared_ptr<std::uint64_t> nextSequence =
    std::make_shared<std::uint64_t>(1);
};

/// Carries calls of one worker to one daemon over one connection at a time,
/// and finds out what became of them when a connection is lost.
class PeerLink : public std::enable_shared_from_this<PeerLink>
{
public:
  PeerLink(boost::asio::io_context& aContext,
           Endpoint aEndpoint,
           LinkIdentity aIdentity,
           const Timeouts& aTimeouts,
           LoadListener aOnLoad);

  /// Runs one attempt; suspends the fiber until its outcome is known or its
  /// deadline passed.
  /// @param aCancellation filled while the attempt runs
  AttemptResult Run(const Request& aRequest,
                    const CallTerms& aTerms,
                    Cancellation* aCancellation = nullptr);

  /// Asks to have back what has not started at the target; those attempts end
  /// as "not run".
  void WithdrawWaiting();

  /// Attempts whose outcome is not known yet.
  std::size_t InFlight() const { return this->pending.size(); }

private:
  struct PendingAttempt
  {
    CallAttempt attempt;
    const Request& request;
    CallTerms terms;
    std::optional<LoadReport> load;
    Duration work = Duration::zero();
    Duration serverTime = Duration::zero();
    Signal finished;
  };

  void Perform(PendingAttempt& aPending, AttemptAction aAction);
  void GiveUp(PendingAttempt& aPending, AttemptAction aAction);
  void MaintainConnection();
  bool Connect();
  bool Handshake();
  void ReadUntilLost();
  void Dispatch(PeerMessage& aMessage);
  void SendHeartbeats(const std::shared_ptr<FrameConnection>& aConnection);
  PendingAttempt* Find(const CallId& aId);

  template<class F>
  void ForEachPending(F aEvent);

  boost::asio::io_context& context;
  Endpoint endpoint;
  LinkIdentity identity;
  const Timeouts& timeouts;
  LoadListener onLoad;
  ConnectionNumber connectionNumber = 0;
  std::uint64_t incarnation = 0;
  /// True if the last connection was given up because it was silent.
  bool silent = false;
  bool maintaining = false;
  bool ready = false;
  std::shared_ptr<FrameConnection> connection;
  std::unordered_map<std::uint64_t, PendingAttempt*> pending;
  TimePoint lastUsed;
};

}
