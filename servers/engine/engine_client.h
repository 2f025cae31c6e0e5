// Blocking HTTP client of a model engine: start, resume and cancel of generation streams, KV cache transfer, load reports, and fenced
// orders to load models.
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

// A generation to start. `prior` is the part of the answer that another engine already generated: it is prefilled, not generated again.
struct EngineStreamRequest {
    std::string streamId {}; // Unique for each attempt, also for repeated attempts of one request.
    std::string model {};
    std::string adapter {};
    std::string prompt {};
    std::string prior {};
    unsigned maximumTokens { 0 };
    int priority { 0 };

    bool operator==(const EngineStreamRequest&) const = default;
};

// One event of a stream. Offsets are byte positions in the answer text, `prior` included.
struct EngineEvent {
    std::string streamId {};
    std::uint64_t offset { 0 };
    std::string text {};
    bool end { false }; // The last event; `offset` is then the final offset.
    bool moved { false }; // The engine handed the stream over to another engine and stopped generating.

    bool operator==(const EngineEvent&) const = default;
};

// Load report of an engine: running and queued requests, whether it is draining, and the loaded models.
struct EngineLoad {
    unsigned running { 0 };
    unsigned queued { 0 };
    bool leaving { false };
    std::vector<std::string> models {};

    bool operator==(const EngineLoad&) const = default;
};

// How reading a stream from an engine ended.
enum class EngineStreamEnd {
    Completed, // The last event arrived.
    NotStarted, // The engine was never reached, or it refused the request: nothing was executed.
    Lost, // The connection broke before the last event; the engine may still be generating.
    Gone, // The engine does not know the stream (HTTP 404).
    WrongOffset, // The engine cannot resume at the requested offset (HTTP 416).
};

// A receiver's decision about an event.
enum class EventVerdict {
    Take, // Accepted as the next part of the stream.
    Drop, // Ignored: not part of this stream, or a duplicate. Reading continues.
    Stop, // Stop reading the stream.
};

// Starts or resumes one stream and passes its events to a receiver. Blocks until the stream ends; detach() may be called from another
// thread to end it early.
class EngineStream {
public:
    using Receiver = std::function<EventVerdict(const EngineEvent&)>;

    explicit EngineStream(const Address&);
    ~EngineStream();
    EngineStream(const EngineStream&) = delete;
    EngineStream& operator=(const EngineStream&) = delete;

    // Starts a new generation and reads its events.
    EngineStreamEnd start(const EngineStreamRequest&, const Receiver&);
    // Reads the events of a running stream from a byte offset on.
    EngineStreamEnd resume(const std::string& streamId, std::uint64_t offset, const Receiver&);
    // Stops reading. The engine keeps generating; see EngineClient::cancel().
    void detach();
    // Sets the hook that is called when a response head has arrived, with the request rate limit that it advertises, if any.
    void onHead(std::function<void(std::optional<double> limitPerSecond)> hook) { m_onHead = std::move(hook); }
    // Backoff that the engine requested (Retry-After) when it rejected the request with 429 or 503. Empty if it requested none.
    std::optional<Milliseconds> requestedBackoff() const { return m_requestedBackoff; }

private:
    EngineStreamEnd read(const struct HttpCall&, const Receiver&);

    std::unique_ptr<HttpStream> m_stream;
    std::optional<Milliseconds> m_requestedBackoff {};
    std::function<void(std::optional<double>)> m_onHead { [](std::optional<double>) {} };
};

// An order to load a model version with adapters. An engine that checks fencing tokens refuses an order whose `fence` is lower than the
// highest one that it has seen.
struct EngineOrder {
    std::string orderId {};
    std::uint64_t fence { 0 };
    std::string model {};
    std::string weights {}; // Key in the weight store.
    std::vector<std::string> adapters {};

    bool operator==(const EngineOrder&) const = default;
};

// Calls to one engine that are not streams.
class EngineClient {
public:
    explicit EngineClient(const Address&);

    Result<EngineLoad> load() const;
    // Sends an order and waits up to `timeout`.
    // Errors: Conflict (fence too old), Unavailable (not executed), Ambiguous (may have been executed).
    Status order(const EngineOrder&, Milliseconds timeout) const;
    // Makes the engine stop generating a stream.
    Status cancel(const std::string& streamId) const;
    // Makes this engine fetch the stream's KV cache from the engine at `source` and continue the generation. Returns the number of imported
    // tokens.
    Result<std::uint64_t> importStream(const std::string& streamId, const Address& source, Milliseconds timeout) const;

private:
    Address m_address {};
};

} // namespace Onyxnotch
