#include "baobab/core/workspace.hpp"

#include <algorithm>
#include <xxhash.h>

namespace baobab {

WorkspaceId
IdOfWorkspace(std::string_view aName)
{
  return std::max<WorkspaceId>(1, XXH3_64bits(aName.data(), aName.size()));
}

}
