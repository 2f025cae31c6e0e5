// The callers' and operators' HTTP interface of a gateway.
#pragma once

#include "core/net/http_relay.h"
#include "core/net/http_server.h"
#include "modules/gateway/request_server.h"

namespace Onyxnotch {

struct GatewayApiOptions {
    std::string instance {};
    std::string zone {};
    std::string operatorKeyDigest {}; // SHA-256 of the operators' bearer key; empty: status and explain need no key.
    Milliseconds addressesValid { 30000 }; // How long callers may keep an answer about addresses.
    std::size_t addressCount { 8 };
    unsigned maximumTicketsPerCall { 32 };
    Milliseconds keepAlive { 1000 }; // Between comment lines on a silent stream, which show whether the caller is still there.
};

class GatewayApi {
public:
    // Adds its routes to the server, which must outlive it.
    GatewayApi(const GatewayApiOptions&, HttpServer&, RequestServer&, const StateReplica&, const MembershipServer&, Metrics&);

    // Connections that are being answered; a leaving gateway waits for them.
    unsigned openAnswers() const { return m_openAnswers; }

private:
    using AuthorizedHandler = HttpResponse (GatewayApi::*)(const HttpRequest&, const Caller&);

    void addRoutes(HttpServer&);
    std::optional<Caller> authenticate(const HttpRequest&) const;
    bool isOperator(const HttpRequest&) const;
    HttpResponse authorized(const HttpRequest&, AuthorizedHandler);

    HttpResponse addresses(const HttpRequest&, const Caller&);
    HttpResponse chat(const HttpRequest&, const Caller&);
    HttpResponse plain(const HttpRequest&, const Caller&);
    HttpResponse resume(const HttpRequest&, const Caller&);
    HttpResponse models(const HttpRequest&, const Caller&);
    HttpResponse readiness() const;
    HttpResponse status() const;
    HttpResponse explain(const HttpRequest&);

    HttpResponse answerError(const RequestError&, const std::string& requestId) const;
    HttpResponse streamAnswer(const std::shared_ptr<ActiveRequest>&, std::uint64_t offset, bool first);
    void writeAnswer(const std::shared_ptr<ActiveRequest>&, std::uint64_t offset, bool first, const HttpStreamWriter&);
    HttpResponse wholeAnswer(const std::shared_ptr<ActiveRequest>&);
    HttpResponse relay(const HttpRequest&, const Member&, const std::string& requestId);

    GatewayApiOptions m_options;
    RequestServer& m_requests;
    const StateReplica& m_replica;
    const MembershipServer& m_membership;
    Metrics& m_metrics;
    std::atomic<unsigned> m_openAnswers { 0 };
};

} // namespace Onyxnotch
