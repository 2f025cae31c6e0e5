// Measures CPU time, memory and token throughput of one onyxnotch-entry process for different numbers of open streams, with one token
// every 79 ms on each stream.
#pragma once

namespace Onyxnotch::Tests {

void measureEntryStreams();

} // namespace Onyxnotch::Tests
