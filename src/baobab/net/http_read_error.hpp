/// @file
/// Classifies the errors of reading a request.
#pragma once

#include "baobab/net/http_server.hpp"

#include <boost/system/error_code.hpp>

namespace baobab {

/// Returns why a request is invalid.
HttpRequestError RequestErrorOf(const boost::system::error_code& aError);

/// True if a request could not be read because the client has disconnected,
/// and not because the request is invalid or timed out.
bool IsDisconnect(const boost::system::error_code& aError);

}
