/// @file
/// Shared by the stand-ins: an HTTP server that runs until it is stopped, and
/// the handling of command line errors.
#pragma once

#include "baobab/core/endpoint.hpp"
#include "baobab/net/http_server.hpp"
#include "baobab/net/worker.hpp"

#include <boost/asio/signal_set.hpp>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <string>

namespace baobab {

/// Prints an error and ends the process with exit code 2.
[[noreturn]] inline void
ExitWithError(const Error& aError)
{
  constexpr int kExitCode = 2;
  std::cerr << Describe(aError) << std::endl;
  std::_Exit(kExitCode);
}

/// Parses an endpoint given on the command line. An invalid one ends the
/// process with an error.
inline Endpoint
RequireEndpoint(const std::string& aText)
{
  const auto endpoint = ParseEndpoint(aText);
  if (!Succeeded(endpoint)) {
    ExitWithError(Failure(endpoint));
  }
  return Value(endpoint);
}

/// Serves HTTP on an address until SIGTERM or SIGINT.
/// @param aMaxBodyBytes largest request body accepted
/// @param aHandle handles one request
/// @param aStart runs before the first request, on a fiber of aWorker's thread
inline void
RunStandIn(Worker& aWorker,
           const Endpoint& aEndpoint,
           std::size_t aMaxBodyBytes,
           std::function<Response(Request&&)> aHandle,
           const std::function<void()>& aStart)
{
  constexpr std::size_t kMaxConnections = 100000;
  boost::asio::signal_set signals(aWorker.Context(), SIGTERM, SIGINT);
  signals.async_wait([&](auto, int) { aWorker.Stop(); });
  const HttpHandler handler{
    [&](const HttpHead&) { return aMaxBodyBytes; },
    [handle = std::move(aHandle)](Request&& aRequest, DisconnectNotifier&) {
      return handle(std::move(aRequest));
    },
    [](HttpRequestError) { return TextResponse(400, "bad request\n"); },
  };
  const HttpLimits limits{ 65536, 60s, 60s, 600s };
  HttpServerState serverState(kMaxConnections);
  aWorker.RunHere([&] {
    auto acceptor = Listen(aWorker.Context(), aEndpoint);
    if (!Succeeded(acceptor)) {
      ExitWithError(Failure(acceptor));
    }
    aStart();
    ServeHttp(Value(acceptor), limits, handler, serverState);
  });
}

}
