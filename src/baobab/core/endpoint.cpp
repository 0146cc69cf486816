#include "baobab/core/endpoint.hpp"

#include <arpa/inet.h>
#include <charconv>

namespace baobab {

std::string
ToString(const Endpoint& aEndpoint)
{
  const auto byte = [&](unsigned aShift) {
    return std::to_string((aEndpoint.address >> aShift) & 0xffU);
  };
  return byte(24) + "." + byte(16) + "." + byte(8) + "." + byte(0) + ":" +
         std::to_string(aEndpoint.port);
}

Result<Endpoint>
ParseEndpoint(std::string_view aText)
{
  const Error error{ ErrorKind::Syntax,
                     "'" + std::string(aText) + "' is not a valid endpoint",
                     "write an IPv4 address and a port, for example "
                     "127.0.0.1:8080" };
  const auto colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return error;
  }
  in_addr address{};
  const std::string host(aText.substr(0, colon));
  if (inet_pton(AF_INET, host.c_str(), &address) != 1) {
    return error;
  }
  const std::string_view digits = aText.substr(colon + 1);
  std::uint16_t port = 0;
  const auto [end, code] =
    std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (code != std::errc{} || end != digits.data() + digits.size()) {
    return error;
  }
  return Endpoint{ ntohl(address.s_addr), port };
}

}
