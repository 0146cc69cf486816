/// @file
/// The sending side of calls between daemons.
#pragma once

#include "baobab/core/settings.hpp"
#include "baobab/decision/call_attempt.hpp"
#include "baobab/decision/send_permit.hpp"
#include "baobab/net/fiber_event.hpp"
#include "baobab/net/frame_connection.hpp"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace baobab {

/// Outcome of one attempt and what the target's daemon reported with it.
struct AttemptResult
{
  CallId id;
  Outcome outcome;
  /// Load of the target.
  std::optional<LoadReport> load;
  /// If answered: time that the target took, converted to a host at normal
  /// speed; 0 if not known.
  Duration work = Duration::zero();
  /// If answered: time from the call's arrival at the target's daemon until its
  /// answer; 0 if not known.
  Duration serverTime = Duration::zero();
  /// Set if the daemon's answer was malformed; it is not in the outcome.
  std::optional<std::string> malformedPart;
};

/// Called when a daemon reports that the load of its target has changed.
using LoadListener = std::function<void(const Endpoint&, const LoadReport&)>;

/// Lets another fiber of the same thread cancel a running attempt.
struct Cancellation
{
  /// Set while the attempt can be cancelled.
  std::function<void()> cancel;
};

/// Properties of a call that the target's daemon receives with the request.
struct CallTerms
{
  bool idempotent = false;
  /// Priority in the target's queue; 0 is the highest.
  std::uint8_t priority = 0;
  TimePoint deadline;
  /// End of the latency objective; a later answer counts as late.
  TimePoint objective;
  /// Estimated time of the call on a host at normal speed; 0 if not known.
  Duration work = Duration::zero();
  /// Expected time at the best other target; 0 if there is none.
  Duration alternative = Duration::zero();
  /// True if every step of the call is logged, however it ends.
  bool traced = false;
  /// Expected size of the answer; 0 if not known.
  std::int64_t answerBytes = 0;
  /// Limit of requests a second that the target named lately.
  std::optional<double> targetLimit;
  /// Workspace of the caller; 0: none.
  WorkspaceId workspace = 0;
};

/// Identifies a worker to the daemons that it calls.
struct LinkIdentity
{
  /// Random ID of the worker.
  std::uint64_t sender = 0;
  /// Region of the worker.
  std::string region;
  /// Local address that connections are opened from.
  std::uint32_t localAddress = 0;
  /// Sequence number of the next attempt. Shared by the links of a worker, so
  /// that their attempts have different IDs in the logs.
  std::shared_ptr<std::uint64_t> nextSequence =
    std::make_shared<std::uint64_t>(1);
};

/// Sends calls of one worker to one daemon over one connection at a time. After
/// a lost connection it reconnects and asks for the outcome of the calls that
/// were sent.
class PeerLink : public std::enable_shared_from_this<PeerLink>
{
public:
  PeerLink(boost::asio::io_context& aContext,
           Endpoint aEndpoint,
           LinkIdentity aIdentity,
           const Timeouts& aTimeouts,
           LoadListener aOnLoad);

  /// Runs one attempt; suspends the fiber until its outcome is known or its
  /// deadline has passed.
  /// @param aPermit used up by the attempt
  /// @param aCancellation set while the attempt can be cancelled
  AttemptResult Run(const Request& aRequest,
                    const CallTerms& aTerms,
                    SendPermit aPermit,
                    Cancellation* aCancellation = nullptr);

  /// Cancels the attempts that have not started at their target. They end as
  /// "not run".
  void WithdrawWaiting();

  /// Number of attempts whose outcome is not known yet.
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
    std::optional<std::string> malformedPart;
    FiberEvent finished;
  };

  void Perform(PendingAttempt& aPending, AttemptAction aAction);
  void SendCall(const PendingAttempt& aPending);
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
  /// True if the last connection was closed because the daemon did not answer.
  bool silent = false;
  /// True while a fiber runs MaintainConnection().
  bool maintaining = false;
  /// True if the handshake is complete and the connection is not lost.
  bool ready = false;
  std::shared_ptr<FrameConnection> connection;
  std::unordered_map<std::uint64_t, PendingAttempt*> pending;
  TimePoint lastUsed;
};

}
