#include "baobab/node/settings_reloader.hpp"

#include "baobab/net/log.hpp"
#include "baobab/net/log_events.hpp"

#include <boost/fiber/operations.hpp>

namespace baobab {
namespace {

/// Interval between checks of the file's stamp.
constexpr Duration kPollPeriod = 500ms;

std::string
Joined(const std::vector<std::string>& aKeys)
{
  std::string text;
  for (const std::string& key : aKeys) {
    text += (text.empty() ? "" : " ") + key;
  }
  return text;
}

}

SettingsReloader::SettingsReloader(const LoadedSettings& aStart,
                                   SettingsReader aReader,
                                   std::function<void(const Settings&)> aApply)
  : entries(aStart.entries)
  , reader(std::move(aReader))
  , apply(std::move(aApply))
  , stamp(this->reader.stamp())
{
}

void
SettingsReloader::Run()
{
  while (true) {
    boost::this_fiber::sleep_for(kPollPeriod);
    const std::int64_t now = this->reader.stamp();
    if (now != this->stamp) {
      this->stamp = now;
      this->Reload(false);
    }
  }
}

void
SettingsReloader::Reload(bool aConfirm)
{
  auto next = this->reader.load();
  if (!Succeeded(next)) {
    Log(kSettingsRejected, Failure(next));
    return;
  }
  const SettingsChange change =
    ChangeBetween(this->entries, Value(next).entries);
  this->entries = std::move(Value(next).entries);
  if (!change.live.empty()) {
    this->apply(Value(next).settings);
  }
  if (aConfirm || !change.Empty()) {
    Log(kSettingsApplied, Joined(change.live), Joined(change.afterRestart));
  }
}

}
