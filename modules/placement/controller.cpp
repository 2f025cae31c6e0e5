#include "modules/placement/controller.h"

#include "core/digest.h"
#include "core/log.h"
#include "modules/declaration/configuration_store.h"
#include <algorithm>
#include <nlohmann/json.hpp>

namespace Onyxnotch {

namespace {

    constexpr std::string_view planKey = "status/plan";
    constexpr std::string_view zoneStatusPrefix = "status/zones/";
    constexpr auto planLeaseName = "plan";

    std::string leaseHolderName(const Member& member) { return member.node + "#" + std::to_string(member.incarnation); }

} // namespace

Controller::Controller(const ControllerOptions& options)
    : m_options(options)
    , m_node(options.node)
    , m_http(options.http)
    , m_planLease(m_node.objects(), planLeaseName, leaseHolderName(m_node.identity()), options.lease)
{
    addRoutes();
}

Controller::~Controller()
{
    m_http.stop();
    m_node.stop();
}

void Controller::addRoutes()
{
    using Json = nlohmann::json;
    m_http.route("GET", "/healthz", [](const HttpRequest&) { return HttpResponse { .body = R"({"alive":true})" }; });
    m_http.route("GET", "/metrics", [this](const HttpRequest&) { return HttpResponse { .contentType = "text/plain; version=0.0.4", .body = m_node.metrics().serialize() }; });
    m_http.route("GET", "/readyz", [this](const HttpRequest&) {
        auto version = m_node.replica().state()->configuration.version();
        Json body { { "ready", version > 0 }, { "configuration_version", version }, { "leases", m_heldLeases.load() } };
        return HttpResponse { .status = version > 0 ? 200 : 503, .body = body.dump() };
    });
}

Status Controller::start()
{
    BOOST_OUTCOME_TRYV(m_http.start());
    return m_node.start(m_http.address().port, {});
}

void Controller::runUntilStopped(StopSignal& signal)
{
    while (!signal.waitFor(m_options.period))
        runRound();
    logEvent(LogLevel::Info, "controller_stopping");
    m_node.membership().announceLeaving();
    m_planLease.release();
    for (auto& [name, zone] : m_zones)
        zone.lease->release();
}

bool Controller::isCandidate(const std::string& lease)
{
    auto view = m_node.membership().view();
    auto rank = [&](const Member& member) { return fastHash(member.node + "|" + lease); };
    auto own = rank(view->self);
    unsigned higherRanked = 0;
    for (const auto& it : view->usable(MemberRole::Controller))
        higherRanked += rank(it) < own ? 1 : 0;
    return higherRanked < m_options.candidatesPerLease;
}

void Controller::runRound()
{
    unsigned heldCount = 0;
    auto logFailure = [](const char* what, const Status& status) {
        if (!status)
            logEvent(LogLevel::Warning, "controller_step_failed", { { "step", what }, { "error", status.error().message } });
    };
    if (m_planLease.step(isCandidate(planLeaseName))) {
        ++heldCount;
        logFailure("plan", plan());
        logFailure("compact", compactConfiguration());
    } else {
        m_planVersion = 0;
    }
    logFailure("zones", runZones());
    for (const auto& [name, zone] : m_zones)
        heldCount += zone.isHeld ? 1 : 0;
    m_heldLeases = heldCount;
    m_node.metrics().set("onyxnotch_leases_held", heldCount);
}

std::set<Offer> Controller::recentlyRefusedOffers(const std::map<std::string, SlotStatus>& status)
{
    auto now = steadyNow();
    for (const auto& [id, it] : status) {
        bool isNew = it.state == SlotState::Refused && it.retiredAt == 0;
        if (isNew)
            m_refusedAt[it.slot.offer] = now;
    }
    std::erase_if(m_refusedAt, [&](const auto& it) { return now - it.second > m_options.refusalRetention; });
    std::set<Offer> offers;
    for (const auto& [offer, refusedAt] : m_refusedAt)
        offers.insert(offer);
    return offers;
}

Status Controller::plan()
{
    BOOST_OUTCOME_TRY(offers, m_node.cloud().offers());
    BOOST_OUTCOME_TRY(batch, m_node.objects().list(std::string(zoneStatusPrefix)));
    if (m_planVersion == 0) {
        BOOST_OUTCOME_TRY(stored, m_node.objects().get(std::string(planKey)));
        m_plan = {};
        if (stored) {
            BOOST_OUTCOME_TRY(previous, planFromJson(stored->value));
            m_plan = previous;
            m_planVersion = stored->version;
        }
    }
    PlacementInput input { .configuration = m_node.replica().state()->configuration, .offers = offers, .previous = m_plan };
    for (const auto& object : batch.objects) {
        BOOST_OUTCOME_TRY(slots, statusFromJson(object.value));
        for (const auto& it : slots)
            input.status.emplace(it.slot.id, it);
    }
    input.refusedOffers = recentlyRefusedOffers(input.status);
    // A planner with an older configuration must not overwrite a plan that was made with a newer one.
    if (input.configuration.version() < m_plan.configurationVersion || input.configuration.version() == 0)
        return success();
    auto next = planPlacement(input);
    if (next == m_plan && m_planVersion != 0)
        return success();
    if (!m_planLease.holds())
        return Error { ErrorCode::Conflict, "the lease has ended" };
    auto text = planToJson(next).dump();
    auto version = m_planVersion == 0 ? m_node.objects().create(std::string(planKey), text) : m_node.objects().update(std::string(planKey), text, m_planVersion);
    if (!version) {
        m_planVersion = 0;
        return version.error();
    }
    m_planVersion = version.value();
    m_plan = next;
    logEvent(LogLevel::Info, "plan_written", { { "slots", next.slots.size() }, { "configuration_version", next.configurationVersion } });
    return success();
}

Controller::Zone& Controller::findOrCreateZone(const std::string& name)
{
    auto it = m_zones.find(name);
    if (it != m_zones.end())
        return it->second;
    auto options = m_options.zone;
    options.zone = name;
    Zone zone {
        .lease = std::make_unique<LeaseManager>(m_node.objects(), "zone-" + name, leaseHolderName(m_node.identity()), m_options.lease),
        .controller = std::make_unique<ZoneController>(options, m_node.objects(), m_node.cloud(), m_node.membership(), m_node.metrics()),
    };
    return m_zones.emplace(name, std::move(zone)).first->second;
}

Status Controller::runZones()
{
    if (m_offers.empty()) {
        BOOST_OUTCOME_TRY(offers, m_node.cloud().offers());
        m_offers = offers;
    }
    std::set<std::string> names;
    for (const auto& it : m_offers)
        names.insert(it.zone);
    std::optional<PlacementPlan> current;
    for (const auto& name : names) {
        auto& zone = findOrCreateZone(name);
        bool isHeld = zone.lease->step(isCandidate("zone-" + name));
        if (isHeld && !zone.isHeld) {
            // A new ZoneController loads the stored status, which may have been changed by an earlier holder of the lease.
            auto options = m_options.zone;
            options.zone = name;
            zone.controller = std::make_unique<ZoneController>(options, m_node.objects(), m_node.cloud(), m_node.membership(), m_node.metrics());
        }
        zone.isHeld = isHeld;
        if (!isHeld)
            continue;
        if (!current) {
            BOOST_OUTCOME_TRY(stored, m_node.objects().get(std::string(planKey)));
            if (!stored)
                continue;
            BOOST_OUTCOME_TRY(parsed, planFromJson(stored->value));
            current = parsed;
        }
        auto result = zone.controller->reconcile(*current, *zone.lease);
        if (!result)
            logEvent(LogLevel::Warning, "controller_step_failed", { { "step", "zone " + name }, { "error", result.error().message } });
    }
    return success();
}

Status Controller::compactConfiguration()
{
    auto configuration = m_node.replica().state()->configuration;
    if (configuration.version() < m_compactedVersion + m_options.compactionInterval)
        return success();
    BOOST_OUTCOME_TRYV(ConfigurationStore(m_node.objects()).compact(configuration, m_options.retainedChanges));
    m_compactedVersion = configuration.version();
    return success();
}

} // namespace Onyxnotch
