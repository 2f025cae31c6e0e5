// Limits the memory of all responses that a node is receiving, or has not yet passed on. Used on the request thread only.
#pragma once

#include "modules/balance/endpoint_book.h"
#include <functional>
#include <memory>
#include <set>

namespace Onyxnotch {

// While the responses exceed the limit, the largest response of the endpoint whose responses use the most memory is ended: an endpoint that
// sends without end thus ends its own responses, not those of other endpoints.
class ResponseMemory {
public:
    // `limit` is in bytes.
    explicit ResponseMemory(std::size_t limit)
        : m_limit(limit)
    {
    }

    // Takes effect when a response grows next.
    void setLimit(std::size_t limit) { m_limit = limit; }
    // Bytes of all responses.
    std::size_t used() const { return m_used; }

    // The memory of one response; released by the destructor.
    class Reservation {
    public:
        // `end` is called at most once, if this response has to be ended. It must free the memory of the response; the reservation counts
        // none from then on.
        Reservation(ResponseMemory&, std::shared_ptr<EndpointState>, std::function<void()> end);
        ~Reservation();
        Reservation(const Reservation&) = delete;
        Reservation& operator=(const Reservation&) = delete;

        // Sets the memory of the response to `bytes`. If all responses exceed the limit then, ends some of them, possibly this one.
        void resize(std::size_t bytes);
        // Whether `end` was called.
        bool isEnded() const { return m_isEnded; }

    private:
        friend class ResponseMemory;

        void record(std::size_t bytes);

        ResponseMemory& m_memory;
        std::shared_ptr<EndpointState> m_endpoint;
        std::function<void()> m_end;
        std::size_t m_bytes { 0 };
        bool m_isEnded { false };
    };

private:
    void endLargest();

    std::size_t m_limit;
    std::size_t m_used { 0 };
    std::set<Reservation*> m_reservations {}; // Those with a size above 0.
};

} // namespace Onyxnotch
