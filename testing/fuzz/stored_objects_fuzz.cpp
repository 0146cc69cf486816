/// @file
/// Fuzzes the decoders of objects read from the store: manifests, status
/// objects and configuration documents.
#include "baobab/net/manifest_json.hpp"
#include "baobab/net/status_json.hpp"
#include "bytes.hpp"
#include "platform/configuration_document.hpp"

void
baobab::Fuzz(std::span<const std::uint8_t> aBytes)
{
  const auto text = AsText(aBytes);
  (void)DecodeManifest(text);
  (void)DecodeStatus(text);
  boost::system::error_code error;
  const auto document = boost::json::parse(
    boost::json::string_view(text.data(), text.size()), error);
  if (!error) {
    const auto delta = platform::TranslateConfiguration(document, {});
    if (Succeeded(delta)) {
      (void)Configuration().Apply(Value(delta));
    }
  }
}
