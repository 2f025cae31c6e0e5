#include "modules/placement/lease.h"

#include "core/json_decode.h"

namespace Onyxnotch {

namespace {

    using Json = nlohmann::json;

    Milliseconds scaled(Milliseconds duration, double factor)
    {
        return Milliseconds(static_cast<std::int64_t>(static_cast<double>(duration.count()) * factor));
    }

} // namespace

std::string leaseToJson(const LeaseRecord& record)
{
    Json document { { "holder", record.holder }, { "fence", record.fence }, { "renewals", record.renewals }, { "life", record.life } };
    if (!record.note.empty())
        document["note"] = record.note;
    return document.dump();
}

Result<LeaseRecord> leaseFromJson(const std::string& text)
{
    return decodeJson<LeaseRecord>(text, ErrorCode::InvalidArgument, "lease", [](const Json& document) {
        return LeaseRecord {
            .holder = document.at("holder"),
            .fence = document.at("fence"),
            .renewals = document.at("renewals"),
            .life = document.value("life", std::uint64_t(0)),
            .note = document.value("note", std::string()),
        };
    });
}

LeaseStateMachine::LeaseStateMachine(std::string self, const LeaseOptions& options)
    : m_self(std::move(self))
    , m_options(options)
{
}

void LeaseStateMachine::observe(const std::optional<LeaseRecord>& record, std::uint64_t version, SteadyTime readSentAt, SteadyTime now)
{
    bool hasChanged = !m_observed || version != m_version || record.has_value() != m_record.has_value();
    if (hasChanged)
        m_unchangedSince = now;
    m_observed = true;
    m_record = record;
    m_version = version;
    bool isOwn = record && record->holder == m_self;
    if (!isOwn) {
        m_held = false;
        return;
    }
    // The lease was acquired by a write of this process whose answer was lost. The write took effect at an unknown time before this read
    // was sent, so the lease isn't considered held until the next renewal succeeds.
    if (!m_held) {
        m_fence = record->fence;
        m_acquiredAt = readSentAt;
    }
}

std::optional<LeaseWrite> LeaseStateMachine::next(SteadyTime now) const
{
    if (!m_observed)
        return std::nullopt;
    if (!m_record)
        return LeaseWrite { .kind = LeaseWriteKind::Create, .version = 0, .record = { .holder = m_self, .fence = 1, .renewals = 0, .life = m_options.life } };
    LeaseWrite write { .kind = LeaseWriteKind::Update, .version = m_version, .record = *m_record };
    bool isOwn = m_record->holder == m_self;
    // Other nodes may have been notified that this process resigned from the fence, so it isn't used again.
    bool hasResigned = isOwn && m_record->fence <= m_ownResignedFence;
    if (isOwn && !hasResigned) {
        bool isRenewalDue = !m_held || now - m_renewedAt >= m_options.renewEvery;
        if (!isRenewalDue)
            return std::nullopt;
        ++write.record.renewals;
        write.record.life = m_options.life;
        return write;
    }
    bool holderResigned = m_record->holder == m_resignedHolder && m_record->life == m_resignedIncarnation && m_record->fence <= m_resignedFence;
    bool isReleased = m_record->holder.empty() || holderResigned || hasResigned;
    bool hasExpired = now - m_unchangedSince >= scaled(m_options.duration, 1 + m_options.clockRateBound);
    if (!isReleased && !hasExpired)
        return std::nullopt;
    write.record = { .holder = m_self, .fence = m_record->fence + 1, .renewals = 0, .life = m_options.life, .note = m_record->note };
    return write;
}

std::optional<LeaseWrite> LeaseStateMachine::nextRenewalWithNote(const std::string& note, SteadyTime now) const
{
    if (!m_observed || !m_record || !holds(now))
        return std::nullopt;
    LeaseWrite write { .kind = LeaseWriteKind::Update, .version = m_version, .record = *m_record };
    ++write.record.renewals;
    write.record.note = note;
    return write;
}

void LeaseStateMachine::written(const LeaseWrite& write, std::uint64_t newVersion, SteadyTime sentAt)
{
    if (!m_held || write.record.fence != m_fence)
        m_acquiredAt = sentAt;
    m_record = write.record;
    m_version = newVersion;
    m_fence = write.record.fence;
    m_renewedAt = sentAt;
    m_unchangedSince = sentAt;
    m_held = write.record.holder == m_self;
}

void LeaseStateMachine::giveUp()
{
    m_held = false;
    m_ownResignedFence = m_fence;
}

void LeaseStateMachine::onHolderResigned(const std::string& holder, std::uint64_t life, std::uint64_t fence)
{
    m_resignedHolder = holder;
    m_resignedIncarnation = life;
    m_resignedFence = fence;
}

void LeaseStateMachine::forget() { m_observed = false; }

bool LeaseStateMachine::holds(SteadyTime now) const { return left(now).count() > 0; }

Milliseconds LeaseStateMachine::left(SteadyTime now) const
{
    if (!m_held)
        return Milliseconds(0);
    auto end = m_renewedAt + scaled(m_options.duration, 1 - m_options.clockRateBound);
    return now >= end ? Milliseconds(0) : toMilliseconds(end - now);
}

} // namespace Onyxnotch
