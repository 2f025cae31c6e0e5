#include "core/net/server_sent_events.h"

namespace Onyxnotch {

namespace {

    constexpr std::size_t maximumEventBytes = 16U << 20U;

} // namespace

ServerSentEventParser::ServerSentEventParser(Receiver receiver)
    : m_receiver(std::move(receiver))
{
}

bool ServerSentEventParser::feed(std::string_view bytes)
{
    auto searchedBytes = m_buffer.size();
    m_buffer.append(bytes);
    std::size_t begin = 0;
    for (auto end = m_buffer.find('\n', searchedBytes); end != std::string::npos; end = m_buffer.find('\n', begin)) {
        std::string_view line(m_buffer.data() + begin, end - begin);
        if (!line.empty() && line.back() == '\r')
            line.remove_suffix(1);
        m_eventBytes = line.empty() ? 0 : m_eventBytes + line.size();
        begin = end + 1;
        if (!processLine(line))
            return false;
    }
    m_buffer.erase(0, begin);
    return m_eventBytes + m_buffer.size() <= maximumEventBytes;
}

bool ServerSentEventParser::processLine(std::string_view line)
{
    if (line.empty()) {
        auto event = std::move(m_event);
        m_event = {};
        auto complete = m_hasData;
        m_hasData = false;
        return !complete || m_receiver(event);
    }
    auto colon = line.find(':');
    auto field = line.substr(0, colon);
    auto value = colon == std::string_view::npos ? std::string_view() : line.substr(colon + 1);
    if (!value.empty() && value.front() == ' ')
        value.remove_prefix(1);
    if (field == "data") {
        if (m_hasData)
            m_event.data += '\n';
        m_event.data += value;
        m_hasData = true;
    } else if (field == "id") {
        m_event.id = value;
    } else if (field == "event") {
        m_event.name = value;
    }
    return true;
}

std::string writeServerSentEvent(const ServerSentEvent& event)
{
    std::string text;
    if (!event.id.empty())
        text += "id: " + event.id + "\n";
    if (!event.name.empty())
        text += "event: " + event.name + "\n";
    std::string_view remaining = event.data;
    while (true) {
        auto end = remaining.find('\n');
        text += "data: " + std::string(remaining.substr(0, end)) + "\n";
        if (end == std::string_view::npos)
            break;
        remaining.remove_prefix(end + 1);
    }
    return text + "\n";
}

} // namespace Onyxnotch
