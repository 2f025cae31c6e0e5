// Value types and messages of the membership protocol between nodes: members, leaving endpoints, ledger successions and documents.
// Messages are encoded by cereal; the order of the serialized fields is the wire format.
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
    Suspect, // Direct and indirect probes failed; the member can still refute the suspicion.
    Dead, // Did not refute the suspicion within the suspicion time.
};

enum class MemberRole : std::uint8_t {
    Gateway,
    Controller,
};

// A node's description of itself, with the state in which other nodes see it.
struct Member {
    std::string node {}; // Instance id and role, e.g. "zone-a-1/gateway".
    std::uint64_t incarnation { 0 }; // Identifies a process start; a later start has a higher value.
    std::uint32_t revision { 0 }; // Incremented by the node itself when its description changes.
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

// Origin of the information that an endpoint is leaving. If several sources report one endpoint, the first in this order is kept.
enum class LeavingSource : std::uint8_t {
    CloudNotice,
    InstanceList,
    EngineReport,
    Operator,
};

// Marks an endpoint as leaving (shutting down). Marks are never revoked: a replacement endpoint has a new instance id.
struct LeavingMark {
    std::string endpoint {}; // The cloud instance id.
    std::uint64_t deadlineWallMilliseconds { 0 }; // Wall-clock time at which the instance ends, as its source reported; 0 if unknown.
    LeavingSource source { LeavingSource::CloudNotice };

    bool operator==(const LeavingMark&) const = default;

    template <class Archive>
    void serialize(Archive& archive) { archive(endpoint, deadlineWallMilliseconds, source); }
};

// Records that a leaving node handed its request ledger over to another node, which is responsible for its requests from then on.
// Only the node that hands over creates a succession. If it has to choose another successor, it raises the generation.
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

// Name and version of a document that is replicated between nodes. The version of a name only increases.
struct DocumentVersion {
    std::string name {};
    std::uint64_t version { 0 };

    bool operator==(const DocumentVersion&) const = default;

    template <class Archive>
    void serialize(Archive& archive) { archive(name, version); }
};

// Updates a document from `fromVersion` to `version`. The payload is the complete document if `fromVersion` is 0, otherwise the changes.
struct DocumentUpdate {
    std::string name {};
    std::uint64_t fromVersion { 0 };
    std::uint64_t version { 0 };
    std::string payload {};

    bool operator==(const DocumentUpdate&) const = default;

    template <class Archive>
    void serialize(Archive& archive) { archive(name, fromVersion, version, payload); }
};

// Datagram of the gossip protocol: a probe, its acknowledgement, or a push of updates without acknowledgement.
struct GossipMessage {
    std::uint64_t sequence { 0 };
    bool acknowledgementWanted { false };
    Member sender {};
    std::uint64_t documentDigest { 0 }; // Hash of the sender's document names and versions.
    std::vector<Member> members {};
    std::vector<LeavingMark> marks {};
    std::vector<Succession> successions {};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(sequence, acknowledgementWanted, sender, documentDigest, members, marks, successions);
    }
};

// Requests that the receiving node probes `target` and forwards the acknowledgement to `origin`.
struct IndirectProbeMessage {
    std::uint64_t sequence { 0 };
    Address origin {};
    Address target {};

    template <class Archive>
    void serialize(Archive& archive) { archive(sequence, origin, target); }
};

// Sent by a starting node: its description and the document versions that it has.
struct JoinRequestMessage {
    Member sender {};
    std::vector<DocumentVersion> versions {};

    template <class Archive>
    void serialize(Archive& archive) { archive(sender, versions); }
};

// Answer to a join request: the complete membership state, and the document updates that the joining node lacks.
struct JoinReplyMessage {
    std::vector<Member> members {};
    std::vector<LeavingMark> marks {};
    std::vector<Succession> successions {};
    std::vector<DocumentUpdate> documents {};

    template <class Archive>
    void serialize(Archive& archive) { archive(members, marks, successions, documents); }
};

// Requests the document updates that a node with these versions lacks.
struct DocumentRequestMessage {
    std::vector<DocumentVersion> versions {};

    template <class Archive>
    void serialize(Archive& archive) { archive(versions); }
};

// Answer to a document request.
struct DocumentReplyMessage {
    std::vector<DocumentUpdate> documents {};

    template <class Archive>
    void serialize(Archive& archive) { archive(documents); }
};

} // namespace Onyxnotch
