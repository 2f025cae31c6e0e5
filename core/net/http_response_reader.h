// Reads one response from a connection on which a request was sent. For calls that this program makes itself, not for forwarded requests.
#pragma once

#include "core/net/async_connection.h"
#include "core/net/http_parser.h"

namespace Onyxnotch {

// Skips interim responses. Not thread-safe.
class HttpResponseReader {
public:
    explicit HttpResponseReader(AsyncConnection&);

    // Reads more of the response. Returns the error of the connection, asio::error::eof also if that is how the response ends; isComplete()
    // and isMalformed() are up to date in any case.
    asio::awaitable<asio::error_code> read(SteadyTime deadline);
    // Whether the head of the response has arrived.
    bool hasHead() const;
    bool isComplete() const { return m_parser.state() == HttpParserState::Complete; }
    // Whether the server has sent something that is no response: it cannot be used, nor anything after it.
    bool isMalformed() const;
    const HttpHead& head() const { return m_parser.head(); }
    // Decoded bytes of the body. The caller may remove the ones it has processed.
    std::string& body() { return m_parser.body(); }
    // The response has no body whatever its head says, as that to a HEAD request. Call before read().
    void expectNoBody();

private:
    void parse();
    void resetParser();

    AsyncConnection& m_connection;
    HttpParser m_parser;
    bool m_hasNoBody { false };
    unsigned m_interimResponses { 0 };
};

} // namespace Onyxnotch
