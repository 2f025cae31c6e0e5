// A caller's side of the interface: asks for addresses, keeps them, calls, goes on where an answer broke off or moved.
// The command line, the demo and the tests use it; other callers need only the protocol in docs/PROTOCOL.md.
#pragma once

#include "core/clock.h"
#include "core/net/address.h"
#include "modules/request/request_outcome.h"
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace Onyxnotch {

struct ClientOptions {
    std::vector<Address> addresses {}; // Known ones to begin with.
    std::string key {};
    unsigned maximumTries { 20 }; // Of one request, over all addresses.
    Milliseconds firstBackoff { 50 }; // Between tries that failed; doubled up to a second.
    Milliseconds silenceLimit { 10000 };
};

// How a call ended for the caller.
struct ClientAnswer {
    RequestOutcome outcome { RequestOutcome::Unknown };
    std::string requestId {};
    std::string text {}; // The whole answer, or the body of a plain service's answer.
    std::string reason {};
    int httpStatus { 0 };
    Milliseconds retryAfter { 0 };
    unsigned tries { 0 };
    unsigned moves { 0 }; // How often the answer went on at another address.
    double firstTextSeconds { 0 };

    bool operator==(const ClientAnswer&) const = default;
};

struct ChatCall {
    std::string service {};
    std::string prompt {};
    unsigned maximumTokens { 256 };
    std::string ticket {}; // Empty: the gateway chooses the request id.
};

class Client {
public:
    // Called with each piece of text as it arrives.
    using TextReceiver = std::function<void(const std::string&)>;

    explicit Client(const ClientOptions&);

    // Asks the known addresses which ones to use, and for tickets. Errors: Unavailable where none answers; Unauthorized.
    Status refreshAddresses(unsigned tickets = 0);
    // A streamed answer; repeats and resumes until it is whole or finally refused.
    ClientAnswer chat(const ChatCall&, const TextReceiver& receive = {});
    // A call to a plain service. One that may not be repeated takes a ticket, and is repeated only with that ticket.
    ClientAnswer call(const std::string& service, const std::string& path, const std::string& body, bool repeatable);
    // The same with a ticket of the caller's choice, at one address and without any repeat.
    ClientAnswer callOnce(const Address&, const std::string& service, const std::string& path, const std::string& body, const std::string& ticket);

    std::vector<Address> addresses() const;
    // A ticket and the address of its home, taken from those that refreshAddresses() brought.
    std::optional<std::pair<std::string, Address>> takeTicket();

private:
    struct ChatState;

    Address pickAddress(unsigned attempt) const;
    void tryChat(ChatState&, const Address&, const TextReceiver&);
    void noteAddresses(const std::vector<std::string>&);
    void pause(unsigned attempt) const;

    ClientOptions m_options;
    mutable std::mutex m_mutex;
    std::vector<Address> m_addresses {};
    std::vector<std::pair<std::string, Address>> m_tickets {};
};

} // namespace Onyxnotch
