/// @file
#pragma once

#include "baobab/core/time.hpp"

#include <optional>

namespace baobab {

/// Limits how many requests a second a target gets, to what it names in its
/// answers. Kept by the daemon beside the target, through which all of its
/// requests pass.
class RequestLimit
{
public:
  /// Applies what an answer of the target names.
  /// @param aRate requests per second; nothing ends the limit
  void OnAnswer(std::optional<double> aRate, TimePoint aNow);

  /// Applies the limit that another daemon saw in an answer. Ignored once the
  /// target has answered: then its own word counts.
  void OnReport(double aRate, TimePoint aNow);

  /// Counts a request. Returns false if it must not be sent to the target now.
  bool TryStart(TimePoint aNow);

  /// Time until the next request may be sent.
  Duration TimeUntilNext(TimePoint aNow) const;

  /// Requests per second; nothing if there is no limit.
  const std::optional<double>& Rate() const { return this->rate; }

  /// Forgets everything: another target has taken the place of this one.
  void Reset();

private:
  void SetRate(double aRate, TimePoint aNow);
  double Tokens(TimePoint aNow) const;

  std::optional<double> rate;
  bool answered = false;
  double tokens = 0;
  TimePoint updatedAt;
};

/// Returns for how long a daemon that was refused because of a limit should
/// send its requests to other targets: until its turn comes again if all
/// senders take turns.
Duration LimitPause(double aRate, std::size_t aSenders);

}
