/// @file
#pragma once

#include "baobab/decision/configuration.hpp"
#include "baobab/decision/membership.hpp"
#include "baobab/decision/quota_borrower.hpp"
#include "baobab/decision/quota_lender.hpp"
#include "baobab/net/log_events.hpp"
#include "baobab/node/drop_counter.hpp"
#include "baobab/node/quota_gate.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>

namespace baobab {

/// Counts of quota messages since the start.
struct QuotaCounts
{
  std::uint64_t sent = 0;
  std::uint64_t sentBytes = 0;
  std::uint64_t received = 0;
  /// Received datagrams that could not be decoded.
  DropCounter refused{ kQuotaMessageRefused };
};

/// Borrows tokens for the calls of this daemon, and lends them to others if it
/// is the lender. Sends nothing while no workspace has a limit. Used only on
/// the control thread.
class QuotaAgent
{
public:
  /// Sends a datagram to another daemon.
  using Sender = std::function<void(const Endpoint&, std::string_view)>;

  QuotaAgent(Membership& aMembership, QuotaGate& aGate, Sender aSender);

  /// Takes the limits from a configuration.
  void SetConfiguration(const Configuration& aConfiguration);

  /// Runs the timers until the process ends.
  void Run();

  /// Sends a request at once, because a call waits.
  void OnWaiting() { this->Poll(); }

  /// Handles a datagram.
  /// @param aFrom daemon that sent it, not always the one it is from
  void Handle(std::span<const std::uint8_t> aBytes, const Endpoint& aFrom);

  /// Stops lending, so that the others turn to another daemon.
  void Leave() { this->lender.Leave(); }

  const QuotaCounts& Counts() const { return this->counts; }
  bool Lends();
  std::int64_t Lent();
  std::int64_t Held() const;

private:
  void UpdateMembers(TimePoint aNow);
  void Poll();
  void Receive(QuotaMessage aMessage, const Endpoint& aFrom);
  void Send(const Endpoint& aTo, const QuotaMessage& aMessage);
  void LogLender(TimePoint aNow);
  void LogRefusals(TimePoint aNow);

  /// A limited workspace and when its refusals may be logged again.
  struct Limited
  {
    std::string name;
    TimePoint nextLine;
  };

  Membership& membership;
  QuotaGate& gate;
  Sender sender;
  QuotaLender lender;
  QuotaBorrower borrower;
  QuotaCells cells;
  std::unordered_map<WorkspaceId, Limited> workspaces;
  std::optional<std::uint64_t> membersVersion;
  std::optional<Endpoint> loggedLender;
  QuotaCounts counts;
};

}
