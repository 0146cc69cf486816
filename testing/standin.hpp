/// @file
/// What the stand-ins share: an HTTP server that runs until it is stopped.
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

/// Reports why a stand-in cannot run, and ends the process.
[[noreturn]] inline void
Fail(const Error& aError)
{
  constexpr int kCannotRun = 2;
  std::cerr << Describe(aError) << std::endl;
  std::_Exit(kCannotRun);
}

/// Parses an endpoint of the command line; ends the process if it is none.
inline Endpoint
RequireEndpoint(const std::string& aText)
{
  const auto endpoint = ParseEndpoint(aText);
  if (!Succeeded(endpoint)) {
    Fail(Failure(endpoint));
  }
  return Value(endpoint);
}

/// Serves HTTP on an address until SIGTERM or SIGINT.
/// @param aBodyBytes largest request body
/// @param aAnswer answers a request
/// @param aStart runs first, on a fiber of the server's thread
inline void
RunStandIn(Worker& aWorker,
           const Endpoint& aEndpoint,
           std::size_t aBodyBytes,
           std::function<Response(Request&&)> aAnswer,
           const std::function<void()>& aStart)
{
  constexpr std::size_t kConnections = 100000;
  boost::asio::signal_set signals(aWorker.Context(), SIGTERM, SIGINT);
  signals.async_wait([&](auto, int) { aWorker.Stop(); });
  const HttpHandler handler{
    [&](const HttpHead&) { return aBodyBytes; },
    [answer = std::move(aAnswer)](Request&& aRequest, DisconnectNotifier&) {
      return answer(std::move(aRequest));
    },
    [](HttpRequestError) { return TextResponse(400, "bad request\n"); },
  };
  const HttpLimits limits{ 65536, 60s, 60s, 600s };
  HttpServerState gate(kConnections);
  aWorker.RunHere([&] {
    auto acceptor = Listen(aWorker.Context(), aEndpoint);
    if (!Succeeded(acceptor)) {
      Fail(Failure(acceptor));
    }
    aStart();
    ServeHttp(Value(acceptor), limits, handler, gate);
  });
}

}
