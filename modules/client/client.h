// Client of the gateways' HTTP API: discovers gateway addresses and tickets, sends requests, and resumes a streamed answer that was cut off
// or moved to another gateway. Used by the command line, the demo and the tests; other clients need only the protocol in docs/PROTOCOL.md.
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
    std::vector<Address> addresses {}; // Gateway addresses to start with.
    std::string key {}; // API key of the team.
    unsigned maximumTries { 20 }; // Attempts for one request, over all addresses.
    Milliseconds firstBackoff { 50 }; // Delay after a failed attempt; doubled up to one second.
    Milliseconds silenceLimit { 10000 }; // Maximum time without receiving a byte of an answer.
};

// Result of one request, over all of its attempts.
struct ClientAnswer {
    RequestOutcome outcome { RequestOutcome::Unknown };
    std::string requestId {};
    std::string text {}; // Complete answer of a model service, or body of a plain service's answer.
    std::string reason {};
    int httpStatus { 0 }; // 0 if there was no HTTP response. chat() sets it for error responses only.
    Milliseconds retryAfter { 0 };
    unsigned tries { 0 }; // Attempts made.
    unsigned moves { 0 }; // How often the answer continued at another gateway.
    double firstTextSeconds { 0 }; // From the start of the request to the first text of the answer.

    bool operator==(const ClientAnswer&) const = default;
};

struct ChatCall {
    std::string service {};
    std::string prompt {};
    unsigned maximumTokens { 256 };
    std::string ticket {}; // If empty, the gateway assigns the request id.
};

class Client {
public:
    // Called with each piece of text as it arrives.
    using TextReceiver = std::function<void(const std::string&)>;

    explicit Client(const ClientOptions&);

    // Requests the current gateway addresses and the given number of tickets from the known addresses, until one answers. Errors:
    // Unavailable if none answers; Unauthorized if the API key is rejected.
    Status refreshAddresses(unsigned tickets = 0);
    // Sends a chat request and reads the streamed answer. Retries and resumes until the answer is complete or has failed, the request is
    // refused, or the attempts are used up.
    ClientAnswer chat(const ChatCall&, const TextReceiver& receive = {});
    // Sends a call to a plain service. A call that is not `repeatable` uses a ticket, and is sent again only with the same ticket.
    ClientAnswer call(const std::string& service, const std::string& path, const std::string& body, bool repeatable);
    // Sends a call to a plain service once, to one address, with the given ticket (none if empty).
    ClientAnswer callOnce(const Address&, const std::string& service, const std::string& path, const std::string& body, const std::string& ticket);

    std::vector<Address> addresses() const;
    // Removes and returns one of the tickets from refreshAddresses(), with the address of the node that issued it. Empty if none is left.
    std::optional<std::pair<std::string, Address>> takeTicket();

private:
    struct ChatProgress;

    // Cycles through the known addresses.
    Address pickAddress(unsigned attempt) const;
    void attemptChat(ChatProgress&, const Address&, const TextReceiver&);
    // Puts the valid ones of these addresses in front of the known ones.
    void addAddresses(const std::vector<std::string>&);
    // Sleeps before the attempt after `attempt` failed ones, with exponential backoff.
    void sleepBeforeRetry(unsigned attempt) const;

    ClientOptions m_options;
    mutable std::mutex m_mutex;
    std::vector<Address> m_addresses {};
    std::vector<std::pair<std::string, Address>> m_tickets {};
};

} // namespace Onyxnotch
