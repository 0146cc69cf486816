/// @file
/// Conversion of member records, shared by datagrams and member lists.
#pragma once

#include "baobab/core/result.hpp"
#include "baobab/decision/member.hpp"
#include "generated/gossip_generated.h"

namespace baobab {

/// Adds a record to a buffer; equal strings are stored once.
flatbuffers::Offset<wire::fb::Member> EncodeMember(
  flatbuffers::FlatBufferBuilder& aBuilder,
  const MemberRecord& aRecord);

/// Reads a record. Fails with BadMessage if a field has no meaning.
Result<MemberRecord> DecodeMember(const wire::fb::Member& aMember);

}
