#include "core/net/http_response_reader.h"

namespace Onyxnotch {

namespace {

    constexpr std::size_t maximumHeadBytes = 65536;
    constexpr unsigned maximumInterimResponses = 16;

    bool isInterim(const HttpHead& head) { return head.status / 100 == 1; }

} // namespace

HttpResponseReader::HttpResponseReader(AsyncConnection& connection)
    : m_connection(connection)
    , m_parser(HttpMessageKind::Response, maximumHeadBytes)
{
}

void HttpResponseReader::expectNoBody()
{
    m_hasNoBody = true;
    m_parser.expectNoBody();
}

asio::awaitable<asio::error_code> HttpResponseReader::read(SteadyTime deadline)
{
    auto ec = co_await m_connection.read(deadline);
    parse();
    if (ec == asio::error::eof)
        m_parser.finish();
    co_return ec;
}

bool HttpResponseReader::hasHead() const
{
    return m_parser.state() == HttpParserState::Body || m_parser.state() == HttpParserState::Complete;
}

bool HttpResponseReader::isMalformed() const
{
    auto state = m_parser.state();
    return state == HttpParserState::Malformed || state == HttpParserState::HeadTooLarge || m_interimResponses > maximumInterimResponses;
}

void HttpResponseReader::parse()
{
    m_parser.feed(m_connection.input());
    while (isComplete() && isInterim(head()) && m_interimResponses <= maximumInterimResponses) {
        ++m_interimResponses;
        resetParser();
        m_parser.feed(m_connection.input());
    }
}

void HttpResponseReader::resetParser()
{
    m_parser.reset();
    if (m_hasNoBody)
        m_parser.expectNoBody();
}

} // namespace Onyxnotch
