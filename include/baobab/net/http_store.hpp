/// @file
#pragma once

#include "baobab/net/http_client.hpp"
#include "baobab/net/store.hpp"

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>

namespace baobab {

/// Client of an object store with an HTTP interface. Used by one fiber at a
/// time.
class HttpStore : public Store
{
public:
  /// @param aTimeout for each request, in addition to the time of a watch
  HttpStore(boost::asio::io_context& aContext,
            Endpoint aEndpoint,
            Duration aTimeout);

  Result<std::optional<StoredObject>> Get(std::string_view aKey) override;

  Result<ObjectVersion> Put(std::string_view aKey,
                            std::string_view aValue,
                            const PutCondition& aCondition) override;

  /// Waits until the version of an object differs from the given one. Returns
  /// nothing if it has not changed within the time or does not exist.
  Result<std::optional<StoredObject>> Watch(std::string_view aKey,
                                            std::string_view aVersion,
                                            Duration aTime);

  /// Returns the keys that start with a prefix.
  Result<std::vector<std::string>> List(std::string_view aPrefix);

  Result<std::vector<StoredObject>> ReadAll(std::string_view aPrefix) override;

  std::uint64_t Calls() const override { return this->calls; }

private:
  Result<Response> Send(const Request& aRequest, Duration aTimeout);

  boost::asio::io_context& context;
  Endpoint endpoint;
  Duration timeout;
  std::unique_ptr<HttpClient> client;
  bool requestSent = false;
  std::uint64_t calls = 0;
};

static_assert(ObjectStore<HttpStore>);

}
