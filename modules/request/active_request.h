// State of one accepted model request: its description, the answer text received so far, the location of its current attempt, and a trace
// of the decisions about it. Shared by the thread that runs the request, the readers of its answer and the handover.
#pragma once

#include "modules/request/answer_buffer.h"
#include "servers/engine/engine_client.h"
#include <atomic>
#include <cereal/types/vector.hpp>
#include <deque>
#include <memory>

namespace Onyxnotch {

// What the client requested. Immutable, also when the request moves to another node.
struct RequestDescription {
    std::string id {}; // Text of the request's ticket.
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

// Endpoint at which the current attempt of a request runs. Empty if there is no current attempt.
struct AttemptLocation {
    std::string attempt {}; // Attempt id, also the stream id at the engine. Unique over the attempts of all node incarnations.
    std::string endpoint {};
    Address address {};

    bool operator==(const AttemptLocation&) const = default;
    bool empty() const { return attempt.empty(); }

    template <class Archive>
    void serialize(Archive& archive) { archive(attempt, endpoint, address); }
};

// One decision about a request, as shown by `onyxnotch explain`.
struct TraceEntry {
    std::uint64_t wallTime { 0 }; // Milliseconds since the Unix epoch.
    std::string node {};
    std::string event {};
    std::string detail {};

    bool operator==(const TraceEntry&) const = default;

    template <class Archive>
    void serialize(Archive& archive) { archive(wallTime, node, event, detail); }
};

// Complete state of a request, as sent when a node that is shutting down hands the request over to another node.
struct RequestTransfer {
    RequestDescription description {};
    std::uint64_t remainingMilliseconds { 0 }; // Time left until the request's deadline.
    std::string text {};
    std::vector<AnswerSegment> segments {};
    std::uint32_t tokens { 0 };
    AttemptLocation location {};
    RequestOutcome outcome { RequestOutcome::Running };
    bool mayHaveRun { false };
    std::vector<TraceEntry> trace {};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(description, remainingMilliseconds, text, segments, tokens, location, outcome, mayHaveRun, trace);
    }
};

// Why the thread that runs a request has to stop reading from its engine.
enum class Interruption {
    None,
    EndpointDraining, // The endpoint is draining.
    Handover, // This node is shutting down and hands the request over to another node.
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

    AttemptLocation place() const;
    void setLocation(const AttemptLocation&);

    // Registers the engine stream that is being read, so that interrupt() can stop the reading. Returns false and registers nothing if an
    // interruption is pending.
    bool attach(EngineStream*);
    void detach();
    // Makes the thread that runs the request stop reading and call consumeInterruption(). EndpointDraining does not replace a pending
    // Handover or Cancelled.
    void interrupt(Interruption);
    // Returns the pending interruption. Clears EndpointDraining; Handover and Cancelled stay pending.
    Interruption consumeInterruption();
    // Clears the pending interruption, so that the request can continue here if no other node accepted it in a handover.
    void clearInterruption();

    void trace(const std::string& node, const std::string& event, const std::string& detail);
    std::vector<TraceEntry> traceEntries() const;

    // Records that an engine may have executed part of the request. The request must then not be reported as "not run".
    void markMayHaveRun() { m_mayHaveRun = true; }
    bool mayHaveRun() const { return m_mayHaveRun; }

    // Set while a thread runs the request. After an interruption, the handover calls waitUntilStopped() before it reads the request's
    // state.
    void setRunning(bool);
    void waitUntilStopped() const;
    RequestTransfer transfer() const;

    // Adds `change` to the number of connections that read the answer: 1 when a reader starts, -1 when a reader ends.
    void changeReaderCount(int change);
    // Time for which no connection has been reading the answer. 0 while at least one does.
    Milliseconds timeWithoutReader() const;
    // Records the current time as the time of the final outcome.
    void markFinished();
    // Default-constructed while there is no final outcome.
    SteadyTime finishedAt() const;

private:
    static constexpr std::size_t maximumTraceEntries = 64;

    RequestDescription m_description {};
    SteadyTime m_deadline {};
    AnswerBuffer m_answer;
    mutable std::mutex m_mutex;
    mutable std::condition_variable m_runningChanged;
    AttemptLocation m_location {};
    EngineStream* m_stream { nullptr };
    Interruption m_interruption { Interruption::None };
    bool m_running { false };
    std::atomic<bool> m_mayHaveRun { false };
    int m_readerCount { 0 };
    SteadyTime m_unreadSince {};
    SteadyTime m_finishedAt {};
    std::deque<TraceEntry> m_trace {};
};

} // namespace Onyxnotch
