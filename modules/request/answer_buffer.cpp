#include "modules/request/answer_buffer.h"

namespace Onyxnotch {

AnswerBuffer::AnswerBuffer(std::string text, std::vector<AnswerSegment> segments, unsigned tokens)
    : m_text(std::move(text))
    , m_segments(std::move(segments))
    , m_tokens(tokens)
{
}

void AnswerBuffer::beginAttempt(const std::string& attempt)
{
    std::lock_guard lock(m_mutex);
    // Remove the segment of an attempt that generated no text.
    if (!m_segments.empty() && m_segments.back().start == m_text.size())
        m_segments.pop_back();
    m_segments.push_back({ .attempt = attempt, .start = m_text.size() });
}

AppendResult AnswerBuffer::append(const std::string& attempt, std::uint64_t offset, std::string_view text)
{
    std::lock_guard lock(m_mutex);
    if (m_outcome != RequestOutcome::Running)
        return AppendResult::Finished;
    if (m_moved || m_segments.empty() || m_segments.back().attempt != attempt)
        return AppendResult::NotCurrent;
    if (offset > m_text.size())
        return AppendResult::Gap;
    auto overlap = m_text.size() - offset;
    if (overlap >= text.size())
        return AppendResult::Duplicate;
    m_text.append(text.substr(overlap));
    ++m_tokens;
    m_changed.notify_all();
    return AppendResult::Appended;
}

bool AnswerBuffer::finish(RequestOutcome outcome)
{
    std::lock_guard lock(m_mutex);
    if (m_outcome != RequestOutcome::Running || m_moved)
        return false;
    m_outcome = outcome;
    m_changed.notify_all();
    return true;
}

void AnswerBuffer::markMoved()
{
    std::lock_guard lock(m_mutex);
    if (m_outcome != RequestOutcome::Running)
        return;
    m_moved = true;
    m_changed.notify_all();
}

void AnswerBuffer::clearMoved()
{
    std::lock_guard lock(m_mutex);
    m_moved = false;
}

AnswerPart AnswerBuffer::wait(std::uint64_t offset, Milliseconds limit) const
{
    std::unique_lock lock(m_mutex);
    m_changed.wait_for(lock, limit, [&] { return m_text.size() > offset || m_outcome != RequestOutcome::Running || m_moved; });
    AnswerPart part { .offset = offset, .outcome = m_outcome, .moved = m_moved };
    if (m_text.size() > offset)
        part.text = m_text.substr(offset);
    part.attempt = attemptBeforeLocked(offset + part.text.size());
    return part;
}

std::string AnswerBuffer::attemptBeforeLocked(std::uint64_t offset) const
{
    std::string attempt;
    for (const auto& it : m_segments) {
        if (it.start < offset)
            attempt = it.attempt;
    }
    return attempt;
}

bool AnswerBuffer::continues(const std::string& attempt, std::uint64_t offset) const
{
    std::lock_guard lock(m_mutex);
    if (offset == 0)
        return true;
    if (offset > m_text.size())
        return false;
    // Text that `attempt` generated after another attempt became the current one is not part of this answer.
    return attemptBeforeLocked(offset) == attempt;
}

std::string AnswerBuffer::text() const
{
    std::lock_guard lock(m_mutex);
    return m_text;
}

std::uint64_t AnswerBuffer::size() const
{
    std::lock_guard lock(m_mutex);
    return m_text.size();
}

unsigned AnswerBuffer::tokens() const
{
    std::lock_guard lock(m_mutex);
    return m_tokens;
}

std::vector<AnswerSegment> AnswerBuffer::segments() const
{
    std::lock_guard lock(m_mutex);
    return m_segments;
}

RequestOutcome AnswerBuffer::outcome() const
{
    std::lock_guard lock(m_mutex);
    return m_outcome;
}

} // namespace Onyxnotch
