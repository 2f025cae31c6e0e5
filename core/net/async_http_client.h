// HTTP client for coroutines, with persistent connections and deadlines. For calls that this program makes itself, not for forwarding
// client requests.
#pragma once

#include "core/net/address.h"
#include "core/net/async_connection.h"
#include "core/net/http_parser.h"
#include "core/outcome.h"
#include <deque>

namespace Onyxnotch {

struct AsyncHttpCall {
    std::string method { "GET" };
    std::string target {}; // Path and query, percent-encoded.
    std::vector<HttpField> fields {};
    std::string body {};
    std::string contentType { "application/json" };
    Milliseconds timeout { 2000 }; // For the complete call, including connecting.
    std::size_t maximumReplyBytes { 1U << 20U }; // Size of the reply's body; a call whose reply is larger fails.
};

struct AsyncHttpReply {
    HttpHead head {};
    std::string body {};

    int status() const { return head.status; }
    bool ok() const { return head.status / 100 == 2; }
};

// Client for one server. Not thread-safe.
class AsyncHttpClient {
public:
    AsyncHttpClient(asio::io_context&, const Address&);

    // Errors: Unavailable if no byte of the request was sent; Disconnected if the server closed or reset the connection before it had
    // responded, and Ambiguous if it did not respond in time or its response cannot be used: the request may have been executed. A
    // connection on which a call failed is not reused.
    // The argument must be a variable that outlives the call, not a temporary: GCC 12 copies an aggregate built inside a co_await
    // expression bytewise and frees its strings at the wrong address.
    asio::awaitable<Result<AsyncHttpReply>> call(const AsyncHttpCall&);
    asio::awaitable<Result<AsyncHttpReply>> call(AsyncHttpCall&&) = delete;
    void setAddress(const Address&);
    const Address& address() const { return m_address; }

private:
    asio::awaitable<Result<std::shared_ptr<AsyncConnection>>> connection(SteadyTime deadline);

    asio::io_context& m_context;
    Address m_address;
    std::deque<std::shared_ptr<AsyncConnection>> m_idle {};
};

std::string percentEncode(std::string_view);

} // namespace Onyxnotch
