/// @file
/// Order of the requests on a connection whose caller pipelines them.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace baobab {

/// Decides which requests of one connection run side by side, in which order
/// their responses are written, and which requests are dropped. Requests that
/// overlap others are those that may be repeated; every other request runs
/// alone.
class PipelineOrder
{
public:
  /// Maximum number of requests that are read and not yet answered.
  static constexpr std::size_t kMaxRequests = 8;

  /// No further request is read while the requests and the responses that wait
  /// hold this many bytes or more.
  static constexpr std::size_t kMaxHeldBytes = 256U << 10U;

  /// Identifies a request; rises with each request of the connection.
  using Ticket = std::uint64_t;

  struct Entry
  {
    /// True if the request may run beside others.
    bool overlaps = false;
    /// True if the connection ends after its response.
    bool closes = false;
    /// Bytes that the request holds.
    std::size_t bytes = 0;
  };

  enum class Turn : std::uint8_t
  {
    Wait,
    Go,
    /// The request is not run, or its response not written.
    Drop,
  };

  /// True if another request may be read now.
  bool MayRead() const;

  /// Records that the next request is being read.
  void StartRead() { this->reading = true; }
  bool Reading() const { return this->reading; }

  /// Adds the request that was read. No further one is read behind a request
  /// that closes the connection.
  Ticket Admit(Entry aEntry);

  /// Records that the next request was not read, and none will be.
  void EndRead();

  /// Tells whether a request may start.
  Turn StartTurn(Ticket aTicket);

  /// Sets the bytes that a finished request holds until it is answered.
  void SetHeldBytes(Ticket aTicket, std::size_t aBytes);

  /// Tells whether the response to a request may be written.
  Turn WriteTurn(Ticket aTicket) const;

  /// Decides whether the connection ends after the response that is written
  /// next. If so, no further request is read.
  /// @param aStopping true if the server stops
  bool EndsAfter(Ticket aTicket, bool aStopping);

  /// Removes a request that was answered or dropped.
  void Remove(Ticket aTicket);

  /// Drops the requests that have not started and reads no further ones.
  void Withdraw();

  /// As Withdraw, and drops the responses that have not been written.
  void Break();

  bool Empty() const { return this->entries.empty(); }
  std::size_t Size() const { return this->entries.size(); }
  /// True if no further request is read.
  bool Closed() const { return this->closed; }
  bool Withdrawn() const { return this->withdrawn; }

private:
  struct Request
  {
    Ticket ticket;
    Entry entry;
  };

  std::vector<Request>::iterator Find(Ticket aTicket);

  std::vector<Request> entries;
  Ticket next = 0;
  bool reading = false;
  bool closed = false;
  bool withdrawn = false;
  bool broken = false;
};

}
