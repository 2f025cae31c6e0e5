// Blocking HTTP client of the platform's object API: versioned objects, conditional updates and watches.
// The API's wire format is known in this class only.
#pragma once

#include "core/clock.h"
#include "core/net/address.h"
#include <atomic>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Onyxnotch {

// A stored value with the version that the API assigned. Versions of a key only increase.
struct StoredObject {
    std::string key {};
    std::uint64_t version { 0 };
    std::string value {}; // JSON text, at most 1 MB.
    bool removed { false }; // Set only in watch events: the key was deleted.

    bool operator==(const StoredObject&) const = default;
};

// Result of a list or a watch. `revision` is the store-wide revision from which the next watch should start.
struct ObjectBatch {
    std::vector<StoredObject> objects {};
    std::uint64_t revision { 0 };
};

struct ObjectClientOptions {
    Address address {};
    Milliseconds connectTimeout { 500 };
    Milliseconds callTimeout { 2000 };
};

// Errors of every call: Unavailable (not executed), Ambiguous (may have been executed), Exhausted (call rate limit exceeded).
class ObjectClient {
public:
    explicit ObjectClient(const ObjectClientOptions&);

    // Returns nothing if the API answered that the key does not exist. A failed call is returned as an error instead.
    Result<std::optional<StoredObject>> get(const std::string& key) const;
    // Returns all objects whose key begins with `prefix` and is greater than `afterKey`, in key order. Fetches all pages.
    Result<ObjectBatch> list(const std::string& prefix, const std::string& afterKey = {}) const;
    // Creates the key and returns its version. Additional error: Conflict if the key exists.
    Result<std::uint64_t> create(const std::string& key, const std::string& value) const;
    // Replaces the value if the key still has this version; returns the new version. Additional error: Conflict if the version differs.
    Result<std::uint64_t> update(const std::string& key, const std::string& value, std::uint64_t version) const;
    // Deletes the key if it still has this version. Additional errors: Conflict if the version differs, NotFound.
    Status remove(const std::string& key, std::uint64_t version) const;
    // Long poll: waits up to `wait` for changes after `revision`; returns an empty batch if there are none. Counts as one call for the
    // rate limit.
    Result<ObjectBatch> watch(const std::string& prefix, std::uint64_t revision, Milliseconds wait) const;

private:
    // Conditional write; the condition is sent as the header field `conditionName`.
    Result<std::uint64_t> put(const std::string& key, const std::string& value, const std::string& conditionName, const std::string& condition) const;

    ObjectClientOptions m_options;
};

} // namespace Onyxnotch
