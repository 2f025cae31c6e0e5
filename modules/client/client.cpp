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

    // What an error body says.
    struct ErrorAnswer {
        RequestOutcome outcome { RequestOutcome::Unknown };
        std::string message;
        Milliseconds retryAfter { 0 };
        std::vector<std::string> addresses;
        std::string ticket;
    };

    ErrorAnswer readError(const std::string& body)
    {
        auto read = decodeJson<ErrorAnswer>(body, ErrorCode::Ambiguous, "error body", [](const Json& document) {
            const auto& error = document.at("error");
            return ErrorAnswer {
                .outcome = outcomeFromText(error.at("outcome")),
                .message = error.value("message", ""),
                .retryAfter = Milliseconds(error.value("retry_after_ms", 0)),
                .addresses = error.value("addresses", std::vector<std::string>()),
                .ticket = error.value("ticket", ""),
            };
        });
        return read ? read.value() : ErrorAnswer { .outcome = RequestOutcome::Unknown, .message = "answer not understood", .addresses = {}, .ticket = {} };
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

void Client::noteAddresses(const std::vector<std::string>& texts)
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
    // Earlier ones stay at the end, for the case that none of the new ones answers.
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
    Error last { ErrorCode::Unavailable, "no address is known" };
    for (const auto& it : addresses()) {
        HttpCall call { .path = "/v1/addresses?tickets=" + std::to_string(tickets), .headers = { { "Authorization", "Bearer " + m_options.key } }, .readTimeout = addressCallTimeout };
        auto reply = sendHttp(it, call);
        if (!reply) {
            last = reply.error();
            continue;
        }
        if (reply.value().status == HttpStatus::unauthorized)
            return Error { ErrorCode::Unauthorized, "the key is not known" };
        auto document = decodeJson<Json>(reply.value().body, ErrorCode::Unavailable, "addresses", [](const Json& parsed) { return parsed.contains("addresses") ? parsed : throw std::invalid_argument("no addresses"); });
        if (!document) {
            last = document.error();
            continue;
        }
        noteAddresses(document.value()["addresses"].get<std::vector<std::string>>());
        std::lock_guard lock(m_mutex);
        for (const auto& entry : document.value()["tickets"]) {
            auto home = parseAddress(entry.at("address").get<std::string>());
            if (home)
                m_tickets.emplace_back(entry.at("ticket").get<std::string>(), home.value());
        }
        return success();
    }
    return last;
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

void Client::pause(unsigned attempt) const
{
    auto backoff = m_options.firstBackoff;
    for (unsigned n = 0; n < attempt && backoff < maximumBackoff; ++n)
        backoff *= 2;
    std::this_thread::sleep_for(std::min(backoff, maximumBackoff));
}

// One chat call over all of its tries.
struct Client::ChatState {
    ChatCall call;
    ClientAnswer answer;
    std::string position; // The last event id.
    std::string id; // Once a gateway has named it.
    std::optional<Address> next; // Where the answer goes on.
    bool done { false };
    bool progressed { false };
    SteadyTime started { steadyNow() };
};

ClientAnswer Client::chat(const ChatCall& call, const TextReceiver& receive)
{
    ChatState state;
    state.call = call;
    state.id = call.ticket;
    unsigned failures = 0;
    for (unsigned attempt = 0; attempt < m_options.maximumTries && !state.done; ++attempt) {
        auto address = state.next ? *state.next : pickAddress(failures);
        state.next.reset();
        state.progressed = false;
        ++state.answer.tries;
        tryChat(state, address, receive);
        if (state.done || state.next)
            continue;
        failures = state.progressed ? 1 : failures + 1;
        pause(failures);
        if (failures % 3 == 2)
            (void)refreshAddresses();
    }
    state.answer.requestId = state.id;
    return state.answer;
}

void Client::tryChat(ChatState& state, const Address& address, const TextReceiver& receive)
{
    bool resumes = !state.id.empty() && state.id != state.call.ticket;
    resumes = resumes || !state.position.empty();
    HttpCall call { .headers = { { "Authorization", "Bearer " + m_options.key } }, .readTimeout = m_options.silenceLimit };
    if (resumes) {
        call.path = "/v1/requests/" + state.id;
        if (!state.position.empty())
            call.headers.emplace("Last-Event-ID", state.position);
    } else {
        Json message { { "role", "user" }, { "content", state.call.prompt } };
        Json body { { "model", state.call.service }, { "stream", true }, { "max_tokens", state.call.maximumTokens }, { "messages", Json::array({ message }) } };
        call.method = "POST";
        call.path = "/v1/chat/completions";
        call.body = body.dump();
        if (!state.call.ticket.empty())
            call.headers.emplace("Onyxnotch-Ticket", state.call.ticket);
    }
    int status = 0;
    std::string errorText;
    auto takeOwn = [&](const Json& own) {
        auto event = own.value("event", "");
        if (event == "accepted")
            state.id = own.at("request_id").get<std::string>();
        if (event == "moved") {
            auto addresses = own.at("addresses").get<std::vector<std::string>>();
            noteAddresses(addresses);
            auto parsed = parseAddress(addresses.at(0));
            if (parsed)
                state.next = parsed.value();
            ++state.answer.moves;
        }
        if (event == "end") {
            auto outcome = outcomeFromText(own.at("outcome"));
            bool whole = outcome != RequestOutcome::Completed || own.at("final_offset").get<std::size_t>() == state.answer.text.size();
            state.answer.outcome = whole ? outcome : RequestOutcome::Unknown;
            state.answer.reason = whole ? own.value("message", "") : "the answer is not whole";
            state.answer.retryAfter = Milliseconds(own.value("retry_after_ms", 0));
            state.done = whole;
        }
    };
    auto takeChunk = [&](const ServerSentEvent& event, const Json& chunk) {
        for (const auto& choice : chunk.at("choices")) {
            auto text = choice.at("delta").value("content", "");
            if (text.empty())
                continue;
            if (state.answer.text.empty())
                state.answer.firstTextSeconds = std::chrono::duration<double>(steadyNow() - state.started).count();
            state.answer.text += text;
            state.progressed = true;
            if (receive)
                receive(text);
        }
        if (!event.id.empty())
            state.position = event.id;
        if (chunk.contains("onyxnotch"))
            takeOwn(chunk.at("onyxnotch"));
        return true;
    };
    ServerSentEventParser parser([&](const ServerSentEvent& event) {
        if (event.data == "[DONE]")
            return true;
        auto taken = decodeJson<bool>(event.data, ErrorCode::Ambiguous, "event", [&](const Json& chunk) { return takeChunk(event, chunk); });
        return taken.has_value();
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
    if (status == 200 || state.done)
        return;
    if (status == 0) {
        state.answer.reason = result ? "no answer" : result.error().message;
        return;
    }
    auto error = readError(errorText);
    noteAddresses(error.addresses);
    state.answer.httpStatus = status;
    state.answer.outcome = error.outcome;
    state.answer.reason = error.message;
    state.answer.retryAfter = error.retryAfter;
    if (status == HttpStatus::conflict || (resumes && error.outcome == RequestOutcome::Unknown && state.call.ticket.empty())) {
        // The answer is lost or went on differently: a model request may be asked again from the start.
        state.id.clear();
        state.position.clear();
        state.answer.text.clear();
        return;
    }
    bool goElsewhere = error.outcome == RequestOutcome::NotRun && !error.addresses.empty();
    state.done = error.outcome == RequestOutcome::NotRun && !goElsewhere;
    state.done = state.done || error.outcome == RequestOutcome::Failed;
}

ClientAnswer Client::callOnce(const Address& address, const std::string& service, const std::string& path, const std::string& body, const std::string& ticket)
{
    HttpCall call { .method = "POST", .path = "/v1/services/" + service + path, .headers = { { "Authorization", "Bearer " + m_options.key } }, .body = body, .readTimeout = m_options.silenceLimit };
    if (!ticket.empty())
        call.headers.emplace("Onyxnotch-Ticket", ticket);
    ClientAnswer answer { .requestId = ticket, .tries = 1 };
    auto reply = sendHttp(address, call);
    if (!reply) {
        // What never left is not run by this copy; an earlier copy is the caller's to know of.
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
    auto error = readError(reply.value().body);
    answer.outcome = error.outcome;
    answer.reason = error.message;
    answer.retryAfter = error.retryAfter;
    noteAddresses(error.addresses);
    return answer;
}

ClientAnswer Client::call(const std::string& service, const std::string& path, const std::string& body, bool repeatable)
{
    std::string ticket;
    std::optional<Address> home;
    if (!repeatable) {
        auto taken = takeTicket();
        if (!taken && refreshAddresses(1))
            taken = takeTicket();
        if (!taken)
            return { .outcome = RequestOutcome::NotRun, .reason = "no ticket could be had" };
        ticket = taken->first;
        home = taken->second;
    }
    ClientAnswer answer;
    bool mayHaveRun = false;
    for (unsigned attempt = 0; attempt < m_options.maximumTries; ++attempt) {
        auto address = attempt == 0 && home ? *home : pickAddress(attempt);
        answer = callOnce(address, service, path, body, ticket);
        answer.tries = attempt + 1;
        if (answer.outcome == RequestOutcome::Completed || answer.outcome == RequestOutcome::Failed)
            return answer;
        // Nothing was reached: the same ticket may be shown to another node, which asks the home.
        bool unreached = answer.httpStatus == 0;
        if (answer.outcome == RequestOutcome::Unknown)
            mayHaveRun = true;
        bool finalWord = !unreached && (answer.outcome == RequestOutcome::Unknown || answer.outcome == RequestOutcome::NotRun);
        if (finalWord && !repeatable)
            return answer;
        pause(attempt);
    }
    if (mayHaveRun)
        answer.outcome = RequestOutcome::Unknown;
    return answer;
}

} // namespace Onyxnotch
