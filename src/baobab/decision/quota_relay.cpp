#include "baobab/decision/quota_relay.hpp"

namespace baobab {

std::optional<Endpoint>
RelayTarget(const QuotaRequest& aRequest,
            const Endpoint& aSelf,
            const std::optional<Endpoint>& aLender)
{
  if (aRequest.relayed || aRequest.borrower == aSelf) {
    return std::nullopt;
  }
  if (aRequest.lender != aSelf) {
    return aRequest.lender;
  }
  const bool bound = aRequest.vote.run != 0;
  return !bound && aLender && *aLender != aSelf ? aLender : std::nullopt;
}

}
