/// @file
#pragma once

namespace baobab {

/// Permission to send a request to a target once. Every function that sends one
/// takes a permit, so that no request is sent again without a retry budget.
class SendPermit
{
public:
  /// For a request that no target has been handed yet.
  static SendPermit ForFirstSend() { return SendPermit{}; }

  /// For a call that arrived from another daemon, which held a permit.
  static SendPermit ForArrivedCall() { return SendPermit{}; }

  SendPermit(SendPermit&&) noexcept = default;
  SendPermit& operator=(SendPermit&&) noexcept = default;
  SendPermit(const SendPermit&) = delete;
  SendPermit& operator=(const SendPermit&) = delete;
  ~SendPermit() = default;

private:
  friend class RetryBudget;

  SendPermit() = default;
};

}
