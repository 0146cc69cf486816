/// @file
/// Responses that the daemon generates itself.
#pragma once

#include "baobab/core/outcome.hpp"
#include "baobab/net/http_server.hpp"

namespace baobab {

/// Adds the header which tells the caller that the request was not run.
Response MarkNotRun(Response aResponse);

/// Returns the response to a request that could not be read.
Response InvalidRequestResponse(HttpRequestError aError);

/// Returns the response for a call that was not run.
/// @param aFractions if true, `Retry-After` has fractions of a second;
///   otherwise it is rounded up to whole seconds
Response NotRunResponse(const NotRun& aRefusal, bool aFractions = false);

/// Returns the response for a call whose outcome is unknown.
Response UnknownOutcomeResponse(const OutcomeUnknown& aUnknown);

}
