#include "baobab/decision/warmup_limit.hpp"

#include <algorithm>
#include <cmath>

namespace baobab {
namespace {

constexpr Duration kWindow = 1s;

/// Calls that a cold target may get at once.
constexpr double kBurst = 2;

/// Part of the rate, and calls beyond it, that a target may get in one second
/// while it is not known whether it is cold. Targets bear short excesses.
constexpr double kUnprovenFactor = 1.2;
constexpr double kUnprovenCalls = 4;

/// The target is asked as soon as this part of the unproven calls is used up,
/// so that its answer arrives before the rest is.
constexpr std::size_t kProofDivisor = 2;

/// Interval of the questions to a target that said how long it stays cold.
constexpr Duration kColdProofPeriod = 1s;

/// Expected time until a warm target has proved that it is.
constexpr Duration kProofTime = 10ms;

Duration
SecondsToDuration(double aSeconds)
{
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(aSeconds));
}

}

void
WarmupLimit::Configure(double aRate, bool aProven)
{
  this->rate = aRate;
  this->proven = aProven;
  if (this->rate == 0) {
    this->sent.clear();
  }
}

void
WarmupLimit::OnReport(Duration aLeft, TimePoint aAskedAt, TimePoint aNow)
{
  if (aAskedAt < this->answeredAt) {
    return;
  }
  this->answeredAt = aAskedAt;
  if (aLeft > Duration::zero()) {
    for (SentCall& call : this->sent) {
      call.toCold |= call.at >= this->warmAt;
    }
    this->SetCold(aLeft, aNow);
  } else {
    this->coldUntil = aNow;
    this->warmAt = aAskedAt;
  }
}

void
WarmupLimit::SetCold(Duration aTime, TimePoint aNow)
{
  if (!this->IsCold(aNow)) {
    this->tokens = 0;
    this->tokensAt = aNow;
  }
  this->coldUntil = aNow + aTime;
}

bool
WarmupLimit::TryStart(TimePoint aNow)
{
  if (this->rate == 0) {
    return true;
  }
  while (!this->sent.empty() && this->sent.front().at <= aNow - kWindow) {
    this->sent.pop_front();
  }
  if (!this->MayStart(aNow)) {
    return false;
  }
  if (this->IsCold(aNow)) {
    this->tokens = this->Tokens(aNow) - 1;
    this->tokensAt = aNow;
  }
  this->sent.push_back({ aNow, this->IsCold(aNow) });
  return true;
}

bool
WarmupLimit::MayStart(TimePoint aNow) const
{
  if (this->rate == 0) {
    return true;
  }
  const bool cold = this->IsCold(aNow);
  if (cold && this->Tokens(aNow) < 1) {
    return false;
  }
  return !(cold || this->proven) ||
         this->SentSince(this->warmAt, aNow) < this->MostInSecond();
}

Duration
WarmupLimit::TimeUntilStart(std::size_t aAhead, TimePoint aNow) const
{
  if (this->rate == 0 || (aAhead == 0 && this->MayStart(aNow))) {
    return Duration::zero();
  }
  if (!this->IsCold(aNow)) {
    return this->MayStart(aNow) ? Duration::zero() : kProofTime;
  }
  const double missing = static_cast<double>(aAhead + 1) - this->Tokens(aNow);
  return std::clamp(SecondsToDuration(missing / this->rate),
                    Duration::zero(),
                    std::max<Duration>(this->coldUntil - aNow, 1ms));
}

bool
WarmupLimit::NeedsProof(TimePoint aNow) const
{
  if (this->rate == 0 || !this->proven) {
    return false;
  }
  if (this->IsCold(aNow)) {
    return aNow - this->answeredAt >= kColdProofPeriod &&
           this->SentSince(this->answeredAt, aNow) > 0;
  }
  return this->SentSince(this->warmAt, aNow) >=
         this->MostInSecond() / kProofDivisor;
}

std::size_t
WarmupLimit::MostInSecond() const
{
  return static_cast<std::size_t>(this->rate * kUnprovenFactor +
                                  kUnprovenCalls);
}

std::size_t
WarmupLimit::SentSince(TimePoint aTime, TimePoint aNow) const
{
  return static_cast<std::size_t>(
    std::ranges::count_if(this->sent, [&](const SentCall& aCall) {
      return aCall.at > aNow - kWindow && (aCall.toCold || aCall.at >= aTime);
    }));
}

double
WarmupLimit::Tokens(TimePoint aNow) const
{
  const double seconds =
    std::chrono::duration<double>(aNow - this->tokensAt).count();
  return std::min(kBurst, this->tokens + seconds * this->rate);
}

}
