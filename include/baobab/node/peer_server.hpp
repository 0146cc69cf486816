/// @file
/// Server for the connections of other daemons.
#pragma once

#include "baobab/core/settings.hpp"
#include "baobab/node/call_server.hpp"

#include <functional>
#include <memory>

namespace baobab {

/// Accepts connections of other daemons and dispatches their messages.
class PeerServer
{
public:
  /// Handles a message about configuration or members and answers it on its
  /// connection. Returns false for other messages.
  using ControlHandler =
    std::function<bool(const std::shared_ptr<FrameConnection>&,
                       const PeerMessage&)>;

  /// @param aIncarnation random number of this process; senders use it to
  ///   notice a restart
  PeerServer(CallServer& aCalls,
             ControlHandler aControlHandler,
             std::uint64_t aIncarnation,
             const Settings& aSettings)
    : calls(aCalls)
    , controlHandler(std::move(aControlHandler))
    , incarnation(aIncarnation)
    , settings(aSettings)
  {
  }

  /// Accepts connections until the acceptor closes.
  void Serve(Tcp::acceptor& aAcceptor);

private:
  void ServeConnection(const std::shared_ptr<FrameConnection>& aFrames);
  bool Handle(SenderConnection& aConnection, PeerMessage aMessage);
  bool OnHello(SenderConnection& aConnection, const HelloMessage& aHello);

  CallServer& calls;
  ControlHandler controlHandler;
  std::uint64_t incarnation;
  const Settings& settings;
};

}
