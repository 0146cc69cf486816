/// @file
#pragma once

#include "baobab/net/http_store.hpp"
#include "baobab/net/worker.hpp"
#include "command_line.hpp"

#include <iostream>
#include <string>

namespace baobab {

/// Runs a function with the store at an address, and returns its exit code.
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
