#include "core/net/http_relay.h"

#include <condition_variable>
#include <mutex>
#include <thread>

namespace Onyxnotch {

namespace {

    constexpr std::size_t maximumBufferedBytes = 1U << 20U;
    constexpr Milliseconds interruptionPoll { 100 };

    // Runs the call on its own thread. A bounded buffer passes the body to the thread that writes the response.
    class Relay {
    public:
        Relay(const Address& address, HttpCall call)
            : m_stream(address)
            , m_call(std::move(call))
            , m_thread([this] { run(); })
        {
        }

        ~Relay()
        {
            {
                std::lock_guard lock(m_mutex);
                m_abandoned = true;
            }
            m_changed.notify_all();
            m_stream.cancel();
            m_thread.join();
        }

        Relay(const Relay&) = delete;
        Relay& operator=(const Relay&) = delete;

        Result<HttpReply> waitHeaders()
        {
            std::unique_lock lock(m_mutex);
            m_changed.wait(lock, [this] { return m_headersArrived || m_ended; });
            if (m_headersArrived)
                return m_headers;
            return m_result.error();
        }

        void writeTo(const HttpStreamWriter& writer, const RelayInterruption& interruption)
        {
            bool atEventBoundary = true;
            while (true) {
                std::string chunk;
                bool ended = false;
                {
                    std::unique_lock lock(m_mutex);
                    m_changed.wait_for(lock, interruptionPoll, [this] { return !m_buffer.empty() || m_ended; });
                    chunk.swap(m_buffer);
                    ended = m_ended;
                }
                m_changed.notify_all();
                if (!chunk.empty()) {
                    atEventBoundary = chunk.size() >= 2 && chunk.compare(chunk.size() - 2, 2, "\n\n") == 0;
                    if (!writer(chunk))
                        return;
                }
                if (ended && chunk.empty())
                    return;
                auto finalText = atEventBoundary && interruption ? interruption() : std::string();
                if (!finalText.empty()) {
                    writer(finalText);
                    return;
                }
            }
        }

    private:
        void run()
        {
            auto onHeaders = [this](const HttpReply& reply) {
                std::lock_guard lock(m_mutex);
                m_headers = reply;
                m_headersArrived = true;
                m_changed.notify_all();
                return true;
            };
            auto onData = [this](std::string_view data) {
                std::unique_lock lock(m_mutex);
                m_changed.wait(lock, [this] { return m_buffer.size() < maximumBufferedBytes || m_abandoned; });
                m_buffer.append(data);
                m_changed.notify_all();
                return !m_abandoned;
            };
            auto result = m_stream.run(m_call, onHeaders, onData);
            std::lock_guard lock(m_mutex);
            m_result = result;
            m_ended = true;
            m_changed.notify_all();
        }

        HttpStream m_stream;
        HttpCall m_call;
        std::mutex m_mutex;
        std::condition_variable m_changed;
        HttpReply m_headers;
        bool m_headersArrived { false };
        std::string m_buffer;
        bool m_ended { false };
        bool m_abandoned { false };
        Status m_result { Error { ErrorCode::Ambiguous, "no answer" } };
        std::thread m_thread;
    };

} // namespace

Result<HttpResponse> relayHttp(const Address& address, const HttpCall& call, RelayInterruption interruption)
{
    auto relay = std::make_shared<Relay>(address, call);
    BOOST_OUTCOME_TRY(reply, relay->waitHeaders());
    HttpResponse response { .status = reply.status };
    response.contentType = reply.header("content-type");
    for (const auto& [name, value] : reply.headers) {
        bool isForwardedHeader = name.rfind("onyxnotch-", 0) == 0 || name == "retry-after" || name == "location";
        if (isForwardedHeader)
            response.headers.emplace(name, value);
    }
    response.stream = [relay, interruption = std::move(interruption)](const HttpStreamWriter& writer) { relay->writeTo(writer, interruption); };
    return response;
}

} // namespace Onyxnotch
