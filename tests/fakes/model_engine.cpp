// Fake model engine: continuous batching, a prefix cache of limited size, streams that continue without a reader, resume, cancel, KV cache
// transfer, delayed load reports, fenced orders. Its speed is configurable; the generated text depends only on the prompt.
#include "core/digest.h"
#include "core/net/http_client.h"
#include "core/net/server_sent_events.h"
#include "tests/fakes/expected_answer.h"
#include "tests/fakes/fake_program.h"
#include <condition_variable>
#include <list>
#include <map>
#include <mutex>
#include <thread>
#include <unistd.h>

namespace {

using namespace Onyxnotch;
using namespace Onyxnotch::Fakes;

constexpr auto usage = R"(Usage: onyxnotch-fake-model-engine [options]

Options:
  --port PORT            Port [default: 0].
  --weights ADDRESS      Weight store; empty: models are there at once [default: ].
  --token-us TIME        Microseconds between two tokens of a stream [default: 5000].
  --prefill-rate RATE    Prompt tokens a second [default: 100000].
  --slots COUNT          Streams at once; more wait [default: 32].
  --cached-blocks N      Blocks of 128 prompt tokens that the prefix cache holds [default: 4096].
  --transfer-rate RATE   KV cache tokens a second between engines [default: 1000000].
  --load-ms TIME         Milliseconds that loading a model takes [default: 20].
  --report-lag-ms TIME   Age of load reports [default: 200].
  --threads COUNT        Connections at once [default: 512].
  --ignore-fences        Obey orders with any fence.
)";

constexpr std::size_t bytesPerToken = 4;
constexpr std::size_t blockBytes = 512;

// An answer being generated. It progresses with time, whether or not a client reads it.
struct Stream {
    std::string prompt;
    unsigned priorTokens { 0 }; // Tokens of the answer that another engine has generated before.
    unsigned maximumTokens { 0 };
    bool running { false }; // The stream has been assigned a slot.
    SteadyTime firstTokenAt;
    bool cancelled { false };
    bool moved { false };
};

class ModelEngine {
public:
    explicit ModelEngine(const CommandLine& arguments)
        : m_weights(arguments.text("--weights"))
        , m_tokenTime(std::stol(arguments.text("--token-us")))
        , m_prefillRate(std::stod(arguments.text("--prefill-rate")))
        , m_slots(std::stoul(arguments.text("--slots")))
        , m_cachedBlocks(std::stoul(arguments.text("--cached-blocks")))
        , m_transferRate(std::stod(arguments.text("--transfer-rate")))
        , m_loadTime(std::stol(arguments.text("--load-ms")))
        , m_reportLag(std::stol(arguments.text("--report-lag-ms")))
        , m_checksFences(!arguments.flag("--ignore-fences"))
    {
    }

    void addRoutes(HttpServer& server)
    {
        server.route("POST", "/v1/streams", [this](const HttpRequest& it) { return start(jsonBody(it)); });
        server.route("GET", "/v1/streams/([^/]+)", [this](const HttpRequest& it) { return resume(it); });
        server.route("POST", "/v1/streams/([^/]+)/cancel", [this](const HttpRequest& it) { return cancel(it.captures[0]); });
        server.route("GET", "/v1/streams/([^/]+)/kv", [this](const HttpRequest& it) { return exportCache(it.captures[0]); });
        server.route("POST", "/v1/kv/import", [this](const HttpRequest& it) { return importCache(jsonBody(it)); });
        server.route("GET", "/v1/load", [this](const HttpRequest&) { return load(); });
        server.route("POST", "/v1/orders", [this](const HttpRequest& it) { return order(jsonBody(it)); });
        server.route("GET", "/control", [this](const HttpRequest&) { return counts(); });
        // {"fault":"refuse|cut|truncate|cross|repeat|gap|early_end","after":N,"retry_after":"2"}: a fault after N tokens; {"leaving":true};
        // {"limit":"2"}: the limit advertised in the response that starts a stream.
        server.route("POST", "/control", [this](const HttpRequest& it) { return control(jsonBody(it)); });
    }

private:
    using Lock = std::unique_lock<std::mutex>;

    unsigned tokensOf(const Stream& stream, SteadyTime now) const
    {
        if (!stream.running || now < stream.firstTokenAt)
            return stream.priorTokens;
        auto elapsedTokens = std::chrono::duration_cast<std::chrono::microseconds>(now - stream.firstTokenAt).count() / m_tokenTime;
        return static_cast<unsigned>(std::min<std::int64_t>(stream.maximumTokens, stream.priorTokens + elapsedTokens + 1));
    }

    bool ended(const Stream& stream, SteadyTime now) const { return stream.cancelled || stream.moved || (stream.running && tokensOf(stream, now) >= stream.maximumTokens); }

    unsigned runningLocked() const
    {
        auto now = steadyNow();
        unsigned count = 0;
        for (const auto& [id, it] : m_streams)
            count += it.running && !ended(it, now) ? 1 : 0;
        return count;
    }

    unsigned waitingForPrefillLocked() const
    {
        auto now = steadyNow();
        unsigned count = 0;
        for (const auto& [id, it] : m_streams)
            count += it.running && !it.cancelled && !it.moved && it.firstTokenAt > now ? 1 : 0;
        return count;
    }

    HttpResponse start(const Json& body)
    {
        auto id = body.value("stream_id", "");
        Lock lock(m_mutex);
        if (m_fault == "refuse" || id.empty() || m_streams.contains(id)) {
            ++m_counts["refused"];
            auto refusal = reply(503, { { "error", "not started" } });
            if (!m_retryAfter.empty())
                refusal.headers.emplace("Retry-After", m_retryAfter);
            return refusal;
        }
        Stream stream { .prompt = body.value("prompt", ""), .maximumTokens = body.value("max_tokens", 1U), .firstTokenAt = {} };
        auto prior = body.value("prior", "");
        stream.priorTokens = static_cast<unsigned>(std::count(prior.begin(), prior.end(), ' '));
        ++m_counts["started"];
        m_streams[id] = stream;
        ++m_queued;
        while (runningLocked() >= m_slots && !m_streams[id].cancelled)
            m_changed.wait_for(lock, Milliseconds(5));
        --m_queued;
        // Exit without a response, like a real engine that crashes on a certain prompt.
        if (stream.prompt.find("crash, whoever reads this") != std::string::npos)
            ::_exit(1);
        auto tokens = static_cast<unsigned>(stream.prompt.size() / bytesPerToken + 1 + stream.priorTokens);
        auto cached = updatePrefixCacheLocked(stream.prompt, tokens);
        m_counts["prefilled_tokens"] += tokens - cached;
        m_counts["prefilled_again_tokens"] += prior.empty() ? 0 : tokens - cached;
        m_streams[id].running = true;
        // Prefills run sequentially.
        m_prefillFreeAt = std::max(m_prefillFreeAt, steadyNow()) + std::chrono::microseconds(static_cast<std::int64_t>(1e6 * (tokens - cached) / m_prefillRate));
        m_streams[id].firstTokenAt = m_prefillFreeAt;
        auto limit = m_limit;
        lock.unlock();
        auto answer = streamFrom(id, prior.size());
        if (!limit.empty())
            answer.headers.emplace("Onyxnotch-Limit", limit);
        return answer;
    }

    // Returns the number of prompt tokens in the prefix cache and adds all blocks of the prompt to the cache. A block is identified by the
    // hash of the prompt up to its end; only an uninterrupted sequence of cached blocks from the start of the prompt counts.
    unsigned updatePrefixCacheLocked(const std::string& prompt, unsigned tokens)
    {
        unsigned cachedLeadingBlocks = 0;
        bool isLeading = true;
        for (std::size_t end = blockBytes; end <= prompt.size(); end += blockBytes) {
            auto hash = fastHash(std::string_view(prompt).substr(0, end));
            auto cachedBlock = m_blockIndex.find(hash);
            isLeading = isLeading && cachedBlock != m_blockIndex.end();
            cachedLeadingBlocks += isLeading ? 1 : 0;
            if (cachedBlock != m_blockIndex.end())
                m_blocks.erase(cachedBlock->second);
            m_blocks.push_front(hash);
            m_blockIndex[hash] = m_blocks.begin();
        }
        while (m_blocks.size() > m_cachedBlocks) {
            m_blockIndex.erase(m_blocks.back());
            m_blocks.pop_back();
        }
        return std::min(static_cast<unsigned>(cachedLeadingBlocks * blockBytes / bytesPerToken), tokens);
    }

    HttpResponse resume(const HttpRequest& request)
    {
        const auto& id = request.captures[0];
        auto offset = static_cast<std::size_t>(queryNumber(request, "offset", 0));
        Lock lock(m_mutex);
        auto it = m_streams.find(id);
        if (it == m_streams.end() || it->second.moved || it->second.cancelled)
            return reply(404, { { "error", "no such stream" } });
        if (offset > expectedAnswer(it->second.prompt, it->second.maximumTokens).size())
            return reply(416, { { "error", "no such offset" } });
        ++m_counts["resumed"];
        lock.unlock();
        return streamFrom(id, offset);
    }

    HttpResponse streamFrom(const std::string& id, std::size_t offset)
    {
        HttpResponse response { .contentType = "text/event-stream" };
        response.stream = [this, id, offset](const HttpStreamWriter& writer) { write(id, offset, writer); };
        return response;
    }

    static std::string event(const Json& data) { return writeServerSentEvent({ .id = {}, .name = {}, .data = data.dump() }); }

    void write(const std::string& id, std::size_t offset, const HttpStreamWriter& writer)
    {
        unsigned writtenTokens = 0;
        while (true) {
            Stream stream;
            std::string fault;
            unsigned faultAfter = 0;
            {
                Lock lock(m_mutex);
                stream = m_streams[id];
                fault = m_fault;
                faultAfter = m_faultAfter;
            }
            if (stream.cancelled)
                return;
            if (stream.moved) {
                writer(event({ { "stream_id", id }, { "offset", offset }, { "moved", true } }));
                return;
            }
            // Read the clock once, so that the available text and the check for the end of the answer are consistent.
            auto tokens = tokensOf(stream, steadyNow());
            auto text = expectedAnswer(stream.prompt, tokens);
            if (text.size() > offset) {
                // Write one token per event.
                auto token = text.substr(offset, text.find(' ', offset) + 1 - offset);
                if (!writeToken(id, offset, token, writtenTokens >= faultAfter ? fault : std::string(), writer))
                    return;
                offset += token.size();
                ++writtenTokens;
                continue;
            }
            if (tokens >= stream.maximumTokens) {
                writer(event({ { "stream_id", id }, { "offset", offset }, { "end", true } }));
                Lock lock(m_mutex);
                m_changed.notify_all();
                return;
            }
            std::this_thread::sleep_for(std::chrono::microseconds(std::min<std::int64_t>(m_tokenTime, 5000)));
        }
    }

    bool writeToken(const std::string& id, std::size_t offset, const std::string& token, const std::string& fault, const HttpStreamWriter& writer)
    {
        auto text = event({ { "stream_id", id }, { "offset", offset }, { "text", token } });
        if (!fault.empty()) {
            Lock lock(m_mutex);
            ++m_counts["faults"];
        }
        if (fault == "cut")
            return false;
        if (fault == "truncate") {
            writer(text.substr(0, text.size() / 2));
            return false;
        }
        if (fault == "early_end")
            return writer(event({ { "stream_id", id }, { "offset", offset }, { "end", true } })) && false;
        if (fault == "cross")
            text = event({ { "stream_id", "another-" + id }, { "offset", offset }, { "text", "STRANGER " } }) + event({ { "stream_id", "another-" + id }, { "offset", offset }, { "end", true } }) + text;
        if (fault == "gap")
            text = event({ { "stream_id", id }, { "offset", offset + 1000 }, { "text", "LATER " } }) + text;
        if (fault == "repeat")
            text += text;
        return writer(text);
    }

    HttpResponse cancel(const std::string& id)
    {
        Lock lock(m_mutex);
        auto it = m_streams.find(id);
        if (it == m_streams.end())
            return reply(404, { { "error", "no such stream" } });
        it->second.cancelled = true;
        ++m_counts["cancelled"];
        m_changed.notify_all();
        return reply(200, { { "cancelled", true } });
    }

    HttpResponse exportCache(const std::string& id)
    {
        Lock lock(m_mutex);
        auto it = m_streams.find(id);
        if (it == m_streams.end() || it->second.moved || it->second.cancelled)
            return reply(404, { { "error", "no such stream" } });
        auto& stream = it->second;
        Json state { { "prompt", stream.prompt }, { "tokens", tokensOf(stream, steadyNow()) }, { "max_tokens", stream.maximumTokens } };
        stream.moved = true;
        ++m_counts["exported"];
        m_changed.notify_all();
        return reply(200, state);
    }

    HttpResponse importCache(const Json& body)
    {
        auto id = body.value("stream_id", "");
        auto source = parseAddress(body.value("source", ""));
        auto state = source ? sendHttp(source.value(), { .path = "/v1/streams/" + id + "/kv" }) : Result<HttpReply>(source.error());
        if (!state || !state.value().ok())
            return reply(502, { { "error", "the source did not give the cache" } });
        auto document = Json::parse(state.value().body, nullptr, false);
        Stream stream { .prompt = document.value("prompt", ""), .priorTokens = document.value("tokens", 0U), .maximumTokens = document.value("max_tokens", 0U), .running = true, .firstTokenAt = {} };
        auto tokens = stream.prompt.size() / bytesPerToken + 1 + stream.priorTokens;
        std::this_thread::sleep_for(std::chrono::microseconds(static_cast<std::int64_t>(1e6 * static_cast<double>(tokens) / m_transferRate)));
        stream.firstTokenAt = steadyNow();
        Lock lock(m_mutex);
        ++m_counts["imported"];
        m_streams[id] = stream;
        return reply(200, { { "imported_tokens", tokens } });
    }

    HttpResponse load()
    {
        Lock lock(m_mutex);
        auto now = steadyNow();
        if (now - m_reportedAt >= Milliseconds(m_reportLag)) {
            m_report = { { "running", runningLocked() }, { "queued", m_queued + waitingForPrefillLocked() } };
            m_reportedAt = now;
        }
        Json report = m_report;
        report["leaving"] = m_leaving;
        report["models"] = m_models;
        return reply(200, report);
    }

    HttpResponse order(const Json& body)
    {
        {
            Lock lock(m_mutex);
            auto fence = body.value("fence", std::uint64_t(0));
            m_orders.push_back(body);
            if (m_checksFences && fence < m_highestFence) {
                ++m_counts["stale_orders"];
                return reply(409, { { "error", "old fence" }, { "highest", m_highestFence } });
            }
            m_highestFence = std::max(m_highestFence, fence);
        }
        auto weights = parseAddress(m_weights);
        for (unsigned n = 0; weights && n < 100; ++n) {
            auto download = sendHttp(weights.value(), { .path = "/v1/weights/" + body.value("weights", "") });
            if (download && download.value().ok())
                break;
            std::this_thread::sleep_for(Milliseconds(20));
        }
        std::this_thread::sleep_for(Milliseconds(m_loadTime));
        Lock lock(m_mutex);
        auto model = body.value("model", "");
        if (std::find(m_models.begin(), m_models.end(), model) == m_models.end())
            m_models.push_back(model);
        ++m_counts["loads"];
        return reply(200, { { "loaded", model } });
    }

    HttpResponse counts()
    {
        Lock lock(m_mutex);
        Json document = m_counts;
        document["running"] = runningLocked();
        document["orders"] = m_orders;
        return reply(200, document);
    }

    HttpResponse control(const Json& command)
    {
        Lock lock(m_mutex);
        m_fault = command.value("fault", m_fault);
        m_faultAfter = command.value("after", 0U);
        m_retryAfter = command.value("retry_after", m_retryAfter);
        m_limit = command.value("limit", m_limit);
        m_leaving = command.value("leaving", m_leaving);
        return reply(200, command);
    }

    std::string m_weights;
    std::int64_t m_tokenTime; // Microseconds.
    double m_prefillRate;
    std::size_t m_slots;
    std::size_t m_cachedBlocks;
    double m_transferRate;
    std::int64_t m_loadTime; // Milliseconds.
    std::int64_t m_reportLag; // Milliseconds.
    bool m_checksFences;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Stream> m_streams;
    std::list<std::uint64_t> m_blocks; // Most recently used first.
    std::map<std::uint64_t, std::list<std::uint64_t>::iterator> m_blockIndex;
    SteadyTime m_prefillFreeAt;
    std::vector<std::string> m_models;
    std::vector<Json> m_orders;
    std::map<std::string, long> m_counts;
    std::uint64_t m_highestFence { 0 };
    unsigned m_queued { 0 };
    std::string m_fault;
    unsigned m_faultAfter { 0 };
    std::string m_retryAfter {}; // Value of the field Retry-After in refusals.
    std::string m_limit {}; // Value of the field Onyxnotch-Limit; empty: not sent.
    bool m_leaving { false };
    Json m_report = Json::object();
    SteadyTime m_reportedAt;
};

} // namespace

int main(int argc, char** argv)
{
    CommandLine arguments(usage, argc, argv);
    StopSignal signal;
    HttpServer server({ .port = static_cast<std::uint16_t>(std::stoi(arguments.text("--port"))), .threads = static_cast<unsigned>(std::stoul(arguments.text("--threads"))) });
    ModelEngine engine(arguments);
    engine.addRoutes(server);
    return serve(server, signal);
}
