#include "baobab/net/worker.hpp"

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

}
