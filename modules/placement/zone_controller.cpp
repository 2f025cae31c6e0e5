#include "modules/placement/zone_controller.h"

#include "core/log.h"
#include <algorithm>
#include <future>

namespace Onyxnotch {

namespace {

    Error leaseLostError() { return Error { ErrorCode::Conflict, "the lease has ended" }; }

} // namespace

ZoneController::ZoneController(const ZoneControllerOptions& options, const ObjectClient& objects, const CloudClient& cloud, MembershipServer& membership, Metrics& metrics)
    : m_options(options)
    , m_objects(objects)
    , m_cloud(cloud)
    , m_membership(membership)
    , m_metrics(metrics)
{
}

Status ZoneController::loadStatus()
{
    BOOST_OUTCOME_TRY(object, m_objects.get(statusKey(m_options.zone)));
    m_status.clear();
    m_statusVersion = 0;
    m_savedStatusText.clear();
    if (object) {
        BOOST_OUTCOME_TRY(status, statusFromJson(object->value));
        m_status = status;
        m_statusVersion = object->version;
        m_savedStatusText = statusToJson(m_status);
    }
    m_isStatusLoaded = true;
    return success();
}

Status ZoneController::saveStatus(const LeaseManager& lease)
{
    auto text = statusToJson(m_status);
    if (text == m_savedStatusText && m_statusVersion != 0)
        return success();
    if (!lease.holds())
        return leaseLostError();
    auto key = statusKey(m_options.zone);
    auto version = m_statusVersion == 0 ? m_objects.create(key, text) : m_objects.update(key, text, m_statusVersion);
    if (!version) {
        // The write failed, its answer was lost, or another controller wrote first: load the stored status in the next round.
        m_isStatusLoaded = false;
        return version.error();
    }
    m_statusVersion = version.value();
    m_savedStatusText = text;
    return success();
}

std::vector<SlotStatus*> ZoneController::slotsInState(SlotState state)
{
    std::vector<SlotStatus*> found;
    for (auto& it : m_status) {
        if (it.state == state)
            found.push_back(&it);
    }
    return found;
}

void ZoneController::runParallel(const std::vector<SlotStatus*>& slots, const std::function<void(SlotStatus&)>& work) const
{
    for (std::size_t begin = 0; begin < slots.size(); begin += m_options.parallelism) {
        auto end = std::min(slots.size(), begin + m_options.parallelism);
        std::vector<std::future<void>> running;
        for (auto n = begin; n < end; ++n)
            running.push_back(std::async(std::launch::async, [&work, slot = slots[n]] { work(*slot); }));
        for (auto& it : running)
            it.wait();
    }
}

Status ZoneController::reconcile(const PlacementPlan& plan, const LeaseManager& lease)
{
    if (!m_isStatusLoaded) {
        BOOST_OUTCOME_TRYV(loadStatus());
    }
    applyPlan(plan);
    applyDrainMarks();
    // Stores the intended slots before any instance is requested from the cloud.
    BOOST_OUTCOME_TRYV(saveStatus(lease));
    BOOST_OUTCOME_TRYV(publishEndpoints(lease));
    if (startIntendedSlots(lease)) {
        BOOST_OUTCOME_TRYV(saveStatus(lease));
    }
    if (loadStartedSlots(lease)) {
        BOOST_OUTCOME_TRYV(saveStatus(lease));
    }
    BOOST_OUTCOME_TRYV(publishEndpoints(lease));
    BOOST_OUTCOME_TRYV(removeEndedSlots(lease));
    return saveStatus(lease);
}

bool ZoneController::applyPlan(const PlacementPlan& plan)
{
    bool hasChanged = false;
    auto isPlanned = [&](const std::string& id) { return std::any_of(plan.slots.begin(), plan.slots.end(), [&](const PlannedSlot& it) { return it.id == id; }); };
    for (const auto& it : plan.slots) {
        bool isKnown = std::any_of(m_status.begin(), m_status.end(), [&](const SlotStatus& status) { return status.slot.id == it.id; });
        if (it.offer.zone != m_options.zone || isKnown || m_status.size() >= m_options.maximumSlots)
            continue;
        m_status.push_back({ .slot = it, .state = SlotState::Intended });
        hasChanged = true;
    }
    for (auto& it : m_status) {
        if (isPlanned(it.slot.id) || it.retiredAt != 0)
            continue;
        it.state = it.instance.empty() ? SlotState::Refused : SlotState::Leaving;
        it.retiredAt = wallMilliseconds();
        if (!it.instance.empty())
            m_membership.announceMark({ .endpoint = it.instance, .deadlineWallMilliseconds = it.retiredAt + static_cast<std::uint64_t>(m_options.retirementDrainTime.count()), .source = LeavingSource::Operator });
        logEvent(LogLevel::Info, "slot_retired", { { "slot", it.slot.id }, { "endpoint", it.instance } });
        hasChanged = true;
    }
    return hasChanged;
}

bool ZoneController::applyDrainMarks()
{
    bool hasChanged = false;
    auto view = m_membership.view();
    for (auto& it : m_status) {
        if (it.instance.empty() || it.state == SlotState::Leaving || !view->marks.contains(it.instance))
            continue;
        it.state = SlotState::Leaving;
        logEvent(LogLevel::Info, "slot_leaving", { { "slot", it.slot.id }, { "endpoint", it.instance } });
        hasChanged = true;
    }
    return hasChanged;
}

bool ZoneController::startIntendedSlots(const LeaseManager& lease)
{
    auto slots = slotsInState(SlotState::Intended);
    if (slots.empty() || !lease.holds())
        return false;
    runParallel(slots, [this](SlotStatus& status) {
        auto instance = m_cloud.start(status.slot.offer, m_options.tokenPrefix + status.slot.id);
        if (instance) {
            status.state = SlotState::Started;
            status.instance = instance.value().id;
            status.address = instance.value().address;
        } else if (instance.error().code == ErrorCode::Exhausted) {
            status.state = SlotState::Refused;
        }
        // After any other error the slot stays intended; the next round repeats the call with the same client token.
        logEvent(LogLevel::Info, "instance_ordered", { { "slot", status.slot.id }, { "state", toString(status.state) }, { "endpoint", status.instance } });
    });
    m_metrics.increment("onyxnotch_cloud_starts_total", { { "zone", m_options.zone } }, static_cast<double>(slots.size()));
    return true;
}

bool ZoneController::maySendLoadOrder(const SlotStatus& status, const LeaseManager& lease) const
{
    if (status.slot.checksFences)
        return lease.holds();
    // This engine executes orders of any sender. Orders of the previous lease holder may still be running until `orderTimeout` after the
    // acquisition, and a new order must end before this lease does.
    bool earlierOrdersEnded = lease.fence() == 1 || steadyNow() - lease.acquiredAt() >= m_options.orderTimeout;
    return earlierOrdersEnded && lease.left() > m_options.orderTimeout;
}

bool ZoneController::loadStartedSlots(const LeaseManager& lease)
{
    auto slots = slotsInState(SlotState::Started);
    std::erase_if(slots, [&](const SlotStatus* it) { return !maySendLoadOrder(*it, lease); });
    if (slots.empty())
        return false;
    auto fence = lease.fence();
    runParallel(slots, [&, this](SlotStatus& status) {
        EngineOrder order { .orderId = status.slot.id, .fence = fence, .model = status.slot.model, .weights = status.slot.weights, .adapters = status.slot.adapters };
        auto result = EngineClient(status.address).order(order, m_options.orderTimeout);
        if (result)
            status.state = SlotState::Loaded;
        logEvent(result ? LogLevel::Info : LogLevel::Warning, "load_ordered",
            { { "slot", status.slot.id }, { "endpoint", status.instance }, { "model", status.slot.model }, { "fence", fence }, { "result", result ? std::string("loaded") : result.error().message } });
    });
    return true;
}

Status ZoneController::publishEndpoints(const LeaseManager& lease)
{
    std::vector<Endpoint> endpoints;
    for (const auto& it : m_status) {
        if (it.state != SlotState::Loaded && it.state != SlotState::Started)
            continue;
        endpoints.push_back({
            .id = it.instance,
            .address = it.address,
            .zone = it.slot.offer.zone,
            .machineClass = it.slot.offer.machineClass,
            .market = it.slot.offer.market,
            .pricePerHour = it.slot.offer.pricePerHour,
            .model = it.state == SlotState::Loaded ? it.slot.model : std::string(),
            .adapters = it.slot.adapters,
        });
    }
    auto text = encodeEndpoints(endpoints);
    auto key = endpointsKey(m_options.zone);
    if (!m_isPublishedLoaded) {
        BOOST_OUTCOME_TRY(object, m_objects.get(key));
        m_publishedVersion = object ? object->version : 0;
        m_publishedText.clear();
        auto stored = object ? decodeEndpoints(object->value) : Result<std::vector<Endpoint>>(std::vector<Endpoint>());
        if (object && stored)
            m_publishedText = encodeEndpoints(stored.value());
        m_isPublishedLoaded = true;
    }
    if (text == m_publishedText || (endpoints.empty() && m_publishedVersion == 0))
        return success();
    if (!lease.holds())
        return leaseLostError();
    auto version = m_publishedVersion == 0 ? m_objects.create(key, text) : m_objects.update(key, text, m_publishedVersion);
    if (!version) {
        m_isPublishedLoaded = false;
        return version.error();
    }
    m_publishedVersion = version.value();
    m_publishedText = text;
    return success();
}

Status ZoneController::removeEndedSlots(const LeaseManager& lease)
{
    BOOST_OUTCOME_TRY(instances, m_cloud.instances());
    auto exists = [&](const std::string& id) { return std::any_of(instances.begin(), instances.end(), [&](const CloudInstance& it) { return it.id == id; }); };
    auto now = wallMilliseconds();
    for (auto& it : m_status) {
        bool isDrainTimeOver = it.retiredAt != 0 && now - it.retiredAt >= static_cast<std::uint64_t>(m_options.retirementDrainTime.count());
        if (it.state == SlotState::Leaving && isDrainTimeOver && exists(it.instance) && lease.left() >= m_options.terminationTimeout)
            (void)m_cloud.terminate(it.instance);
        // The instance ended without a reclaim notice.
        if ((it.state == SlotState::Loaded || it.state == SlotState::Started) && !exists(it.instance)) {
            it.state = SlotState::Leaving;
            m_membership.announceMark({ .endpoint = it.instance, .deadlineWallMilliseconds = now, .source = LeavingSource::InstanceList });
        }
    }
    std::erase_if(m_status, [&](const SlotStatus& it) {
        bool hasEnded = it.state == SlotState::Leaving && !exists(it.instance);
        return it.retiredAt != 0 && (hasEnded || it.instance.empty());
    });
    return terminateLeakedInstances(instances, lease);
}

Status ZoneController::terminateLeakedInstances(const std::vector<CloudInstance>& instances, const LeaseManager& lease)
{
    for (const auto& it : instances) {
        bool isManaged = it.zone == m_options.zone && it.clientToken.rfind(m_options.tokenPrefix, 0) == 0;
        bool isKnown = std::any_of(m_status.begin(), m_status.end(), [&](const SlotStatus& status) { return m_options.tokenPrefix + status.slot.id == it.clientToken; });
        if (!isManaged || isKnown)
            continue;
        // The cloud doesn't check fences: only enough remaining lease time ensures that no other controller has ordered this instance.
        if (lease.left() < m_options.terminationTimeout)
            return leaseLostError();
        logEvent(LogLevel::Warning, "leaked_instance_ended", { { "endpoint", it.id }, { "token", it.clientToken } });
        BOOST_OUTCOME_TRYV(m_cloud.terminate(it.id));
    }
    return success();
}

} // namespace Onyxnotch
