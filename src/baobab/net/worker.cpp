#include "baobab/net/worker.hpp"

#include <boost/fiber/future/promise.hpp>
#include <boost/fiber/operations.hpp>
#include <chrono>

namespace baobab {
namespace {

constexpr std::chrono::milliseconds kStopCheckPeriod{ 100 };

}

Worker::~Worker()
{
  this->Stop();
  if (this->thread.joinable()) {
    this->thread.join();
  }
}

void
Worker::Start(std::function<void()> aMain)
{
  this->thread =
    std::thread([this, main = std::move(aMain)] { this->RunHere(main); });
}

void
Worker::RunHere(std::function<void()> aMain)
{
  UseFiberScheduler(this->context);
  Spawn(std::move(aMain));
  while (!this->stopping) {
    boost::this_fiber::sleep_for(kStopCheckPeriod);
  }
}

void
Worker::Stop()
{
  this->stopping = true;
}

bool
Worker::RespondsWithin(Duration aTime)
{
  const auto hasResponded = [](const auto& aResponse, Duration aWait) {
    return aResponse.wait_for(aWait) == boost::fibers::future_status::ready;
  };
  if (!this->response.valid() ||
      hasResponded(this->response, Duration::zero())) {
    boost::fibers::promise<void> promise;
    this->response = promise.get_future().share();
    this->Post(
      [promise = std::move(promise)]() mutable { promise.set_value(); });
  }
  const auto current = this->response;
  return hasResponded(current, aTime);
}

}
