#include "modules/request/active_request.h"

namespace Onyxnotch {

ActiveRequest::ActiveRequest(RequestDescription description, SteadyTime deadline)
    : m_description(std::move(description))
    , m_deadline(deadline)
    , m_unreadSince(steadyNow())
{
}

ActiveRequest::ActiveRequest(const RequestTransfer& transfer)
    : m_description(transfer.description)
    , m_deadline(steadyNow() + Milliseconds(transfer.remainingMilliseconds))
    , m_answer(transfer.text, transfer.segments, transfer.tokens)
    , m_place(transfer.place)
    , m_unreadSince(steadyNow())
    , m_trace(transfer.trace.begin(), transfer.trace.end())
{
    m_mayHaveRun = transfer.mayHaveRun || !transfer.place.empty() || !transfer.text.empty();
    if (transfer.outcome != RequestOutcome::Running) {
        m_answer.finish(transfer.outcome);
        m_finishedAt = steadyNow();
    }
}

AttemptPlace ActiveRequest::place() const
{
    std::lock_guard lock(m_mutex);
    return m_place;
}

void ActiveRequest::setPlace(const AttemptPlace& place)
{
    std::lock_guard lock(m_mutex);
    m_place = place;
}

bool ActiveRequest::attach(EngineStream* stream)
{
    std::lock_guard lock(m_mutex);
    if (m_interruption != Interruption::None)
        return false;
    m_stream = stream;
    return true;
}

void ActiveRequest::detach()
{
    std::lock_guard lock(m_mutex);
    m_stream = nullptr;
}

void ActiveRequest::interrupt(Interruption interruption)
{
    std::lock_guard lock(m_mutex);
    bool stands = m_interruption == Interruption::Handover || m_interruption == Interruption::Cancelled;
    if (stands && interruption == Interruption::EndpointLeaving)
        return;
    m_interruption = interruption;
    if (m_stream)
        m_stream->detach();
}

Interruption ActiveRequest::takeInterruption()
{
    std::lock_guard lock(m_mutex);
    auto taken = m_interruption;
    if (taken == Interruption::EndpointLeaving)
        m_interruption = Interruption::None;
    return taken;
}

void ActiveRequest::clearInterruption()
{
    std::lock_guard lock(m_mutex);
    m_interruption = Interruption::None;
}

void ActiveRequest::trace(const std::string& node, const std::string& event, const std::string& detail)
{
    std::lock_guard lock(m_mutex);
    m_trace.push_back({ .wallTime = wallMilliseconds(), .node = node, .event = event, .detail = detail });
    if (m_trace.size() > maximumTraceEntries)
        m_trace.pop_front();
}

std::vector<TraceEntry> ActiveRequest::traceEntries() const
{
    std::lock_guard lock(m_mutex);
    return { m_trace.begin(), m_trace.end() };
}

void ActiveRequest::setRunning(bool running)
{
    std::lock_guard lock(m_mutex);
    m_running = running;
    m_stopped.notify_all();
}

void ActiveRequest::waitStopped() const
{
    std::unique_lock lock(m_mutex);
    m_stopped.wait(lock, [this] { return !m_running; });
}

RequestTransfer ActiveRequest::transfer() const
{
    auto left = toMilliseconds(m_deadline - steadyNow()).count();
    return RequestTransfer {
        .description = m_description,
        .remainingMilliseconds = static_cast<std::uint64_t>(std::max<std::int64_t>(0, left)),
        .text = m_answer.text(),
        .segments = m_answer.segments(),
        .tokens = m_answer.tokens(),
        .place = place(),
        .outcome = m_answer.outcome(),
        .mayHaveRun = m_mayHaveRun,
        .trace = traceEntries(),
    };
}

void ActiveRequest::noteReader(int change)
{
    std::lock_guard lock(m_mutex);
    m_readers += change;
    m_unreadSince = steadyNow();
}

Milliseconds ActiveRequest::unreadFor() const
{
    std::lock_guard lock(m_mutex);
    return m_readers > 0 ? Milliseconds(0) : toMilliseconds(steadyNow() - m_unreadSince);
}

void ActiveRequest::noteFinished()
{
    std::lock_guard lock(m_mutex);
    m_finishedAt = steadyNow();
}

SteadyTime ActiveRequest::finishedAt() const
{
    std::lock_guard lock(m_mutex);
    return m_finishedAt;
}

} // namespace Onyxnotch
