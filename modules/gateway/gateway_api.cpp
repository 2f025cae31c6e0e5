#include "modules/gateway/gateway_api.h"

#include "core/digest.h"
#include "core/net/http_status.h"
#include "modules/request/chat_protocol.h"
#include <array>
#include <charconv>
#include <cmath>
#include <nlohmann/json.hpp>
#include <thread>

namespace Onyxnotch {

namespace {

    using Json = nlohmann::json;

    constexpr auto ticketHeader = "onyxnotch-ticket";
    constexpr auto forwardedHeader = "onyxnotch-forwarded";
    constexpr auto requestIdHeader = "Onyxnotch-Request-Id";
    constexpr auto outcomeHeader = "Onyxnotch-Outcome";
    constexpr auto eventStream = "text/event-stream";
    constexpr Milliseconds pollInterval { 250 };
    constexpr Milliseconds relayReadTimeout { 310000 };
    constexpr double millisecondsPerSecond = 1000;

    std::string dump(const Json& document)
    {
        return document.dump(-1, ' ', false, Json::error_handler_t::replace);
    }

    HttpResponse jsonResponse(int status, const Json& document) { return { .status = status, .body = dump(document) }; }

    std::string bearerKey(const HttpRequest& request)
    {
        static constexpr std::string_view scheme = "Bearer ";
        auto header = request.header("authorization");
        return header.rfind(scheme, 0) == 0 ? header.substr(scheme.size()) : std::string();
    }

    int httpStatusOf(RequestOutcome outcome)
    {
        switch (outcome) {
        case RequestOutcome::NotRun:
            return HttpStatus::serviceUnavailable;
        case RequestOutcome::Unknown:
            return HttpStatus::gatewayTimeout;
        case RequestOutcome::Running:
        case RequestOutcome::Completed:
        case RequestOutcome::Failed:
            return HttpStatus::badGateway;
        }
        return HttpStatus::badGateway;
    }

    // Position after the last event that a client received, parsed from an event id of the form "ATTEMPT:OFFSET".
    struct ReadPosition {
        std::string attempt;
        std::uint64_t offset { 0 };
    };

    std::optional<ReadPosition> parsePosition(const std::string& text)
    {
        if (text.empty())
            return ReadPosition {};
        auto colon = text.rfind(':');
        if (colon == std::string::npos)
            return std::nullopt;
        ReadPosition position { .attempt = text.substr(0, colon) };
        const auto* begin = text.data() + colon + 1;
        const auto* end = text.data() + text.size();
        auto [last, ec] = std::from_chars(begin, end, position.offset);
        if (ec != std::errc() || last != end || begin == end)
            return std::nullopt;
        return position;
    }

    // Counts a response as open from its creation until it has been written; decrements the counter in the destructor.
    class OpenResponseGuard {
    public:
        explicit OpenResponseGuard(std::atomic<unsigned>& count)
            : m_count(count)
        {
            ++m_count;
        }
        ~OpenResponseGuard() { --m_count; }
        OpenResponseGuard(const OpenResponseGuard&) = delete;
        OpenResponseGuard& operator=(const OpenResponseGuard&) = delete;

    private:
        std::atomic<unsigned>& m_count;
    };

    Json memberToJson(const Member& member)
    {
        static constexpr std::array<const char*, 3> states { "alive", "suspect", "dead" };
        return {
            { "node", member.node },
            { "role", member.role == MemberRole::Gateway ? "gateway" : "controller" },
            { "zone", member.zone },
            { "region", member.region },
            { "state", states.at(static_cast<std::size_t>(member.state)) },
            { "leaving", member.leaving },
            { "address", member.httpAddress().text() },
        };
    }

} // namespace

GatewayApi::GatewayApi(const GatewayApiOptions& options, HttpServer& server, RequestServer& requests, const StateReplica& replica, const MembershipServer& membership, Metrics& metrics)
    : m_options(options)
    , m_requests(requests)
    , m_replica(replica)
    , m_membership(membership)
    , m_metrics(metrics)
{
    addRoutes(server);
}

void GatewayApi::addRoutes(HttpServer& server)
{
    auto guarded = [this](AuthorizedHandler handler) { return [this, handler](const HttpRequest& request) { return authorized(request, handler); }; };
    server.route("GET", "/healthz", [](const HttpRequest&) { return jsonResponse(200, { { "alive", true } }); });
    server.route("GET", "/readyz", [this](const HttpRequest&) { return readiness(); });
    server.route("GET", "/metrics", [this](const HttpRequest&) { return HttpResponse { .contentType = "text/plain; version=0.0.4", .body = m_metrics.serialize() }; });
    server.route("GET", "/v1/status", [this](const HttpRequest& request) { return isOperator(request) ? status() : jsonResponse(HttpStatus::unauthorized, { { "error", "operator key needed" } }); });
    server.route("GET", "/v1/explain/([^/]+)", [this](const HttpRequest& request) { return isOperator(request) ? explain(request) : jsonResponse(HttpStatus::unauthorized, { { "error", "operator key needed" } }); });
    server.route("GET", "/v1/addresses", guarded(&GatewayApi::addresses));
    server.route("GET", "/v1/models", guarded(&GatewayApi::models));
    server.route("POST", "/v1/chat/completions", guarded(&GatewayApi::chat));
    server.route("GET", "/v1/requests/([^/]+)", guarded(&GatewayApi::resume));
    for (const auto* method : { "GET", "POST", "PUT", "DELETE" })
        server.route(method, "/v1/services/([^/]+)(/.*)?", guarded(&GatewayApi::plain));
}

std::optional<AuthenticatedClient> GatewayApi::authenticate(const HttpRequest& request) const
{
    auto key = bearerKey(request);
    if (key.empty())
        return std::nullopt;
    auto state = m_replica.state();
    const auto* object = state->configuration.teamByKeyDigest(sha256Hex(key));
    if (!object)
        return std::nullopt;
    const auto& team = std::get<TeamSpec>(object->spec);
    return AuthenticatedClient { .team = object->name.name, .requestsPerSecond = team.requestsPerSecond, .priority = team.priority, .services = team.services };
}

bool GatewayApi::isOperator(const HttpRequest& request) const
{
    return m_options.operatorKeyDigest.empty() || equalInConstantTime(sha256Hex(bearerKey(request)), m_options.operatorKeyDigest);
}

HttpResponse GatewayApi::authorized(const HttpRequest& request, AuthorizedHandler handler)
{
    auto client = authenticate(request);
    if (!client)
        return errorResponse({ .outcome = RequestOutcome::NotRun, .httpStatus = HttpStatus::unauthorized, .reason = "unknown key" }, {});
    auto open = std::make_shared<OpenResponseGuard>(m_openResponses);
    auto response = (this->*handler)(request, *client);
    // A node that shuts down waits until its responses are written. Without this, 2 of 76 calls that completed just before the exit
    // were cut off at the client.
    response.releasedWhenWritten = std::move(open);
    return response;
}

HttpResponse GatewayApi::errorResponse(const RequestError& error, const std::string& requestId) const
{
    HttpResponse response { .status = error.httpStatus, .body = errorBody(error, requestId) };
    response.headers.emplace(outcomeHeader, toString(error.outcome));
    if (error.retryAfter.count() > 0)
        response.headers.emplace("Retry-After", std::to_string(static_cast<long>(std::ceil(static_cast<double>(error.retryAfter.count()) / millisecondsPerSecond))));
    return response;
}

HttpResponse GatewayApi::addresses(const HttpRequest& request, const AuthenticatedClient& client)
{
    auto wanted = request.queryValue("tickets");
    unsigned count = 0;
    auto [end, ec] = std::from_chars(wanted.data(), wanted.data() + wanted.size(), count);
    if (!wanted.empty() && (ec != std::errc() || end != wanted.data() + wanted.size() || count > m_options.maximumTicketsPerCall))
        return errorResponse({ .outcome = RequestOutcome::NotRun, .httpStatus = HttpStatus::badRequest, .reason = "tickets must be a number up to " + std::to_string(m_options.maximumTicketsPerCall) }, {});
    Json body { { "addresses", m_requests.addresses(m_options.addressCount) }, { "valid_ms", m_options.addressesValidity.count() }, { "tickets", Json::array() } };
    // A node that is shutting down issues no tickets: requests with them would have to be looked up at its successor at once.
    for (unsigned n = 0; n < count && !m_requests.isShuttingDown(); ++n)
        body["tickets"].push_back({ { "ticket", m_requests.issueTicket(client) }, { "address", m_membership.view()->self.httpAddress().text() } });
    return jsonResponse(200, body);
}

HttpResponse GatewayApi::models(const HttpRequest&, const AuthenticatedClient& client)
{
    Json list = Json::array();
    m_replica.state()->configuration.forEach<ServiceSpec>([&](const DeclaredObject& object, const ServiceSpec& service) {
        if (service.type == ServiceType::Model && client.services.matches(object.labels))
            list.push_back({ { "id", object.name.name }, { "object", "model" }, { "owned_by", "onyxnotch" } });
    });
    return jsonResponse(200, { { "object", "list" }, { "data", list } });
}

HttpResponse GatewayApi::chat(const HttpRequest& request, const AuthenticatedClient& client)
{
    auto chatRequest = parseChatRequest(request.body);
    if (!chatRequest)
        return errorResponse({ .outcome = RequestOutcome::NotRun, .httpStatus = HttpStatus::badRequest, .reason = chatRequest.error().message }, {});
    auto accepted = m_requests.acceptModel(client, chatRequest.value(), request.header(ticketHeader), !request.header(forwardedHeader).empty());
    if (accepted.forwardTo)
        return relay(request, *accepted.forwardTo, accepted.requestId);
    if (accepted.error)
        return errorResponse(*accepted.error, accepted.requestId);
    return chatRequest.value().stream ? streamResponse(accepted.request, 0, true) : completeResponse(accepted.request);
}

HttpResponse GatewayApi::resume(const HttpRequest& request, const AuthenticatedClient& client)
{
    const auto& id = request.captures.at(0);
    auto found = m_requests.find(client, id, !request.header(forwardedHeader).empty());
    if (found.forwardTo)
        return relay(request, *found.forwardTo, id);
    if (found.error)
        return errorResponse(*found.error, id);
    if (!request.queryValue("whole").empty())
        return completeResponse(found.request);
    auto text = request.queryValue("last_event_id");
    auto position = parsePosition(text.empty() ? request.header("last-event-id") : text);
    if (!position)
        return errorResponse({ .outcome = RequestOutcome::Failed, .httpStatus = HttpStatus::badRequest, .reason = "the last event id is not ATTEMPT:OFFSET" }, id);
    if (!found.request->answer().continues(position->attempt, position->offset))
        return errorResponse({ .outcome = RequestOutcome::Failed, .httpStatus = HttpStatus::conflict, .reason = "this answer does not go on from there; read it from the start" }, id);
    return streamResponse(found.request, position->offset, false);
}

HttpResponse GatewayApi::streamResponse(const std::shared_ptr<ActiveRequest>& request, std::uint64_t offset, bool isFirstResponse)
{
    HttpResponse response { .contentType = eventStream };
    response.headers.emplace(requestIdHeader, request->description().id);
    response.headers.emplace("Cache-Control", "no-store");
    response.stream = [this, request, offset, isFirstResponse](const HttpStreamWriter& writer) { writeEventStream(request, offset, isFirstResponse, writer); };
    return response;
}

void GatewayApi::writeEventStream(const std::shared_ptr<ActiveRequest>& request, std::uint64_t offset, bool isFirstResponse, const HttpStreamWriter& writer)
{
    request->changeReaderCount(1);
    ChatEventWriter events(request->description().id, request->description().service);
    bool connected = !isFirstResponse || writer(events.accepted());
    auto started = steadyNow();
    auto lastWrite = started;
    bool hasSentText = !isFirstResponse;
    while (connected) {
        auto part = request->answer().wait(offset, pollInterval);
        if (!part.text.empty()) {
            connected = writer(events.text(part));
            offset += part.text.size();
            auto now = steadyNow();
            if (!hasSentText)
                m_metrics.observeSeconds("onyxnotch_first_token_seconds", std::chrono::duration<double>(now - started).count(), { { "service", request->description().service }, { "team", request->description().team } });
            hasSentText = true;
            lastWrite = now;
            continue;
        }
        if (part.outcome == RequestOutcome::Completed) {
            writer(events.completed(offset));
            break;
        }
        if (part.outcome != RequestOutcome::Running) {
            auto trace = request->traceEntries();
            auto retryDelay = part.outcome == RequestOutcome::NotRun ? m_requests.retryAfterFor(request->description().service) : Milliseconds(0);
            writer(events.failed(part.outcome, trace.empty() ? std::string() : trace.back().detail, retryDelay));
            break;
        }
        auto addresses = part.moved ? m_requests.newAddressesOf(request->description().id) : std::vector<std::string>();
        if (!addresses.empty()) {
            writer(events.moved(addresses));
            break;
        }
        if (part.moved)
            std::this_thread::sleep_for(Milliseconds(20)); // The request has moved, but the address of its new node is not known yet.
        if (steadyNow() - lastWrite >= m_options.keepAlive) {
            connected = writer(": keep-alive\n\n");
            lastWrite = steadyNow();
        }
    }
    request->changeReaderCount(-1);
}

HttpResponse GatewayApi::completeResponse(const std::shared_ptr<ActiveRequest>& request)
{
    const auto& description = request->description();
    request->changeReaderCount(1);
    HttpResponse response;
    response.headers.emplace(requestIdHeader, description.id);
    while (true) {
        auto size = request->answer().size();
        auto part = request->answer().wait(size, pollInterval);
        if (part.outcome == RequestOutcome::Completed) {
            response.body = chatCompletion(description.id, description.service, request->answer().text(), description.promptTokens, request->answer().tokens());
            response.headers.emplace(outcomeHeader, toString(part.outcome));
            break;
        }
        if (part.outcome != RequestOutcome::Running) {
            auto trace = request->traceEntries();
            RequestError error { .outcome = part.outcome, .httpStatus = httpStatusOf(part.outcome), .reason = trace.empty() ? std::string() : trace.back().detail };
            if (part.outcome == RequestOutcome::NotRun)
                error.retryAfter = m_requests.retryAfterFor(description.service);
            response = errorResponse(error, description.id);
            break;
        }
        auto addresses = part.moved ? m_requests.newAddressesOf(description.id) : std::vector<std::string>();
        if (!addresses.empty()) {
            response.status = HttpStatus::seeOther;
            response.headers.emplace("Location", "http://" + addresses.front() + "/v1/requests/" + description.id + "?whole=1");
            break;
        }
        if (part.moved)
            std::this_thread::sleep_for(Milliseconds(20));
    }
    request->changeReaderCount(-1);
    return response;
}

HttpResponse GatewayApi::plain(const HttpRequest& request, const AuthenticatedClient& client)
{
    auto ticket = request.header(ticketHeader);
    PlainRequest plainRequest {
        .service = request.captures.at(0),
        .method = request.method,
        .path = pathWithQuery(request.captures.size() > 1 && !request.captures[1].empty() ? request.captures[1] : "/", request.query),
        .body = request.body,
        .contentType = request.header("content-type"),
    };
    auto accepted = m_requests.runPlain(client, plainRequest, ticket, !request.header(forwardedHeader).empty());
    if (accepted.forwardTo)
        return relay(request, *accepted.forwardTo, ticket);
    if (accepted.error)
        return errorResponse(*accepted.error, accepted.requestId);
    const auto& answer = *accepted.answer;
    if (answer.outcome != RequestOutcome::Completed) {
        RequestError error { .outcome = answer.outcome, .httpStatus = httpStatusOf(answer.outcome), .reason = answer.reason };
        if (answer.outcome == RequestOutcome::NotRun)
            error.retryAfter = m_requests.retryAfterFor(plainRequest.service);
        return errorResponse(error, accepted.requestId);
    }
    HttpResponse response { .status = answer.httpStatus, .contentType = answer.contentType, .body = answer.body };
    response.headers.emplace(requestIdHeader, accepted.requestId);
    response.headers.emplace(outcomeHeader, toString(answer.outcome));
    return response;
}

HttpResponse GatewayApi::relay(const HttpRequest& request, const Member& target, const std::string& requestId)
{
    HttpCall call { .method = request.method, .path = request.path, .headers = { { forwardedHeader, m_options.instance } }, .body = request.body, .readTimeout = relayReadTimeout };
    call.contentType = request.header("content-type");
    for (const auto* name : { "authorization", ticketHeader, "last-event-id", "accept" }) {
        if (!request.header(name).empty())
            call.headers.emplace(name, request.header(name));
    }
    call.path = pathWithQuery(request.path, request.query);
    m_metrics.increment("onyxnotch_relayed_requests_total");
    auto id = requestId.empty() ? request.header(ticketHeader) : requestId;
    // A gateway that shuts down ends the streams that it relays with a `moved` event, which directs the client to the node that runs
    // the request.
    auto interruption = [this, id, address = target.httpAddress().text()]() -> std::string {
        if (!m_requests.isShuttingDown() || id.empty())
            return {};
        return ChatEventWriter(id, {}).moved({ address });
    };
    bool streams = request.path.rfind("/v1/services/", 0) != 0;
    auto response = relayHttp(target.httpAddress(), call, streams ? RelayInterruption(interruption) : RelayInterruption());
    if (response)
        return response.value();
    // The outcome is unknown even if this call was never sent: an earlier copy of the request may have been executed there.
    RequestError error { .outcome = RequestOutcome::Unknown, .httpStatus = HttpStatus::gatewayTimeout, .reason = "the node that answers for this request cannot be reached: " + response.error().message };
    return errorResponse(error, id);
}

HttpResponse GatewayApi::readiness() const
{
    auto version = m_replica.state()->configuration.version();
    bool ready = version > 0 && !m_requests.isShuttingDown();
    auto reason = version == 0 ? "no configuration yet" : m_requests.isShuttingDown() ? "leaving"
                                                                                      : "";
    return jsonResponse(ready ? 200 : HttpStatus::serviceUnavailable, { { "ready", ready }, { "reason", reason }, { "configuration_version", version } });
}

HttpResponse GatewayApi::status() const
{
    auto state = m_replica.state();
    auto view = m_membership.view();
    Json body { { "instance", m_options.instance }, { "zone", m_options.zone }, { "configuration_version", state->configuration.version() }, { "leaving", m_requests.isShuttingDown() } };
    body["running_requests"] = m_requests.runningCount();
    body["ledger_entries"] = m_requests.ledgerEntries();
    body["members"] = Json::array();
    for (const auto& it : view->members)
        body["members"].push_back(memberToJson(it));
    body["endpoints"] = Json::array();
    for (const auto& [zone, endpoints] : state->zones) {
        for (const auto& it : endpoints.endpoints) {
            auto document = endpointToJson(it);
            document["leaving"] = view->marks.contains(it.id);
            body["endpoints"].push_back(document);
        }
    }
    return jsonResponse(200, body);
}

HttpResponse GatewayApi::explain(const HttpRequest& request)
{
    const auto& id = request.captures.at(0);
    auto found = m_requests.findForOperator(id, !request.header(forwardedHeader).empty());
    auto entries = found.request ? found.request->traceEntries() : m_requests.plainTrace(id);
    if (entries.empty() && found.forwardTo)
        return relay(request, *found.forwardTo, id);
    if (entries.empty())
        return jsonResponse(HttpStatus::notFound, { { "error", "nothing is known about this request here" } });
    Json body { { "request_id", id }, { "trace", Json::array() } };
    for (const auto& it : entries)
        body["trace"].push_back({ { "time_ms", it.wallTime }, { "node", it.node }, { "event", it.event }, { "detail", it.detail } });
    if (found.request)
        body["outcome"] = toString(found.request->answer().outcome());
    return jsonResponse(200, body);
}

} // namespace Onyxnotch
