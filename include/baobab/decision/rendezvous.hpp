/// @file
#pragma once

#include "baobab/core/endpoint.hpp"

#include <cstdint>
#include <string_view>
#include <vector>

namespace baobab {

/// Returns the members that have a role, by rendezvous hashing (highest random
/// weight). Every daemon that knows the same members computes the same result
/// without an election.
/// @param aMembers candidates, in any order
/// @param aRole name of the role
/// @param aCount number of members with the role; fewer if there are not enough
std::vector<Endpoint> RendezvousPick(const std::vector<Endpoint>& aMembers,
                                     std::string_view aRole,
                                     std::size_t aCount);

}
