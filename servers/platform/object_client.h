// Adapter of the platform's object API: versions, conditional updates, watches. Its wire format is known in this class alone.
#pragma once

#include "core/clock.h"
#include "core/net/address.h"
#include <atomic>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Onyxnotch {

// A stored value with the version that the API gave it. Versions of one key only grow.
struct StoredObject {
    std::string key {};
    std::uint64_t version { 0 };
    std::string value {}; // JSON text, at most 1 MB.
    bool removed { false }; // Only in watch events.

    bool operator==(const StoredObject&) const = default;
};

// What a watch or a list returned, and the revision of the whole store to go on from.
struct ObjectBatch {
    std::vector<StoredObject> objects {};
    std::uint64_t revision { 0 };
};

struct ObjectClientOptions {
    Address address {};
    Milliseconds connectTimeout { 500 };
    Milliseconds callTimeout { 2000 };
};

// Errors of every call: Unavailable (not carried out), Ambiguous (may have been carried out), Exhausted (over the call rate).
class ObjectClient {
public:
    explicit ObjectClient(const ObjectClientOptions&);

    // Empty where the key does not exist: an answer of the API, never the meaning of an error.
    Result<std::optional<StoredObject>> get(const std::string& key) const;
    // Objects whose key begins with `prefix` and is greater than `afterKey`, in key order, all pages.
    Result<ObjectBatch> list(const std::string& prefix, const std::string& afterKey = {}) const;
    // Creates the key. Errors besides: Conflict where it exists.
    Result<std::uint64_t> create(const std::string& key, const std::string& value) const;
    // Replaces the value of that version. Errors besides: Conflict where the version is another.
    Result<std::uint64_t> update(const std::string& key, const std::string& value, std::uint64_t version) const;
    Status remove(const std::string& key, std::uint64_t version) const;
    // Waits up to `wait` for events after `revision`; an empty batch where there are none. Counts as one call.
    Result<ObjectBatch> watch(const std::string& prefix, std::uint64_t revision, Milliseconds wait) const;

private:
    Result<std::uint64_t> put(const std::string& key, const std::string& value, const std::string& conditionName, const std::string& condition) const;

    ObjectClientOptions m_options;
};

} // namespace Onyxnotch
