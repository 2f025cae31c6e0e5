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
    , m_location(transfer.location)
    , m_unreadSince(steadyNow())
    , m_trace(transfer.trace.begin(), transfer.trace.end())
{
    m_mayHaveRun = transfer.mayHaveRun || !transfer.location.empty() || !transfer.text.empty();
    if (transfer.outcome != RequestOutcome::Running) {
        m_answer.finish(transfer.outcome);
        m_finishedAt = steadyNow();
    }
}

AttemptLocation ActiveRequest::place() const
{
    std::lock_guard lock(m_mutex);
    return m_location;
}

void ActiveRequest::setLocation(const AttemptLocation& location)
{
    std::lock_guard lock(m_mutex);
    m_location = location;
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
    bool hasPriority = m_interruption == Interruption::Handover || m_interruption == Interruption::Cancelled;
    if (hasPriority && interruption == Interruption::EndpointDraining)
        return;
    m_interruption = interruption;
    if (m_stream)
        m_stream->detach();
}

Interruption ActiveRequest::consumeInterruption()
{
    std::lock_guard lock(m_mutex);
    auto pending = m_interruption;
    if (pending == Interruption::EndpointDraining)
        m_interruption = Interruption::None;
    return pending;
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
    m_runningChanged.notify_all();
}

void ActiveRequest::waitUntilStopped() const
{
    std::unique_lock lock(m_mutex);
    m_runningChanged.wait(lock, [this] { return !m_running; });
}

RequestTransfer ActiveRequest::transfer() const
{
    auto remaining = toMilliseconds(m_deadline - steadyNow()).count();
    return RequestTransfer {
        .description = m_description,
        .remainingMilliseconds = static_cast<std::uint64_t>(std::max<std::int64_t>(0, remaining)),
        .text = m_answer.text(),
        .segments = m_answer.segments(),
        .tokens = m_answer.tokens(),
        .location = place(),
        .outcome = m_answer.outcome(),
        .mayHaveRun = m_mayHaveRun,
        .trace = traceEntries(),
    };
}

void ActiveRequest::changeReaderCount(int change)
{
    std::lock_guard lock(m_mutex);
    m_readerCount += change;
    m_unreadSince = steadyNow();
}

Milliseconds ActiveRequest::timeWithoutReader() const
{
    std::lock_guard lock(m_mutex);
    return m_readerCount > 0 ? Milliseconds(0) : toMilliseconds(steadyNow() - m_unreadSince);
}

void ActiveRequest::markFinished()
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
