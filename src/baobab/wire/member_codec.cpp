#include "member_codec.hpp"

namespace baobab {
namespace {

std::string
Text(const flatbuffers::String* aString)
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
  const bool known =
    aMember.state() <= static_cast<std::uint8_t>(MemberState::Dead) &&
    aMember.target_state() <= static_cast<std::uint8_t>(TargetState::Leaving);
  if (!known || aMember.address() == 0 || aMember.port() == 0) {
    return Error{ ErrorKind::BadMessage, "member record out of range", "" };
  }
  MemberRecord record;
  record.endpoint = { aMember.address(), aMember.port() };
  record.incarnation = aMember.incarnation();
  record.state = static_cast<MemberState>(aMember.state());
  record.locality = { Text(aMember.region()), Text(aMember.zone()) };
  record.service = Text(aMember.service());
  record.targetState = static_cast<TargetState>(aMember.target_state());
  record.slots = aMember.slots();
  return record;
}

}
