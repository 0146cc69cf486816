/// @file
#pragma once

#include "baobab/core/time.hpp"

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>
#include <mutex>

namespace baobab {

/// Auto-reset event between fibers of the same thread.
class FiberEvent
{
public:
  /// Sets the event.
  void Notify()
  {
    this->isSet = true;
    this->condition.notify_all();
  }

  /// Waits until the event is set, and resets it.
  void Wait()
  {
    std::unique_lock lock(this->mutex);
    this->condition.wait(lock, [&] { return this->isSet; });
    this->isSet = false;
  }

  /// Waits until the event is set or a time point is reached, and resets the
  /// event. Returns true if it was set.
  bool WaitUntil(TimePoint aTime)
  {
    std::unique_lock lock(this->mutex);
    const bool wasSet =
      this->condition.wait_until(lock, aTime, [&] { return this->isSet; });
    this->isSet = false;
    return wasSet;
  }

private:
  bool isSet = false;
  boost::fibers::mutex mutex;
  boost::fibers::condition_variable condition;
};

}
