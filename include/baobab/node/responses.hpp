/// @file
/// Responses that the daemon makes itself.
#pragma once

#include "baobab/core/outcome.hpp"
#include "baobab/net/http_server.hpp"

namespace baobab {

/// Marks a response as one to a request that was not run.
Response MarkNotRun(Response aResponse);

/// Response to a request that could not be read.
Response InvalidRequestResponse(HttpFault aFault);

/// Response for a call that was not run.
/// @param aFractions true if `Retry-After` may have a fraction
Response NotRunResponse(const NotRun& aRefusal, bool aFractions = false);

/// Response for a call whose outcome is unknown.
Response UnknownOutcomeResponse(const OutcomeUnknown& aUnknown);

}
