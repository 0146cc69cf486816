/// @file
/// The links of a worker to other daemons.
#pragma once

#include "baobab/node/peer_link.hpp"

#include <boost/asio/io_context.hpp>
#include <memory>
#include <unordered_map>

namespace baobab {

/// The links of one worker, one for each daemon that it has called.
class LinkPool
{
public:
  LinkPool(boost::asio::io_context& aContext,
           LinkIdentity aIdentity,
           const Timeouts& aTimeouts,
           LoadListener aOnLoad)
    : context(aContext)
    , identity(std::move(aIdentity))
    , timeouts(aTimeouts)
    , onLoad(std::move(aOnLoad))
  {
  }

  /// Returns the link to a daemon; creates it on first use.
  std::shared_ptr<PeerLink> Get(const Endpoint& aEndpoint)
  {
    auto& link = this->links[aEndpoint];
    if (!link) {
      link = std::make_shared<PeerLink>(
        this->context, aEndpoint, this->identity, this->timeouts, this->onLoad);
    }
    return link;
  }

  /// @copydoc PeerLink::WithdrawWaiting
  void WithdrawWaiting()
  {
    for (auto& [endpoint, link] : this->links) {
      link->WithdrawWaiting();
    }
  }

private:
  boost::asio::io_context& context;
  LinkIdentity identity;
  const Timeouts& timeouts;
  LoadListener onLoad;
  std::unordered_map<Endpoint, std::shared_ptr<PeerLink>> links;
};

}
