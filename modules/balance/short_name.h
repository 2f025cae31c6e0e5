// 32-bit hashes that stand for nodes and endpoints in messages that list hundreds of them.
#pragma once

#include "modules/balance/prefix_cache.h"
#include "modules/traffic/endpoint_incarnation.h"

namespace Onyxnotch {

// If two names collide they are treated as one; the only effect is that their values are added up.
using ShortName = std::uint32_t;
inline ShortName shortNameOf(const std::string& name) { return static_cast<ShortName>(mixHash(std::hash<std::string> {}(name), 0)); }
inline ShortName shortNameOf(const EndpointIncarnation& life) { return static_cast<ShortName>(mixHash(hashOf(life), 0)); }

} // namespace Onyxnotch
