#include "baobab/decision/request_limit.hpp"

#include <algorithm>
#include <cmath>

namespace baobab {
namespace {

/// Time whose unused requests may be sent at once.
constexpr double kBurstSeconds = 0.5;

/// A target whose limit is lower gets a request now and then all the same.
/// Otherwise it could never say that the limit is over.
constexpr double kMinRate = 0.5;

constexpr Duration kMinPause = 100ms;
constexpr Duration kMaxPause = 5s;

Duration
SecondsToDuration(double aSeconds)
{
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(aSeconds));
}

double
CapacityOf(double aRate)
{
  return std::max(1.0, aRate * kBurstSeconds);
}

}

void
RequestLimit::OnAnswer(std::optional<double> aRate, TimePoint aNow)
{
  this->answered = true;
  if (aRate) {
    this->SetRate(*aRate, aNow);
  } else {
    this->rate.reset();
  }
}

void
RequestLimit::OnReport(double aRate, TimePoint aNow)
{
  if (!this->answered) {
    this->SetRate(aRate, aNow);
  }
}

bool
RequestLimit::TryStart(TimePoint aNow)
{
  if (!this->rate) {
    return true;
  }
  this->tokens = this->Tokens(aNow);
  this->updatedAt = aNow;
  if (this->tokens < 1) {
    return false;
  }
  this->tokens -= 1;
  return true;
}

Duration
RequestLimit::TimeUntilNext(TimePoint aNow) const
{
  if (!this->rate) {
    return Duration::zero();
  }
  const double missing = 1 - this->Tokens(aNow);
  return missing <= 0 ? Duration::zero()
                      : SecondsToDuration(missing / *this->rate);
}

void
RequestLimit::Reset()
{
  *this = {};
}

void
RequestLimit::SetRate(double aRate, TimePoint aNow)
{
  const double next = std::max(aRate, kMinRate);
  this->tokens = this->rate ? this->Tokens(aNow) : 0;
  this->tokens = std::min(this->tokens, CapacityOf(next));
  this->updatedAt = aNow;
  this->rate = next;
}

/// Requests that may be sent now.
double
RequestLimit::Tokens(TimePoint aNow) const
{
  const double seconds =
    std::chrono::duration<double>(aNow - this->updatedAt).count();
  return std::min(CapacityOf(*this->rate),
                  this->tokens + seconds * *this->rate);
}

Duration
LimitPause(double aRate, std::size_t aSenders)
{
  const double turns = static_cast<double>(std::max<std::size_t>(1, aSenders));
  return std::clamp(
    SecondsToDuration(turns / std::max(aRate, kMinRate)), kMinPause, kMaxPause);
}

}
