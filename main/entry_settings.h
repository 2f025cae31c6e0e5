// Reads the settings file of onyxnotch-entry: JSON that is validated against a schema, which also defines the defaults.
#pragma once

#include "core/log.h"
#include "modules/entry/entry_node.h"

namespace Onyxnotch {

// Settings of an entry node, decoded into the options of its parts.
struct EntrySettings {
    EntryOptions entry {};
    Address store {};
    Address cloud {};
    LogLevel logLevel { LogLevel::Info };
};

// The JSON Schema of the settings file.
const std::string& entrySettingsSchema();

// Reads and validates the file. Errors: InvalidArgument, with the file and the JSON pointer of the invalid key.
Result<EntrySettings> readEntrySettings(const std::string& path);

} // namespace Onyxnotch
