/// @file
#pragma once

#include "baobab/core/endpoint.hpp"

#include <cstdint>
#include <string_view>
#include <vector>

namespace baobab {

/// Returns the members that a role falls to, by highest random weight. Every
/// daemon with the same view computes the same result without an election.
/// @param aMembers candidates, in any order
/// @param aRole name of the role
/// @param aCount members wanted
std::vector<Endpoint> RendezvousPick(const std::vector<Endpoint>& aMembers,
                                     std::string_view aRole,
                                     std::size_t aCount);

}
