/// @file
#pragma once

#include "baobab/core/settings.hpp"
#include "baobab/node/call_server.hpp"

#include <functional>
#include <memory>

namespace baobab {

/// Accepts connections of other daemons and reads their messages.
class PeerServer
{
public:
  /// Answers a request for configuration or members on its connection.
  /// Returns false if the message is something else.
  using ControlHandler =
    std::function<bool(const std::shared_ptr<FrameConnection>&,
                       const PeerMessage&)>;

  PeerServer(CallServer& aCalls,
             ControlHandler aControl,
             std::uint64_t aIncarnation,
             const Settings& aSettings)
    : calls(aCalls)
    , controlHandler(std::move(aControl))
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
