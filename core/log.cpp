#include "core/log.h"

#include "core/clock.h"
#include <algorithm>
#include <atomic>
#include <boost/core/null_deleter.hpp>
#include <boost/log/core.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/smart_ptr/make_shared.hpp>
#include <iostream>
#include <mutex>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <unistd.h>
#include <utility>

namespace Onyxnotch {

namespace {

    // The fields common to all lines, encoded as JSON members. Set once by startLog().
    std::string& commonFields()
    {
        static std::string fields;
        return fields;
    }

    std::atomic<bool> logStarted { false };
    std::atomic<LogLevel> minimumLevel { LogLevel::Info };

    constexpr std::size_t maximumBufferedBytes = std::size_t { 512 } * 1024; // About 2000 lines.
    constexpr std::size_t maximumWriteBytes = 4096; // PIPE_BUF: a pipe that poll() reports as writable accepts this much without blocking.

    // Bounded buffer of log lines to be written to standard output. Thread-safe.
    class LineBuffer {
    public:
        void add(const std::string& line)
        {
            std::lock_guard lock(m_mutex);
            if (m_text.size() + line.size() > maximumBufferedBytes) {
                ++m_dropped;
                return;
            }
            m_text += line;
            m_text += '\n';
        }

        void flush()
        {
            std::lock_guard writeLock(m_writeMutex);
            while (true) {
                if (m_pending.empty() && !refill())
                    return;
                pollfd ready { .fd = STDOUT_FILENO, .events = POLLOUT, .revents = 0 };
                if (::poll(&ready, 1, 0) <= 0 || !(ready.revents & POLLOUT))
                    return;
                auto size = ::write(STDOUT_FILENO, m_pending.data(), std::min(m_pending.size(), maximumWriteBytes));
                if (size <= 0)
                    return;
                m_pending.erase(0, static_cast<std::size_t>(size));
            }
        }

        unsigned long takeDroppedCount()
        {
            std::lock_guard lock(m_mutex);
            return std::exchange(m_dropped, 0);
        }

    private:
        bool refill()
        {
            std::lock_guard lock(m_mutex);
            m_pending.swap(m_text);
            return !m_pending.empty();
        }

        std::mutex m_mutex;
        std::mutex m_writeMutex;
        std::string m_text {};
        std::string m_pending {}; // Guarded by m_writeMutex.
        unsigned long m_dropped { 0 };
    };

    LineBuffer& lineBuffer()
    {
        static LineBuffer buffer;
        return buffer;
    }

    std::atomic<bool> bufferedLog { false };

    std::string encode(std::string_view text)
    {
        using Json = nlohmann::json;
        return Json(std::string(text)).dump(-1, ' ', false, Json::error_handler_t::replace);
    }

    std::string_view levelName(LogLevel level)
    {
        switch (level) {
        case LogLevel::Debug:
            return "debug";
        case LogLevel::Info:
            return "info";
        case LogLevel::Warning:
            return "warning";
        case LogLevel::Error:
            return "error";
        }
        return "info";
    }

} // namespace

LogField::LogField(std::string_view fieldName, std::string_view text)
    : name(fieldName)
    , encodedValue(encode(text))
{
}

LogField::LogField(std::string_view fieldName, const char* text)
    : LogField(fieldName, std::string_view(text))
{
}

LogField::LogField(std::string_view fieldName, const std::string& text)
    : LogField(fieldName, std::string_view(text))
{
}

LogField::LogField(std::string_view fieldName, long long number)
    : name(fieldName)
    , encodedValue(std::to_string(number))
{
}

LogField::LogField(std::string_view fieldName, unsigned long long number)
    : name(fieldName)
    , encodedValue(std::to_string(number))
{
}

LogField::LogField(std::string_view fieldName, int number)
    : LogField(fieldName, static_cast<long long>(number))
{
}

LogField::LogField(std::string_view fieldName, unsigned number)
    : LogField(fieldName, static_cast<unsigned long long>(number))
{
}

LogField::LogField(std::string_view fieldName, long number)
    : LogField(fieldName, static_cast<long long>(number))
{
}

LogField::LogField(std::string_view fieldName, unsigned long number)
    : LogField(fieldName, static_cast<unsigned long long>(number))
{
}

LogField::LogField(std::string_view fieldName, double number)
    : name(fieldName)
    , encodedValue(nlohmann::json(number).dump())
{
}

void startLog(const LogOptions& options)
{
    namespace sinks = boost::log::sinks;
    commonFields() = R"("component":)" + encode(options.component) + R"(,"instance":)" + encode(options.instance) + R"(,"zone":)" + encode(options.zone);
    minimumLevel = options.minimumLevel;
    bufferedLog = options.buffered;
    if (options.buffered) {
        logStarted = true;
        return;
    }
    auto backend = boost::make_shared<sinks::text_ostream_backend>();
    backend->add_stream(boost::shared_ptr<std::ostream>(&std::clog, boost::null_deleter()));
    backend->auto_flush(true);
    boost::log::core::get()->add_sink(boost::make_shared<sinks::synchronous_sink<sinks::text_ostream_backend>>(backend));
    logStarted = true;
}

void setMinimumLogLevel(LogLevel level) { minimumLevel = level; }

void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    if (!logStarted || level < minimumLevel)
        return;
    std::string line = R"({"time_ms":)" + std::to_string(wallMilliseconds());
    line += R"(,"level":")" + std::string(levelName(level)) + R"(","event":)" + encode(event) + "," + commonFields();
    for (const auto& it : fields)
        line += "," + encode(it.name) + ":" + it.encodedValue;
    line += "}";
    if (bufferedLog) {
        lineBuffer().add(line);
        return;
    }
    static boost::log::sources::logger_mt logger;
    BOOST_LOG(logger) << line;
}

void flushLog()
{
    if (!bufferedLog)
        return;
    lineBuffer().flush();
    if (auto dropped = lineBuffer().takeDroppedCount())
        logEvent(LogLevel::Warning, "log_lines_dropped", { { "count", dropped } });
}

bool LogRateLimiter::take(SteadyTime now)
{
    auto elapsed = std::chrono::duration<double>(now - m_updatedAt).count();
    m_updatedAt = now;
    m_availableLines = std::min(m_linesPerSecond, m_availableLines + elapsed * m_linesPerSecond);
    if (m_availableLines < 1) {
        ++m_suppressed;
        return false;
    }
    m_availableLines -= 1;
    return true;
}

unsigned long LogRateLimiter::takeSuppressedCount() { return std::exchange(m_suppressed, 0); }

LogLevel parseLogLevel(std::string_view text)
{
    if (text == "debug")
        return LogLevel::Debug;
    if (text == "warning")
        return LogLevel::Warning;
    if (text == "error")
        return LogLevel::Error;
    return LogLevel::Info;
}

} // namespace Onyxnotch
