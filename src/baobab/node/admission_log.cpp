#include "baobab/node/admission_log.hpp"

#include "baobab/net/clock.hpp"
#include "baobab/net/log.hpp"
#include "baobab/net/log_events.hpp"

namespace baobab {

void
LogQueued(const LoggedCall& aCall,
          std::uint8_t aPriority,
          const LoadReport& aLoad)
{
  Log(kCallQueued,
      aCall.requestId,
      aCall.id,
      aPriority,
      aCall.deadline - Now(),
      aLoad.running,
      aLoad.queued,
      aLoad.slots,
      aLoad.slowness);
}

void
LogStarted(const LoggedCall& aCall, const LoadReport& aLoad)
{
  const TimePoint now = Now();
  Log(kCallStarted,
      aCall.requestId,
      aCall.id,
      now - aCall.arrivedAt,
      aCall.deadline - now,
      aLoad.running,
      aLoad.queued,
      aLoad.slots,
      aLoad.slowness);
}

void
LogRefused(const LoggedCall& aCall,
           const NotRun& aRefusal,
           const LoadReport& aLoad)
{
  const TimePoint now = Now();
  Log(kCallRefused,
      aCall.requestId,
      aCall.id,
      Name(aRefusal.reason),
      aRefusal.detail,
      now - aCall.arrivedAt,
      aCall.deadline - now,
      aLoad.running,
      aLoad.queued,
      aLoad.slots,
      aLoad.slowness);
}

void
LogFinished(const LoggedCall& aCall,
            unsigned aStatus,
            TimePoint aStartedAt,
            double aSlowness)
{
  Log(kCallFinished,
      aCall.requestId,
      aCall.id,
      aStatus,
      aStartedAt - aCall.arrivedAt,
      Now() - aStartedAt,
      aSlowness);
}

void
LogLost(const LoggedCall& aCall,
        UnknownCause aCause,
        TimePoint aStartedAt,
        double aSlowness)
{
  Log(kCallLost,
      aCall.requestId,
      aCall.id,
      Describe(aCause),
      aStartedAt - aCall.arrivedAt,
      Now() - aStartedAt,
      aSlowness);
}

}
