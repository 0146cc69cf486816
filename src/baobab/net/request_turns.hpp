/// @file
/// Lets the fibers of a connection wait until it is the turn of their requests.
#pragma once

#include "baobab/decision/pipeline_order.hpp"
#include "baobab/net/http_server.hpp"

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>
#include <mutex>
#include <utility>
#include <vector>

namespace baobab {

/// The order of a connection's requests, and the callers of those that run.
class RequestTurns
{
public:
  using Ticket = PipelineOrder::Ticket;
  using Turn = PipelineOrder::Turn;

  /// Suspends the fiber until a request may start. Returns false if it may not.
  bool AwaitStart(Ticket aTicket)
  {
    return this->Await([&] { return this->order.StartTurn(aTicket); });
  }

  /// Suspends the fiber until a response may be written. Returns false if it
  /// may not.
  bool AwaitWrite(Ticket aTicket)
  {
    return this->Await([&] { return this->order.WriteTurn(aTicket); });
  }

  /// Suspends the fiber until all requests have been answered. Returns false if
  /// the caller has left before.
  bool AwaitEmpty()
  {
    return this->Await([&] {
      if (this->order.Withdrawn()) {
        return Turn::Drop;
      }
      return this->order.Empty() ? Turn::Go : Turn::Wait;
    });
  }

  void Remove(Ticket aTicket)
  {
    this->order.Remove(aTicket);
    this->changed.notify_all();
  }

  /// @copydoc PipelineOrder::Withdraw
  void Withdraw()
  {
    this->order.Withdraw();
    this->changed.notify_all();
  }

  void AddCaller(DisconnectNotifier& aCaller)
  {
    this->callers.push_back(&aCaller);
  }

  void RemoveCaller(DisconnectNotifier& aCaller)
  {
    std::erase(this->callers, &aCaller);
  }

  /// Notifies all requests that run of the caller's disconnect. Must not be
  /// called from a fiber.
  void NotifyCallers()
  {
    for (DisconnectNotifier* caller : std::exchange(this->callers, {})) {
      caller->NotifyDisconnect();
    }
  }

  PipelineOrder& Order() { return this->order; }
  const PipelineOrder& Order() const { return this->order; }

private:
  template<class F>
  bool Await(F aTurn)
  {
    Turn turn = aTurn();
    while (turn == Turn::Wait) {
      std::unique_lock lock(this->mutex);
      this->changed.wait(lock);
      lock.unlock();
      turn = aTurn();
    }
    return turn == Turn::Go;
  }

  PipelineOrder order;
  std::vector<DisconnectNotifier*> callers;
  boost::fibers::mutex mutex;
  boost::fibers::condition_variable changed;
};

}
