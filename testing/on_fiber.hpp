/// @file
/// Runs the body of a unit test on a fiber.
#pragma once

#include "baobab/net/worker.hpp"

#include <functional>
#include <future>

namespace baobab {

/// Runs a function on a fiber and waits until it returns. All tests of a
/// program share one worker thread. It is never stopped, so that operations
/// that a test leaves pending may still complete.
inline void
OnFiber(const std::function<void(boost::asio::io_context&)>& aBody)
{
  static Worker* const worker = [] {
    auto* started = new Worker();
    started->Start([] {});
    return started;
  }();
  std::promise<void> done;
  worker->Post([&] {
    aBody(worker->Context());
    done.set_value();
  });
  done.get_future().wait();
}

}
