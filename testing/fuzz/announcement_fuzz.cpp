/// @file
/// Announcements and load figures of targets.
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
