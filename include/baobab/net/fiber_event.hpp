/// @file
#pragma once

#include "baobab/core/time.hpp"

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>
#include <mutex>

namespace baobab {

/// Wakes one or more fibers of the same thread.
class FiberEvent
{
public:
  /// Wakes the fibers that wait now, or the next one that does.
  void Notify()
  {
    this->raised = true;
    this->condition.notify_all();
  }

  /// Waits until the signal is raised, and lowers it.
  void Wait()
  {
    std::unique_lock lock(this->mutex);
    this->condition.wait(lock, [&] { return this->raised; });
    this->raised = false;
  }

  /// Waits like Wait, but no longer than until a time point. Returns true if
  /// the signal was raised.
  bool WaitUntil(TimePoint aTime)
  {
    std::unique_lock lock(this->mutex);
    const bool woken =
      this->condition.wait_until(lock, aTime, [&] { return this->raised; });
    this->raised = false;
    return woken;
  }

private:
  bool raised = false;
  boost::fibers::mutex mutex;
  boost::fibers::condition_variable condition;
};

}
