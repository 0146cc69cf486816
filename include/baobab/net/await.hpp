/// @file
/// Suspends a fiber until an asynchronous operation completes.
#pragma once

#include <boost/fiber/context.hpp>
#include <boost/fiber/waker.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>

namespace baobab {

/// Result of an asynchronous operation.
struct IoResult
{
  boost::system::error_code error;
  std::size_t bytes = 0;

  explicit operator bool() const { return !this->error; }
};

/// Starts an asynchronous operation and suspends the calling fiber until its
/// completion handler has run. The handler must run on the fiber's thread.
/// @param aStart starts the operation with the completion handler it is given
template<class Start>
IoResult
Await(Start&& aStart)
{
  struct State
  {
    IoResult result;
    bool done = false;
    boost::fibers::waker waker;
  };
  State state;
  boost::fibers::context* fiber = boost::fibers::context::active();
  state.waker = fiber->create_waker();
  aStart([&state](boost::system::error_code aError, std::size_t aBytes = 0) {
    state.result = { aError, aBytes };
    state.done = true;
    state.waker.wake();
  });
  while (!state.done) {
    fiber->suspend();
  }
  return state.result;
}

}
