/// @file
#pragma once

#include "baobab/decision/quota_message.hpp"

#include <optional>

namespace baobab {

/// Returns the daemon to which a request is passed on; nothing if this daemon
/// answers it. A daemon relays requests for others, so that daemons reach a
/// lender beyond a link that has failed, and those for itself to the lender
/// that it uses, so that all daemons turn to the same one.
/// @param aLender the lender that this daemon uses
std::optional<Endpoint> RelayTarget(const QuotaRequest& aRequest,
                                    const Endpoint& aSelf,
                                    const std::optional<Endpoint>& aLender);

}
