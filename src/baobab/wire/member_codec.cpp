#include "member_codec.hpp"

namespace baobab {
namespace {

std::string
StringOrEmpty(const flatbuffers::String* aString)
{
  return aString == nullptr ? std::string() : aString->str();
}

}

flatbuffers::Offset<wire::fb::Member>
EncodeMember(flatbuffers::FlatBufferBuilder& aBuilder,
             const MemberRecord& aRecord)
{
  const auto region = aBuilder.CreateSharedString(aRecord.locality.region);
  const auto zone = aBuilder.CreateSharedString(aRecord.locality.zone);
  const auto service = aBuilder.CreateSharedString(aRecord.service);
  return wire::fb::CreateMember(aBuilder,
                                aRecord.endpoint.address,
                                aRecord.endpoint.port,
                                aRecord.incarnation,
                                static_cast<std::uint8_t>(aRecord.state),
                                region,
                                zone,
                                service,
                                static_cast<std::uint8_t>(aRecord.targetState),
                                aRecord.slots);
}

Result<MemberRecord>
DecodeMember(const wire::fb::Member& aMember)
{
  const bool knownStates =
    aMember.state() <= static_cast<std::uint8_t>(MemberState::Dead) &&
    aMember.target_state() <= static_cast<std::uint8_t>(TargetState::Leaving);
  if (!knownStates || aMember.address() == 0 || aMember.port() == 0) {
    return Error{ ErrorKind::BadMessage,
                  "member record with an unknown state or without an address",
                  "" };
  }
  MemberRecord record;
  record.endpoint = { aMember.address(), aMember.port() };
  record.incarnation = aMember.incarnation();
  record.state = static_cast<MemberState>(aMember.state());
  record.locality = { StringOrEmpty(aMember.region()),
                      StringOrEmpty(aMember.zone()) };
  record.service = StringOrEmpty(aMember.service());
  record.targetState = static_cast<TargetState>(aMember.target_state());
  record.slots = aMember.slots();
  return record;
}

}
