// What the nodes tell each other about themselves and about what is leaving. Immutable values; the messages are encoded by cereal.
#pragma once

#include "core/net/address.h"
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <string>
#include <vector>

namespace Onyxnotch {

enum class MemberState : std::uint8_t {
    Alive,
    Suspect, // It missed a probe and several indirect ones; it can still refute that.
    Dead,
};

enum class MemberRole : std::uint8_t {
    Gateway,
    Controller,
};

// A node as it describes itself, with the state that others have found.
struct Member {
    std::string node {}; // The instance id with the role, for instance "zone-a-1/gateway".
    std::uint64_t incarnation { 0 }; // Chosen at each start of the process; a later start has a higher one.
    std::uint32_t revision { 0 }; // Raised by the node at each change of its own description.
    MemberState state { MemberState::Alive };
    MemberRole role { MemberRole::Gateway };
    bool leaving { false };
    std::string region {};
    std::string zone {};
    std::string host {};
    std::uint16_t httpPort { 0 };
    std::uint16_t peerPort { 0 };
    std::uint16_t gossipPort { 0 };

    bool operator==(const Member&) const = default;

    Address httpAddress() const { return { .host = host, .port = httpPort }; }
    Address peerAddress() const { return { .host = host, .port = peerPort }; }
    Address gossipAddress() const { return { .host = host, .port = gossipPort }; }

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(node, incarnation, revision, state, role, leaving, region, zone, host, httpPort, peerPort, gossipPort);
    }
};

// Who first knew that an endpoint is leaving.
enum class LeavingSource : std::uint8_t {
    CloudNotice,
    InstanceList,
    EngineReport,
    Operator,
};

// An endpoint incarnation that is leaving. Marks are never taken back: a replacement has an instance id of its own.
struct LeavingMark {
    std::string endpoint {}; // The cloud instance id.
    std::uint64_t deadlineWallMilliseconds { 0 }; // When the instance ends, as far as its source said; 0 where unknown.
    LeavingSource source { LeavingSource::CloudNotice };

    bool operator==(const LeavingMark&) const = default;

    template <class Archive>
    void serialize(Archive& archive) { archive(endpoint, deadlineWallMilliseconds, source); }
};

// A node that is leaving gives its request ledger to another one, which answers for its requests from then on. Only the giver's own
// act makes one. Where the giver has to turn to another node, it raises the generation.
struct Succession {
    std::string fromNode {};
    std::uint64_t fromIncarnation { 0 };
    std::string toNode {};
    std::uint64_t toIncarnation { 0 };
    std::uint32_t generation { 1 };

    bool operator==(const Succession&) const = default;

    template <class Archive>
    void serialize(Archive& archive) { archive(fromNode, fromIncarnation, toNode, toIncarnation, generation); }
};

// A document that is spread between nodes, by name; the version of each name only grows.
struct DocumentVersion {
    std::string name {};
    std::uint64_t version { 0 };

    bool operator==(const DocumentVersion&) const = default;

    template <class Archive>
    void serialize(Archive& archive) { archive(name, version); }
};

// What brings a document from one version to another: whole (`fromVersion` 0) or as changes.
struct DocumentUpdate {
    std::string name {};
    std::uint64_t fromVersion { 0 };
    std::uint64_t version { 0 };
    std::string payload {};

    bool operator==(const DocumentUpdate&) const = default;

    template <class Archive>
    void serialize(Archive& archive) { archive(name, fromVersion, version, payload); }
};

// A probe, its acknowledgement, or a push of news.
struct GossipMessage {
    std::uint64_t sequence { 0 };
    bool acknowledgementWanted { false };
    Member sender {};
    std::uint64_t documentDigest { 0 }; // Over the sender's document versions.
    std::vector<Member> members {};
    std::vector<LeavingMark> marks {};
    std::vector<Succession> successions {};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(sequence, acknowledgementWanted, sender, documentDigest, members, marks, successions);
    }
};

// Asks a third node to probe `target` and to pass the acknowledgement on to the sender.
struct IndirectProbeMessage {
    std::uint64_t sequence { 0 };
    Address origin {};
    Address target {};

    template <class Archive>
    void serialize(Archive& archive) { archive(sequence, origin, target); }
};

struct JoinRequestMessage {
    Member sender {};
    std::vector<DocumentVersion> versions {};

    template <class Archive>
    void serialize(Archive& archive) { archive(sender, versions); }
};

struct JoinReplyMessage {
    std::vector<Member> members {};
    std::vector<LeavingMark> marks {};
    std::vector<Succession> successions {};
    std::vector<DocumentUpdate> documents {};

    template <class Archive>
    void serialize(Archive& archive) { archive(members, marks, successions, documents); }
};

struct DocumentRequestMessage {
    std::vector<DocumentVersion> versions {};

    template <class Archive>
    void serialize(Archive& archive) { archive(versions); }
};

struct DocumentReplyMessage {
    std::vector<DocumentUpdate> documents {};

    template <class Archive>
    void serialize(Archive& archive) { archive(documents); }
};

} // namespace Onyxnotch
