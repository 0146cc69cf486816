/// @file
#pragma once

#include "baobab/net/worker.hpp"

#include <functional>
#include <future>

namespace baobab {

/// Runs a function on a fiber and waits for its end. All tests of a program
/// share one thread, which ends with the process: what they leave behind may
/// still run.
inline void
OnFiber(const std::function<void(boost::asio::io_context&)>& aBody)
{
  static Worker* const worker = [] {
    auto* started = new Worker();
    started->Start([] {});
    return started;
  }();
  std::promise<void> ended;
  worker->Post([&] {
    aBody(worker->Context());
    ended.set_value();
  });
  ended.get_future().wait();
}

}
