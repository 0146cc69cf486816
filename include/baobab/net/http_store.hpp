/// @file
#pragma once

#include "baobab/net/http_client.hpp"
#include "baobab/net/store.hpp"

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>

namespace baobab {

/// The object store over HTTP. Used by one fiber at a time.
class HttpStore : public Store
{
public:
  HttpStore(boost::asio::io_context& aContext,
            Endpoint aEndpoint,
            Duration aTimeout);

  /// Reads an object; nothing if it does not exist.
  Result<std::optional<StoredObject>> Get(std::string_view aKey) override;

  /// Writes an object under a condition and returns its new version.
  Result<ObjectVersion> Put(std::string_view aKey,
                            std::string_view aValue,
                            const PutCondition& aCondition) override;

  /// Waits until an object has another version than the given one. Returns
  /// nothing if it has not changed after the time.
  Result<std::optional<StoredObject>> Watch(std::string_view aKey,
                                            std::string_view aVersion,
                                            Duration aTime);

  /// Returns the keys with a prefix.
  Result<std::vector<std::string>> List(std::string_view aPrefix);

  Result<std::vector<StoredObject>> ReadAll(std::string_view aPrefix) override;

  std::uint64_t Calls() const override { return this->calls; }

private:
  Result<Response> Send(const Request& aRequest, Duration aTimeout);

  boost::asio::io_context& context;
  Endpoint endpoint;
  Duration timeout;
  std::unique_ptr<HttpClient> client;
  bool sent = false;
  std::uint64_t calls = 0;
};

static_assert(ObjectStore<HttpStore>);

}
