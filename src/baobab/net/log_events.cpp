#include "baobab/net/log_events.hpp"

namespace baobab {
namespace {

/// Calls a function with each event, in the order of the reference.
template<class F>
void
ForEachEvent(F aFunction)
{
  const auto visit = [&](const auto&... aEvents) { (aFunction(aEvents), ...); };
  visit(kStarted,
        kCallerConnectionsLowered,
        kMemoryBound,
        kDraining,
        kStopped,
        kWorkersStalled,
        kWorkersResumed,
        kSettingsApplied,
        kSettingsRejected,
        kLogDropped,
        kTargetState,
        kTargetDeparted,
        kAnnouncementOutdated,
        kAnnouncementUnproven,
        kAnnouncementForeign,
        kAnnouncementInvalid,
        kTargetCrashed,
        kTargetConnectionLost,
        kTargetAnswerMalformed,
        kTargetLimit,
        kTargetWarmth,
        kZoneEvacuated,
        kZoneRestored,
        kQuarantineRead,
        kQuarantineStored,
        kQuarantineNotStored,
        kMemberState,
        kConfigurationAdopted,
        kConfigurationRejected,
        kConfigurationState,
        kRetriesDenied,
        kStoreLost,
        kStoreRegained,
        kPullFailed,
        kGossipRefused,
        kGossipUnsent,
        kExchangeFailed,
        kSeedsNotWritten,
        kSeedInvalid,
        kPeersMissing,
        kStatusInvalid,
        kLinkConnectFailed,
        kStoreEntryInvalid,
        kLinkLost,
        kPeerMessageInvalid,
        kPeerAnswerMalformed,
        kCallAttempt,
        kCallEnded,
        kKeyRefused,
        kQuotaExceeded,
        kQuotaLender,
        kQuotaMessageRefused,
        kOutOfMemory,
        kSecondSent,
        kCallQueued,
        kCallStarted,
        kCallRefused,
        kCallFinished,
        kCallLost,
        kCallFenced);
}

std::string
EventSection(std::string_view aName,
             std::string_view aChannel,
             LogLevel aLevel,
             LogDropPolicy aDropPolicy,
             std::string_view aHelp)
{
  std::string text = "### `" + std::string(aName) + "`\n\n";
  text += std::string(aHelp) + "\n\nChannel `" + std::string(aChannel) +
          "`, level `" + std::string(Name(aLevel)) + "`" +
          (aDropPolicy == LogDropPolicy::DropFirst ? ", dropped first" : "") +
          ".\n\n";
  return text;
}

}

std::string
LogReference()
{
  std::string page;
  ForEachEvent([&](const auto& aEvent) {
    page += EventSection(aEvent.name,
                         aEvent.channel,
                         aEvent.level,
                         aEvent.dropPolicy,
                         aEvent.help);
    if (!aEvent.fields.empty()) {
      page += "| field | meaning |\n| --- | --- |\n";
    }
    for (const LogField& field : aEvent.fields) {
      page += "| `" + std::string(field.name) + "` | " +
              std::string(field.help) + " |\n";
    }
    page += aEvent.fields.empty() ? "" : "\n";
  });
  return page;
}

}
