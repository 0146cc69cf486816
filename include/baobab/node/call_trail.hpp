/// @file
#pragma once

#include "baobab/core/call_class.hpp"
#include "baobab/core/call_id.hpp"
#include "baobab/core/endpoint.hpp"
#include "baobab/core/locality.hpp"
#include "baobab/core/time.hpp"
#include "baobab/decision/target_load.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace baobab {

/// What decided one attempt of a call, and how it ended.
struct AttemptRecord
{
  CallId call;
  Endpoint target;
  Tier tier = Tier::SameZone;
  /// True if it was sent while another attempt ran.
  bool second = false;
  Duration expected = Duration::zero();
  Duration alternative = Duration::zero();
  LoadSnapshot known;
  TimePoint began;
  Duration took = Duration::zero();
  Duration held = Duration::zero();
  std::string_view outcome;
  std::string detail;
};

/// How a call ended.
struct CallEnd
{
  std::string_view service;
  std::string route;
  bool idempotent = false;
  CallClass callClass = CallClass::Good;
  unsigned status = 0;
  std::string detail;
  Duration took = Duration::zero();
  /// Time that the call had.
  Duration time = Duration::zero();
  std::uint64_t generation = 0;
};

/// The way of one call. It goes to the log when the call is over, if the call
/// did not end well or is one of the sample.
class CallTrail
{
public:
  /// @param aRequest identity of the request; one is made up if it has none
  CallTrail(std::string aRequest, bool aTraced, TimePoint aBegan);

  const std::string& Request() const { return this->request; }
  bool Traced() const { return this->traced; }

  void Add(AttemptRecord aRecord);

  /// Ends the trail. Attempts that are still being cancelled follow later.
  void End(const CallEnd& aEnd);

private:
  void Write(const AttemptRecord& aRecord) const;

  std::string request;
  bool traced;
  TimePoint began;
  std::vector<AttemptRecord> attempts;
  bool written = false;
};

}
