#include "core/log.h"

#include "core/clock.h"
#include <atomic>
#include <boost/core/null_deleter.hpp>
#include <boost/log/core.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/smart_ptr/make_shared.hpp>
#include <iostream>
#include <nlohmann/json.hpp>

namespace Onyxnotch {

namespace {

    // The constant part of each line, already encoded; set once by startLog.
    std::string& commonFields()
    {
        static std::string fields;
        return fields;
    }

    std::atomic<bool> logStarted { false };
    std::atomic<LogLevel> minimumLevel { LogLevel::Info };

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

void startLog(const LogOptions& options)
{
    namespace sinks = boost::log::sinks;
    commonFields() = R"("component":)" + encode(options.component) + R"(,"instance":)" + encode(options.instance) + R"(,"zone":)" + encode(options.zone);
    minimumLevel = options.minimumLevel;
    auto backend = boost::make_shared<sinks::text_ostream_backend>();
    backend->add_stream(boost::shared_ptr<std::ostream>(&std::clog, boost::null_deleter()));
    backend->auto_flush(true);
    boost::log::core::get()->add_sink(boost::make_shared<sinks::synchronous_sink<sinks::text_ostream_backend>>(backend));
    logStarted = true;
}

void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    if (!logStarted || level < minimumLevel)
        return;
    std::string line = R"({"time_ms":)" + std::to_string(wallMilliseconds());
    line += R"(,"level":")" + std::string(levelName(level)) + R"(","event":)" + encode(event) + "," + commonFields();
    for (const auto& it : fields)
        line += "," + encode(it.name) + ":" + it.encodedValue;
    line += "}";
    static boost::log::sources::logger_mt logger;
    BOOST_LOG(logger) << line;
}

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
