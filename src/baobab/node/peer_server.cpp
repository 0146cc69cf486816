#include "baobab/node/peer_server.hpp"

#include "baobab/core/result.hpp"
#include "baobab/net/accept.hpp"
#include "baobab/net/log.hpp"
#include "baobab/net/log_events.hpp"
#include "baobab/net/worker.hpp"

namespace baobab {

void
PeerServer::Serve(Tcp::acceptor& aAcceptor)
{
  AcceptConnections(aAcceptor, [this](Tcp::socket aSocket) {
    auto frames = std::make_shared<FrameConnection>(std::move(aSocket));
    Spawn([this, frames] { this->ServeConnection(frames); });
  });
}

void
PeerServer::ServeConnection(const std::shared_ptr<FrameConnection>& aFrames)
{
  SenderConnection connection;
  connection.frames = aFrames;
  while (true) {
    auto message = aFrames->Read();
    if (!Succeeded(message)) {
      if (Failure(message).kind != ErrorKind::ConnectionLost) {
        Log(kPeerMessageInvalid, Failure(message));
      }
      break;
    }
    if (!this->Handle(connection, std::move(Value(message)))) {
      break;
    }
  }
  aFrames->Close();
  if (connection.number != 0) {
    this->calls.RemoveConnection(connection);
  }
}

bool
PeerServer::Handle(SenderConnection& aConnection, PeerMessage aMessage)
{
  if (const auto* hello = std::get_if<HelloMessage>(&aMessage)) {
    return this->OnHello(aConnection, *hello);
  }
  if (this->controlHandler(aConnection.frames, aMessage)) {
    return true;
  }
  if (std::holds_alternative<HeartbeatMessage>(aMessage)) {
    aConnection.frames->Send(HeartbeatMessage{ true });
    return true;
  }
  if (aConnection.number == 0) {
    return false;
  }
  std::visit(
    Overloaded{
      [&](CallMessage& aCall) {
        this->calls.OnCall(aConnection, std::move(aCall));
      },
      [&](OutcomeQueryMessage& aQuery) {
        this->calls.OnOutcomeQuery(aConnection, aQuery);
      },
      [&](ReleaseMessage& aRelease) { this->calls.OnRelease(aRelease); },
      [&](CancelMessage& aCancel) { this->calls.OnCancel(aCancel); },
      [](auto&) {},
    },
    aMessage);
  return true;
}

bool
PeerServer::OnHello(SenderConnection& aConnection, const HelloMessage& aHello)
{
  if (aConnection.number != 0 || aHello.connection == 0) {
    return false;
  }
  SenderConnection opened = aConnection;
  opened.sender = aHello.sender;
  opened.number = aHello.connection;
  opened.crossRegion = aHello.region != this->settings.locality.region;
  if (!this->calls.AddConnection(opened)) {
    return false;
  }
  aConnection = opened;
  aConnection.frames->Send(WelcomeMessage{ this->incarnation });
  return true;
}

}
