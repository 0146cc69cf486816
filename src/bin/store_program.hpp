/// @file
/// Access to the object store from a command-line program.
#pragma once

#include "baobab/net/http_store.hpp"
#include "baobab/net/worker.hpp"
#include "command_line.hpp"

#include <iostream>
#include <string>

namespace baobab {

/// Connects to the object store and calls a function with it.
/// @param aTimeout limit for each request to the store
/// @param aFunction takes an HttpStore& and returns the exit code
/// @return the exit code; kExitUsage if aAddress is invalid
template<class F>
int
RunWithStore(const std::string& aAddress, Duration aTimeout, F aFunction)
{
  const auto endpoint = ParseEndpoint(aAddress);
  if (!Succeeded(endpoint)) {
    std::cerr << "--store: " << Describe(Failure(endpoint)) << "\n";
    return kExitUsage;
  }
  int code = 0;
  Worker worker;
  worker.RunHere([&] {
    HttpStore store(worker.Context(), Value(endpoint), aTimeout);
    code = aFunction(store);
    worker.Stop();
  });
  return code;
}

}
