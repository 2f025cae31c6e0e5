#include "modules/placement/lease_manager.h"

#include "core/log.h"

namespace Onyxnotch {

LeaseManager::LeaseManager(const ObjectClient& objects, const std::string& name, std::string self, const LeaseOptions& options)
    : m_objects(objects)
    , m_key("leases/" + name)
    , m_options(options)
    , m_machine(std::move(self), options)
{
}

bool LeaseManager::step(bool mayAcquire)
{
    std::lock_guard lock(m_mutex);
    auto now = steadyNow();
    auto leaseWrite = m_isObserved ? m_machine.next(now) : std::nullopt;
    bool isRenewal = leaseWrite && m_machine.holds(now);
    if (leaseWrite && (isRenewal || mayAcquire))
        write(*leaseWrite);
    else if (!m_isObserved || (!m_machine.holds(now) && now >= m_nextReadAt))
        read();
    return m_machine.holds(steadyNow());
}

void LeaseManager::read()
{
    auto sentAt = steadyNow();
    m_nextReadAt = sentAt + m_options.renewEvery / 3;
    auto object = m_objects.get(m_key);
    if (!object)
        return;
    std::optional<LeaseRecord> record;
    std::uint64_t version = 0;
    if (object.value()) {
        auto parsed = leaseFromJson(object.value()->value);
        if (!parsed)
            return;
        record = parsed.value();
        version = object.value()->version;
    }
    m_machine.observe(record, version, sentAt, steadyNow());
    m_isObserved = true;
}

void LeaseManager::write(const LeaseWrite& leaseWrite)
{
    auto heldBefore = m_machine.holds(steadyNow());
    auto sentAt = steadyNow();
    auto text = leaseToJson(leaseWrite.record);
    auto version = leaseWrite.kind == LeaseWriteKind::Create ? m_objects.create(m_key, text) : m_objects.update(m_key, text, leaseWrite.version);
    if (!version) {
        m_machine.forget();
        m_isObserved = false;
        return;
    }
    m_machine.written(leaseWrite, version.value(), sentAt);
    if (!heldBefore)
        logEvent(LogLevel::Info, "lease_taken", { { "lease", m_key }, { "fence", leaseWrite.record.fence } });
}

void LeaseManager::release()
{
    std::lock_guard lock(m_mutex);
    if (!m_machine.holds(steadyNow()))
        return;
    auto object = m_objects.get(m_key);
    if (!object || !object.value())
        return;
    auto record = leaseFromJson(object.value()->value);
    if (!record || record.value().fence != m_machine.fence())
        return;
    LeaseWrite leaseWrite { .kind = LeaseWriteKind::Update, .version = object.value()->version, .record = { .holder = {}, .fence = record.value().fence, .renewals = 0 } };
    write(leaseWrite);
}

bool LeaseManager::holds() const
{
    std::lock_guard lock(m_mutex);
    return m_machine.holds(steadyNow());
}

Milliseconds LeaseManager::left() const
{
    std::lock_guard lock(m_mutex);
    return m_machine.left(steadyNow());
}

std::uint64_t LeaseManager::fence() const
{
    std::lock_guard lock(m_mutex);
    return m_machine.fence();
}

SteadyTime LeaseManager::acquiredAt() const
{
    std::lock_guard lock(m_mutex);
    return m_machine.acquiredAt();
}

} // namespace Onyxnotch
