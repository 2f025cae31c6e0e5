// Adapter of the model engines: streams, resume, cancel, KV cache transfer, load reports, fenced orders.
#pragma once

#include "core/clock.h"
#include "core/net/address.h"
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Onyxnotch {

class HttpStream;

// A generation to start. `prior` is answer text that was already generated elsewhere and is prefilled, not generated again.
struct EngineStreamRequest {
    std::string streamId {}; // Unique for each attempt.
    std::string model {};
    std::string adapter {};
    std::string prompt {};
    std::string prior {};
    unsigned maximumTokens { 0 };
    int priority { 0 };

    bool operator==(const EngineStreamRequest&) const = default;
};

// One event of a stream. Offsets count bytes of answer text, `prior` included.
struct EngineEvent {
    std::string streamId {};
    std::uint64_t offset { 0 };
    std::string text {};
    bool end { false }; // The last event; `offset` is then the final offset.
    bool moved { false }; // The engine gave the stream to another engine and generates no more.

    bool operator==(const EngineEvent&) const = default;
};

struct EngineLoad {
    unsigned running { 0 };
    unsigned queued { 0 };
    bool leaving { false };
    std::vector<std::string> models {};

    bool operator==(const EngineLoad&) const = default;
};

// How a stream at an engine ended for the reader.
enum class EngineStreamEnd {
    Completed, // The last event arrived.
    NotStarted, // The engine said that it has not started, or was never reached.
    Lost, // Cut in the middle: the stream may go on at the engine.
    Gone, // The engine does not know the stream.
    WrongOffset, // The engine has no such offset.
};

// What a reader makes of an event.
enum class EventVerdict {
    Take,
    Drop, // Not part of this stream, or known already; reading goes on.
    Stop, // Reading ends here.
};

// Reads one attempt's events. Another thread may cut it short.
class EngineStream {
public:
    using Receiver = std::function<EventVerdict(const EngineEvent&)>;

    explicit EngineStream(const Address&);
    ~EngineStream();
    EngineStream(const EngineStream&) = delete;
    EngineStream& operator=(const EngineStream&) = delete;

    EngineStreamEnd start(const EngineStreamRequest&, const Receiver&);
    EngineStreamEnd resume(const std::string& streamId, std::uint64_t offset, const Receiver&);
    // Stops the reading only; the engine goes on.
    void detach();
    // Called when the head of an answer is there, with the limit that it names.
    void onHead(std::function<void(std::optional<double> limitPerSecond)> hook) { m_onHead = std::move(hook); }
    // Where the engine turned the request away and said for how long it wants nothing.
    std::optional<Milliseconds> askedRest() const { return m_askedRest; }

private:
    EngineStreamEnd read(const struct HttpCall&, const Receiver&);

    std::unique_ptr<HttpStream> m_stream;
    std::optional<Milliseconds> m_askedRest {};
    std::function<void(std::optional<double>)> m_onHead { [](std::optional<double>) {} };
};

// An order to load a model version with adapters. The engine refuses a fence lower than the highest it has seen, if it checks fences.
struct EngineOrder {
    std::string orderId {};
    std::uint64_t fence { 0 };
    std::string model {};
    std::string weights {}; // Key in the weight store.
    std::vector<std::string> adapters {};

    bool operator==(const EngineOrder&) const = default;
};

class EngineClient {
public:
    explicit EngineClient(const Address&);

    Result<EngineLoad> load() const;
    // Errors: Conflict where the fence is too old; Unavailable; Ambiguous.
    Status order(const EngineOrder&, Milliseconds timeout) const;
    Status cancel(const std::string& streamId) const;
    // Makes this engine fetch the stream's KV cache from `source` and go on generating it. Returns the tokens it took over.
    Result<std::uint64_t> importStream(const std::string& streamId, const Address& source, Milliseconds timeout) const;

private:
    Address m_address {};
};

} // namespace Onyxnotch
