/// @file
/// Which connection of a server is closed to make room for a new one.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <list>

namespace baobab {

/// What a connection is used for.
enum class ConnectionUse : std::uint8_t
{
  /// No request is there, and none runs.
  Idle,
  /// The head of a request is arriving, and no request runs.
  Head,
  /// A request has been read in part or in full, or an answer is sent.
  Request,
};

/// The connections of a server by their use, in the order in which it began.
/// A connection with a request is never closed.
template<class Connection>
class ClosingOrder
{
public:
  using Place = typename std::list<Connection*>::iterator;

  /// Adds a connection as one that is used for a request.
  Place Add(Connection* aConnection)
  {
    auto& list = this->ListOf(ConnectionUse::Request);
    return list.insert(list.end(), aConnection);
  }

  /// Records that a use begins. The place of the connection stays valid.
  /// @param aBefore its use until now
  void Move(Place aPlace, ConnectionUse aBefore, ConnectionUse aUse)
  {
    auto& list = this->ListOf(aUse);
    list.splice(list.end(), this->ListOf(aBefore), aPlace);
  }

  void Remove(Place aPlace, ConnectionUse aUse)
  {
    this->ListOf(aUse).erase(aPlace);
  }

  /// Returns the connection that is closed first: the one that has been idle
  /// longest, else the one that has taken longest for its head; null if there
  /// is none.
  /// @param aMayClose returns false for a connection that is passed over
  template<class F>
  Connection* First(F aMayClose) const
  {
    for (const ConnectionUse use :
         { ConnectionUse::Idle, ConnectionUse::Head }) {
      std::size_t tries = kMaxTries;
      for (Connection* connection : this->ListOf(use)) {
        if (tries-- == 0) {
          break;
        }
        if (aMayClose(*connection)) {
          return connection;
        }
      }
    }
    return nullptr;
  }

private:
  /// Connections of one use that are asked, so that a choice among thousands
  /// that are just getting data doesn't hold up the thread.
  static constexpr std::size_t kMaxTries = 32;

  std::list<Connection*>& ListOf(ConnectionUse aUse)
  {
    return this->lists.at(static_cast<std::size_t>(aUse));
  }
  const std::list<Connection*>& ListOf(ConnectionUse aUse) const
  {
    return this->lists.at(static_cast<std::size_t>(aUse));
  }

  std::array<std::list<Connection*>, 3> lists;
};

}
