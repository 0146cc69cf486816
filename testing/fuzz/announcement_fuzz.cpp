/// @file
/// Fuzzes the parsers of target announcements and of load headers.
#include "baobab/node/admin.hpp"
#include "baobab/node/target_client.hpp"
#include "bytes.hpp"

void
baobab::Fuzz(std::span<const std::uint8_t> aBytes)
{
  (void)ParseAnnouncement(AsText(aBytes), "i-1");
  (void)ParseAnnouncement(AsText(aBytes), "");
  (void)ParseLoad(AsText(aBytes));
}
