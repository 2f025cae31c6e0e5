#include "modules/client/client.h"

#include "core/json_decode.h"
#include "core/net/http_client.h"
#include "core/net/http_status.h"
#include "core/net/server_sent_events.h"
#include <algorithm>
#include <thread>

namespace Onyxnotch {

namespace {

    using Json = nlohmann::json;

    constexpr Milliseconds maximumBackoff { 1000 };
    constexpr Milliseconds addressCallTimeout { 2000 };
    constexpr auto outcomeHeader = "onyxnotch-outcome";
    constexpr auto requestIdHeader = "onyxnotch-request-id";

    RequestOutcome outcomeFromText(const std::string& text)
    {
        for (auto it : { RequestOutcome::Completed, RequestOutcome::NotRun, RequestOutcome::Failed, RequestOutcome::Unknown }) {
            if (toString(it) == text)
                return it;
        }
        return RequestOutcome::Unknown;
    }

    // Content of the JSON body of an error response.
    struct ErrorBody {
        RequestOutcome outcome { RequestOutcome::Unknown };
        std::string message;
        Milliseconds retryAfter { 0 };
        std::vector<std::string> addresses;
        std::string ticket;
    };

    ErrorBody parseErrorBody(const std::string& body)
    {
        auto parsedBody = decodeJson<ErrorBody>(body, ErrorCode::Ambiguous, "error body", [](const Json& document) {
            const auto& error = document.at("error");
            return ErrorBody {
                .outcome = outcomeFromText(error.at("outcome")),
                .message = error.value("message", ""),
                .retryAfter = Milliseconds(error.value("retry_after_ms", 0)),
                .addresses = error.value("addresses", std::vector<std::string>()),
                .ticket = error.value("ticket", ""),
            };
        });
        return parsedBody ? parsedBody.value() : ErrorBody { .outcome = RequestOutcome::Unknown, .message = "the error response is malformed", .addresses = {}, .ticket = {} };
    }

} // namespace

Client::Client(const ClientOptions& options)
    : m_options(options)
    , m_addresses(options.addresses)
{
}

std::vector<Address> Client::addresses() const
{
    std::lock_guard lock(m_mutex);
    return m_addresses;
}

Address Client::pickAddress(unsigned attempt) const
{
    std::lock_guard lock(m_mutex);
    return m_addresses.empty() ? Address {} : m_addresses[attempt % m_addresses.size()];
}

void Client::addAddresses(const std::vector<std::string>& texts)
{
    std::vector<Address> parsed;
    for (const auto& it : texts) {
        auto address = parseAddress(it);
        if (address)
            parsed.push_back(address.value());
    }
    if (parsed.empty())
        return;
    std::lock_guard lock(m_mutex);
    // Keep the previous addresses after the new ones, as a fallback if none of the new ones answers.
    for (const auto& it : m_addresses) {
        if (std::find(parsed.begin(), parsed.end(), it) == parsed.end())
            parsed.push_back(it);
    }
    static constexpr std::size_t maximumAddresses = 32;
    if (parsed.size() > maximumAddresses)
        parsed.resize(maximumAddresses);
    m_addresses = parsed;
}

Status Client::refreshAddresses(unsigned tickets)
{
    Error lastError { ErrorCode::Unavailable, "no gateway address is known" };
    for (const auto& it : addresses()) {
        HttpCall call { .path = "/v1/addresses?tickets=" + std::to_string(tickets), .headers = { { "Authorization", "Bearer " + m_options.key } }, .readTimeout = addressCallTimeout };
        auto reply = sendHttp(it, call);
        if (!reply) {
            lastError = reply.error();
            continue;
        }
        if (reply.value().status == HttpStatus::unauthorized)
            return Error { ErrorCode::Unauthorized, "the API key was rejected" };
        auto document = decodeJson<Json>(reply.value().body, ErrorCode::Unavailable, "addresses", [](const Json& parsed) { return parsed.contains("addresses") ? parsed : throw std::invalid_argument("no addresses"); });
        if (!document) {
            lastError = document.error();
            continue;
        }
        addAddresses(document.value()["addresses"].get<std::vector<std::string>>());
        std::lock_guard lock(m_mutex);
        for (const auto& entry : document.value()["tickets"]) {
            auto home = parseAddress(entry.at("address").get<std::string>());
            if (home)
                m_tickets.emplace_back(entry.at("ticket").get<std::string>(), home.value());
        }
        return success();
    }
    return lastError;
}

std::optional<std::pair<std::string, Address>> Client::takeTicket()
{
    std::lock_guard lock(m_mutex);
    if (m_tickets.empty())
        return std::nullopt;
    auto ticket = m_tickets.back();
    m_tickets.pop_back();
    return ticket;
}

void Client::sleepBeforeRetry(unsigned attempt) const
{
    auto backoff = m_options.firstBackoff;
    for (unsigned n = 0; n < attempt && backoff < maximumBackoff; ++n)
        backoff *= 2;
    std::this_thread::sleep_for(std::min(backoff, maximumBackoff));
}

// State of one chat() call over all of its attempts.
struct Client::ChatProgress {
    ChatCall call;
    ClientAnswer answer;
    std::string lastEventId; // Id of the last event received, from which the answer is resumed.
    std::string id; // Request id: the ticket, or the id that a gateway assigned.
    std::optional<Address> nextAddress; // Gateway to which the answer has moved, for the next attempt.
    bool isDone { false };
    bool hasReceivedText { false }; // Whether the current attempt received text.
    SteadyTime started { steadyNow() };
};

ClientAnswer Client::chat(const ChatCall& call, const TextReceiver& receive)
{
    ChatProgress progress;
    progress.call = call;
    progress.id = call.ticket;
    unsigned failures = 0;
    for (unsigned attempt = 0; attempt < m_options.maximumTries && !progress.isDone; ++attempt) {
        auto address = progress.nextAddress ? *progress.nextAddress : pickAddress(failures);
        progress.nextAddress.reset();
        progress.hasReceivedText = false;
        ++progress.answer.tries;
        attemptChat(progress, address, receive);
        if (progress.isDone || progress.nextAddress)
            continue;
        failures = progress.hasReceivedText ? 1 : failures + 1;
        sleepBeforeRetry(failures);
        if (failures % 3 == 2)
            (void)refreshAddresses();
    }
    progress.answer.requestId = progress.id;
    return progress.answer;
}

void Client::attemptChat(ChatProgress& progress, const Address& address, const TextReceiver& receive)
{
    bool isResume = !progress.id.empty() && progress.id != progress.call.ticket;
    isResume = isResume || !progress.lastEventId.empty();
    HttpCall call { .headers = { { "Authorization", "Bearer " + m_options.key } }, .readTimeout = m_options.silenceLimit };
    if (isResume) {
        call.path = "/v1/requests/" + progress.id;
        if (!progress.lastEventId.empty())
            call.headers.emplace("Last-Event-ID", progress.lastEventId);
    } else {
        Json message { { "role", "user" }, { "content", progress.call.prompt } };
        Json body { { "model", progress.call.service }, { "stream", true }, { "max_tokens", progress.call.maximumTokens }, { "messages", Json::array({ message }) } };
        call.method = "POST";
        call.path = "/v1/chat/completions";
        call.body = body.dump();
        if (!progress.call.ticket.empty())
            call.headers.emplace("Onyxnotch-Ticket", progress.call.ticket);
    }
    int status = 0;
    std::string errorText;
    auto onExtension = [&](const Json& extension) {
        auto event = extension.value("event", "");
        if (event == "accepted")
            progress.id = extension.at("request_id").get<std::string>();
        if (event == "moved") {
            auto addresses = extension.at("addresses").get<std::vector<std::string>>();
            addAddresses(addresses);
            auto parsed = parseAddress(addresses.at(0));
            if (parsed)
                progress.nextAddress = parsed.value();
            ++progress.answer.moves;
        }
        if (event == "end") {
            auto outcome = outcomeFromText(extension.at("outcome"));
            bool isValid = outcome != RequestOutcome::Completed || extension.at("final_offset").get<std::size_t>() == progress.answer.text.size();
            progress.answer.outcome = isValid ? outcome : RequestOutcome::Unknown;
            progress.answer.reason = isValid ? extension.value("message", "") : "the answer is incomplete";
            progress.answer.retryAfter = Milliseconds(extension.value("retry_after_ms", 0));
            progress.isDone = isValid;
        }
    };
    auto onChunk = [&](const ServerSentEvent& event, const Json& chunk) {
        for (const auto& choice : chunk.at("choices")) {
            auto text = choice.at("delta").value("content", "");
            if (text.empty())
                continue;
            if (progress.answer.text.empty())
                progress.answer.firstTextSeconds = std::chrono::duration<double>(steadyNow() - progress.started).count();
            progress.answer.text += text;
            progress.hasReceivedText = true;
            if (receive)
                receive(text);
        }
        if (!event.id.empty())
            progress.lastEventId = event.id;
        if (chunk.contains("onyxnotch"))
            onExtension(chunk.at("onyxnotch"));
        return true;
    };
    ServerSentEventParser parser([&](const ServerSentEvent& event) {
        if (event.data == "[DONE]")
            return true;
        auto handled = decodeJson<bool>(event.data, ErrorCode::Ambiguous, "event", [&](const Json& chunk) { return onChunk(event, chunk); });
        return handled.has_value();
    });
    auto onHeaders = [&](const HttpReply& reply) {
        status = reply.status;
        return true;
    };
    auto onData = [&](std::string_view data) {
        if (status == 200)
            return parser.feed(data);
        errorText.append(data);
        return true;
    };
    auto result = HttpStream(address).run(call, onHeaders, onData);
    if (status == 200 || progress.isDone)
        return;
    if (status == 0) {
        progress.answer.reason = result ? "no answer" : result.error().message;
        return;
    }
    auto error = parseErrorBody(errorText);
    addAddresses(error.addresses);
    progress.answer.httpStatus = status;
    progress.answer.outcome = error.outcome;
    progress.answer.reason = error.message;
    progress.answer.retryAfter = error.retryAfter;
    if (status == HttpStatus::conflict || (isResume && error.outcome == RequestOutcome::Unknown && progress.call.ticket.empty())) {
        // The answer is lost, or the gateway's text differs from the text received. A model request may be repeated: start again from the
        // beginning.
        progress.id.clear();
        progress.lastEventId.clear();
        progress.answer.text.clear();
        return;
    }
    bool hasOtherGateways = error.outcome == RequestOutcome::NotRun && !error.addresses.empty();
    progress.isDone = error.outcome == RequestOutcome::NotRun && !hasOtherGateways;
    progress.isDone = progress.isDone || error.outcome == RequestOutcome::Failed;
}

ClientAnswer Client::callOnce(const Address& address, const std::string& service, const std::string& path, const std::string& body, const std::string& ticket)
{
    HttpCall call { .method = "POST", .path = "/v1/services/" + service + path, .headers = { { "Authorization", "Bearer " + m_options.key } }, .body = body, .readTimeout = m_options.silenceLimit };
    if (!ticket.empty())
        call.headers.emplace("Onyxnotch-Ticket", ticket);
    ClientAnswer answer { .requestId = ticket, .tries = 1 };
    auto reply = sendHttp(address, call);
    if (!reply) {
        // Unavailable means that the request was never sent, so this copy was not executed. Whether an earlier copy of the same request was
        // executed is up to the caller of this function to track.
        answer.outcome = reply.error().code == ErrorCode::Unavailable ? RequestOutcome::NotRun : RequestOutcome::Unknown;
        answer.reason = reply.error().message;
        return answer;
    }
    answer.httpStatus = reply.value().status;
    if (reply.value().header(outcomeHeader) == toString(RequestOutcome::Completed)) {
        answer.outcome = RequestOutcome::Completed;
        answer.text = reply.value().body;
        answer.requestId = reply.value().header(requestIdHeader);
        return answer;
    }
    auto error = parseErrorBody(reply.value().body);
    answer.outcome = error.outcome;
    answer.reason = error.message;
    answer.retryAfter = error.retryAfter;
    addAddresses(error.addresses);
    return answer;
}

ClientAnswer Client::call(const std::string& service, const std::string& path, const std::string& body, bool repeatable)
{
    std::string ticket;
    std::optional<Address> home;
    if (!repeatable) {
        auto ticketAndHome = takeTicket();
        if (!ticketAndHome && refreshAddresses(1))
            ticketAndHome = takeTicket();
        if (!ticketAndHome)
            return { .outcome = RequestOutcome::NotRun, .reason = "no ticket could be obtained" };
        ticket = ticketAndHome->first;
        home = ticketAndHome->second;
    }
    ClientAnswer answer;
    bool mayHaveRun = false;
    for (unsigned attempt = 0; attempt < m_options.maximumTries; ++attempt) {
        auto address = attempt == 0 && home ? *home : pickAddress(attempt);
        answer = callOnce(address, service, path, body, ticket);
        answer.tries = attempt + 1;
        if (answer.outcome == RequestOutcome::Completed || answer.outcome == RequestOutcome::Failed)
            return answer;
        // Without an HTTP response, the same ticket may be sent to another gateway, which forwards the call to the ticket's home.
        bool hasNoResponse = answer.httpStatus == 0;
        if (answer.outcome == RequestOutcome::Unknown)
            mayHaveRun = true;
        bool isFinal = !hasNoResponse && (answer.outcome == RequestOutcome::Unknown || answer.outcome == RequestOutcome::NotRun);
        if (isFinal && !repeatable)
            return answer;
        sleepBeforeRetry(attempt);
    }
    if (mayHaveRun)
        answer.outcome = RequestOutcome::Unknown;
    return answer;
}

} // namespace Onyxnotch
