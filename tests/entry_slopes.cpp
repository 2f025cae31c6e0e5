#include "tests/entry_slopes.h"

#include "tests/fakes/streaming_endpoint.h"
#include "tests/harness/entry_site.h"
#include "tests/harness/series.h"
#include <thread>

namespace Onyxnotch::Tests {

namespace {

    constexpr Milliseconds tokenPeriod { 79 };
    constexpr Milliseconds warmUpTime { 1000 };
    constexpr Milliseconds measurementTime { 6000 };

    // Clients that keep streams open, all on one thread.
    class StreamClients {
    public:
        StreamClients(const Address& address, unsigned count)
        {
            asio::ip::tcp::endpoint target(asio::ip::make_address(address.host), address.port);
            for (unsigned n = 0; n < count; ++n)
                asio::co_spawn(
                    m_context, [this, target, n] { return readStream(target, n); }, asio::detached);
            m_thread = std::thread([this] { m_context.run(); });
        }

        ~StreamClients()
        {
            m_context.stop();
            m_thread.join();
        }

        StreamClients(const StreamClients&) = delete;
        StreamClients& operator=(const StreamClients&) = delete;

        unsigned openStreams() const { return m_open; }
        std::uint64_t events() const { return m_events; }

    private:
        asio::awaitable<void> readStream(asio::ip::tcp::endpoint target, unsigned n)
        {
            asio::ip::tcp::socket socket(m_context);
            asio::error_code ec;
            co_await socket.async_connect(target, asio::redirect_error(asio::use_awaitable, ec));
            auto text = "POST /stream/a HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: id-" + std::to_string(n) + "\r\nCredential: key-a\r\nContent-Length: 0\r\n\r\n";
            co_await asio::async_write(socket, asio::buffer(text), asio::redirect_error(asio::use_awaitable, ec));
            char buf[4096];
            bool isCounted = false;
            while (!ec) {
                auto size = co_await socket.async_read_some(asio::buffer(buf), asio::redirect_error(asio::use_awaitable, ec));
                std::string_view bytes(buf, size);
                for (auto at = bytes.find("id: "); at != std::string_view::npos; at = bytes.find("id: ", at + 1))
                    ++m_events;
                bool began = !isCounted && m_events > 0 && bytes.find("id: ") != std::string_view::npos;
                m_open += began ? 1 : 0;
                isCounted = isCounted || began;
            }
        }

        asio::io_context m_context { 1 };
        std::atomic<unsigned> m_open { 0 };
        std::atomic<std::uint64_t> m_events { 0 };
        std::thread m_thread {};
    };

} // namespace

void measureEntryStreams()
{
    Series cpu("processor time of onyxnotch-entry, against open streams", "part of a core");
    Series memory("resident memory of onyxnotch-entry, against open streams", "MB");
    Series rate("tokens a second through onyxnotch-entry, against open streams", "1/s");
    for (unsigned streams : { 200U, 600U, 1100U, 1650U }) {
        EntrySite site;
        auto declaration = EntrySite::declaration(1);
        declaration["routes"][2]["timeoutMs"] = 60000;
        declaration["services"][0]["maxConns"] = 4000;
        site.declare(declaration);
        Fakes::StreamingEndpoint endpoint(tokenPeriod);
        site.list("i-1", endpoint.address(), "ready");
        auto& node = site.startNode("node-1", { { "limits", { { "descriptors", 8192 } } } });
        if (!EntrySite::waitReady(node))
            return;
        StreamClients callers(node.callers, streams);
        if (!waitUntil([&] { return callers.openStreams() >= streams; }, Milliseconds(30000)))
            std::cerr << "only " << callers.openStreams() << " streams are open" << std::endl;
        std::this_thread::sleep_for(warmUpTime);
        auto cpuBefore = cpuSeconds(node.process->pid());
        auto eventsBefore = callers.events();
        auto began = steadyNow();
        std::this_thread::sleep_for(measurementTime);
        auto seconds = std::chrono::duration<double>(steadyNow() - began).count();
        cpu.add(callers.openStreams(), (cpuSeconds(node.process->pid()) - cpuBefore) / seconds);
        memory.add(callers.openStreams(), residentMegabytes(node.process->pid()));
        rate.add(callers.openStreams(), static_cast<double>(callers.events() - eventsBefore) / seconds);
    }
    for (const auto* it : { &cpu, &memory, &rate })
        it->fit();
}

} // namespace Onyxnotch::Tests
