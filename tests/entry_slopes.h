// What grows with the streams that are open through one onyxnotch-entry; a token each 79 ms.
#pragma once

namespace Onyxnotch::Tests {

void measureEntryStreams();

} // namespace Onyxnotch::Tests
