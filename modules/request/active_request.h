// One accepted model request: what was asked, its answer so far, the attempt that is live, and what was decided about it.
#pragma once

#include "modules/request/answer_buffer.h"
#include "servers/engine/engine_client.h"
#include <atomic>
#include <cereal/types/vector.hpp>
#include <deque>
#include <memory>

namespace Onyxnotch {

// What a caller asked. Never changes, also not when the request moves to another node.
struct RequestDescription {
    std::string id {}; // The text of its ticket.
    std::string team {};
    std::string service {};
    std::string prompt {};
    std::uint32_t promptTokens { 0 };
    std::uint32_t maximumTokens { 0 };
    std::int32_t priority { 0 };

    bool operator==(const RequestDescription&) const = default;

    template <class Archive>
    void serialize(Archive& archive) { archive(id, team, service, prompt, promptTokens, maximumTokens, priority); }
};

// Where the live attempt runs.
struct AttemptPlace {
    std::string attempt {}; // Also its stream id at the engine; unique for each attempt of every node incarnation.
    std::string endpoint {};
    Address address {};

    bool operator==(const AttemptPlace&) const = default;
    bool empty() const { return attempt.empty(); }

    template <class Archive>
    void serialize(Archive& archive) { archive(attempt, endpoint, address); }
};

// One decision about a request, for `onyxnotch explain`.
struct TraceEntry {
    std::uint64_t wallTime { 0 }; // Milliseconds since the Unix epoch.
    std::string node {};
    std::string event {};
    std::string detail {};

    bool operator==(const TraceEntry&) const = default;

    template <class Archive>
    void serialize(Archive& archive) { archive(wallTime, node, event, detail); }
};

// The whole of a request as it moves from a leaving node to another one.
struct RequestTransfer {
    RequestDescription description {};
    std::uint64_t remainingMilliseconds { 0 }; // Until its deadline.
    std::string text {};
    std::vector<AnswerSegment> segments {};
    std::uint32_t tokens { 0 };
    AttemptPlace place {};
    RequestOutcome outcome { RequestOutcome::Running };
    bool mayHaveRun { false };
    std::vector<TraceEntry> trace {};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(description, remainingMilliseconds, text, segments, tokens, place, outcome, mayHaveRun, trace);
    }
};

// Why the thread that runs a request was told to stop reading from its engine.
enum class Interruption {
    None,
    EndpointLeaving,
    Handover,
    Cancelled,
};

class ActiveRequest {
public:
    ActiveRequest(RequestDescription, SteadyTime deadline);
    explicit ActiveRequest(const RequestTransfer&);

    const RequestDescription& description() const { return m_description; }
    SteadyTime deadline() const { return m_deadline; }
    AnswerBuffer& answer() { return m_answer; }
    const AnswerBuffer& answer() const { return m_answer; }

    AttemptPlace place() const;
    void setPlace(const AttemptPlace&);

    // The stream that is being read, so that interrupt() can end the reading. Returns false where an interruption is pending.
    bool attach(EngineStream*);
    void detach();
    // Makes the running thread stop reading soon and see why. Handover and cancellation stand; an endpoint's leaving is consumed.
    void interrupt(Interruption);
    Interruption takeInterruption();
    // The handover found nobody: the request may go on here.
    void clearInterruption();

    void trace(const std::string& node, const std::string& event, const std::string& detail);
    std::vector<TraceEntry> traceEntries() const;

    // Some engine may have run a part of it, so "not run" may not be said any more.
    void noteMayHaveRun() { m_mayHaveRun = true; }
    bool mayHaveRun() const { return m_mayHaveRun; }

    // While its thread runs. The handover waits for the thread to see the interruption.
    void setRunning(bool);
    void waitStopped() const;
    RequestTransfer transfer() const;

    void noteReader(int change);
    // How long nobody has been reading the answer; zero while somebody does.
    Milliseconds unreadFor() const;
    void noteFinished();
    SteadyTime finishedAt() const;

private:
    static constexpr std::size_t maximumTraceEntries = 64;

    RequestDescription m_description {};
    SteadyTime m_deadline {};
    AnswerBuffer m_answer;
    mutable std::mutex m_mutex;
    mutable std::condition_variable m_stopped;
    AttemptPlace m_place {};
    EngineStream* m_stream { nullptr };
    Interruption m_interruption { Interruption::None };
    bool m_running { false };
    std::atomic<bool> m_mayHaveRun { false };
    int m_readers { 0 };
    SteadyTime m_unreadSince {};
    SteadyTime m_finishedAt {};
    std::deque<TraceEntry> m_trace {};
};

} // namespace Onyxnotch
