// HTTP API of a gateway for clients (chat completions, plain service calls, resuming a request) and for operators (status, trace of
// a request). Authenticates, parses, and formats; the requests themselves are run by RequestServer.
#pragma once

#include "core/net/http_relay.h"
#include "core/net/http_server.h"
#include "modules/gateway/request_server.h"

namespace Onyxnotch {

struct GatewayApiOptions {
    std::string instance {};
    std::string zone {};
    std::string operatorKeyDigest {}; // SHA-256 of the operators' bearer key; if empty, /v1/status and /v1/explain need no key.
    Milliseconds addressesValidity { 30000 }; // How long clients may cache a response of /v1/addresses.
    std::size_t addressCount { 8 };
    unsigned maximumTicketsPerCall { 32 };
    Milliseconds keepAlive { 1000 }; // Interval of comment lines on an idle stream; a failed write detects a disconnected client.
};

class GatewayApi {
public:
    // Adds the API's routes to the HTTP server. The referenced objects must outlive this one.
    GatewayApi(const GatewayApiOptions&, HttpServer&, RequestServer&, const StateReplica&, const MembershipServer&, Metrics&);

    // Number of responses that are being produced or written. A gateway that shuts down waits until it is zero.
    unsigned openResponses() const { return m_openResponses; }

private:
    using AuthorizedHandler = HttpResponse (GatewayApi::*)(const HttpRequest&, const AuthenticatedClient&);

    void addRoutes(HttpServer&);
    std::optional<AuthenticatedClient> authenticate(const HttpRequest&) const;
    bool isOperator(const HttpRequest&) const;
    HttpResponse authorized(const HttpRequest&, AuthorizedHandler);

    HttpResponse addresses(const HttpRequest&, const AuthenticatedClient&);
    HttpResponse chat(const HttpRequest&, const AuthenticatedClient&);
    HttpResponse plain(const HttpRequest&, const AuthenticatedClient&);
    HttpResponse resume(const HttpRequest&, const AuthenticatedClient&);
    HttpResponse models(const HttpRequest&, const AuthenticatedClient&);
    HttpResponse readiness() const;
    HttpResponse status() const;
    HttpResponse explain(const HttpRequest&);

    HttpResponse errorResponse(const RequestError&, const std::string& requestId) const;
    HttpResponse streamResponse(const std::shared_ptr<ActiveRequest>&, std::uint64_t offset, bool isFirstResponse);
    void writeEventStream(const std::shared_ptr<ActiveRequest>&, std::uint64_t offset, bool isFirstResponse, const HttpStreamWriter&);
    HttpResponse completeResponse(const std::shared_ptr<ActiveRequest>&);
    HttpResponse relay(const HttpRequest&, const Member&, const std::string& requestId);

    GatewayApiOptions m_options;
    RequestServer& m_requests;
    const StateReplica& m_replica;
    const MembershipServer& m_membership;
    Metrics& m_metrics;
    std::atomic<unsigned> m_openResponses { 0 };
};

} // namespace Onyxnotch
