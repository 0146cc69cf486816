/// @file
/// Encoding of member records, used by gossip datagrams and member lists.
#pragma once

#include "baobab/core/result.hpp"
#include "baobab/decision/member.hpp"
#include "generated/gossip_generated.h"

namespace baobab {

/// Encodes a record into a buffer, in which equal strings are stored once.
flatbuffers::Offset<wire::fb::Member> EncodeMember(
  flatbuffers::FlatBufferBuilder& aBuilder,
  const MemberRecord& aRecord);

/// Decodes a record. Fails with BadMessage if a field is out of range.
Result<MemberRecord> DecodeMember(const wire::fb::Member& aMember);

}
