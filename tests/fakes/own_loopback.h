// A loopback address that is specific to this test process. All servers of a test listen on it.
//
// When a server has ended, its port may be reused by another process. If concurrent tests shared one address, a client of one test could
// then reach a server of another test, and its requests would be executed there.
#pragma once

#include <string>
#include <unistd.h>

namespace Onyxnotch::Tests {

inline std::string ownLoopback()
{
    constexpr int addressRange = 250;
    auto id = ::getpid();
    return "127." + std::to_string(1 + id / addressRange % addressRange) + "." + std::to_string(1 + id % addressRange) + ".1";
}

} // namespace Onyxnotch::Tests
