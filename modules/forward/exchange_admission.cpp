// The part of Exchange that applies the admission level that all nodes share (SharedAdmission), and measures what it is calculated from.
#include "modules/forward/exchange.h"

#include "core/net/http_status.h"
#include <algorithm>

namespace Onyxnotch {

AdmissionGroup Exchange::admissionGroup()
{
    return { .team = digest().team, .priority = static_cast<std::uint8_t>(std::clamp<int>(priority(), 0, maximumAdmissionPriority)) };
}

// All parts of a prompt but the last are shared, and expected to be cached at the endpoint that is chosen for it. The estimate need not be
// exact: demand and served work are measured by the same value.
double Exchange::expectedWork() const
{
    // Prompts with all parts cached take engine time as well, and before the first plain request was answered its slot time is unknown.
    constexpr double minimumSeconds = 0.001;
    if (m_promptTokens <= 0)
        return std::max(minimumSeconds, m_context.endpoints.slotSeconds(m_service->name));
    double uncached = m_promptTokens;
    for (std::size_t n = 0; n + 1 < m_promptParts.size(); ++n)
        uncached -= m_promptParts[n].tokens;
    return std::max(minimumSeconds, m_context.endpoints.prefillSeconds(uncached));
}

std::optional<Exchange::LocalResponse> Exchange::checkAdmissionLevel()
{
    if (!m_context.options.sharedAdmission)
        return std::nullopt;
    const auto& service = m_service->name;
    m_admissionWork = expectedWork();
    m_admission = m_context.admission.decide(service, admissionGroup(), digest().content, m_context.fleetTimeMilliseconds(), steadyNow());
    // Below this chance of admission, the priority has too little capacity for requests that return in their turn as well.
    constexpr double lowestChanceOfTurns = 0.25;
    m_admission.isAdmitted = m_admission.isAdmitted || (m_isInTurn && m_admission.chance >= lowestChanceOfTurns);
    m_context.admissionMeter.onArrival(service, admissionGroup(), m_admissionWork, m_admission.chance);
    if (m_admission.isAdmitted) {
        m_context.admissionMeter.onAdmitted(service, m_admissionWork);
        return std::nullopt;
    }
    refundTeam();
    // The scaler needs the whole demand, whether it can be served at present or not.
    m_context.demand.onRequest(service, m_promptTokens > 0 ? m_admissionWork : 0);
    m_context.demand.onRefused(service);
    auto retryAfter = std::max(m_admission.retryAfter, m_context.options.retryAfter);
    return LocalResponse { .status = HttpStatus::serviceUnavailable, .retryAfter = delayUntilTurn(m_admission.retryAfter, retryAfter), .reason = m_admission.reason };
}

void Exchange::recordServed()
{
    if (m_isServed || m_admissionWork <= 0)
        return;
    m_isServed = true;
    bool isOnTime = steadyNow() - m_request.arrivedAt <= m_route->objective;
    m_context.admissionMeter.onServed(m_service->name, m_admissionWork, isOnTime);
}

void Exchange::recordRefusedByEndpoint()
{
    if (m_context.options.sharedAdmission)
        m_context.admissionMeter.onRefused(m_service->name);
}

} // namespace Onyxnotch
