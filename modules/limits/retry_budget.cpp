#include "modules/limits/retry_budget.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Onyxnotch {

SharedRetryBudget::SharedRetryBudget(const SharedRetryBudgetOptions& options)
    : m_options(options)
    , m_random(options.randomSeed)
{
}

void SharedRetryBudget::onRequest(const std::string& service, SteadyTime now)
{
    auto& account = update(service, now);
    ++account.use.requests;
    account.earned += m_options.perRequest * m_options.usedShare;
}

bool SharedRetryBudget::take(const std::string& service, SteadyTime now)
{
    auto& account = update(service, now);
    bool isDrawn = account.remaining() < 1 && mostSaved() < 1;
    bool isAllowed = isDrawn ? draw(account.remaining()) : account.remaining() >= 1;
    ++(isAllowed ? account.use.retries : account.use.refusedRetries);
    if (isAllowed || isDrawn)
        account.spend();
    return isAllowed;
}

double SharedRetryBudget::remaining(const std::string& service) const
{
    auto it = m_accounts.find(service);
    return it == m_accounts.end() ? 0 : it->second.remaining();
}

std::map<std::string, RetryBudgetUse> SharedRetryBudget::takeUses()
{
    std::map<std::string, RetryBudgetUse> uses;
    for (auto& [service, account] : m_accounts)
        uses[service] = std::exchange(account.use, {});
    return uses;
}

void SharedRetryBudget::Account::spend()
{
    auto fromEarned = std::min(earned, 1.0);
    earned -= fromEarned;
    saved = std::max(0.0, saved - (1 - fromEarned));
}

double SharedRetryBudget::mostSaved() const
{
    return m_nodes ? partOfReserve(m_options.savedShare) : std::min(1.0, m_options.reserve * m_options.savedShare);
}

// A node that can only take whole retries has a whole one or none, so that the average is right.
double SharedRetryBudget::startAmount()
{
    auto amount = partOfReserve(m_options.startShare);
    if (amount >= 1 || mostSaved() < 1)
        return amount;
    return draw(amount) ? 1 : 0;
}

SharedRetryBudget::Account& SharedRetryBudget::update(const std::string& service, SteadyTime now)
{
    auto [it, isNew] = m_accounts.try_emplace(service);
    auto& account = it->second;
    if (isNew)
        account.updatedAt = now;
    if (m_nodes && !std::exchange(account.hasStartShare, true))
        account.saved += startAmount();
    std::chrono::duration<double> elapsed = now - std::exchange(account.updatedAt, now);
    auto refill = partOfReserve(m_options.refillShare) * (elapsed / m_options.window);
    auto stillEarned = account.earned * std::exp(-(elapsed / m_options.earnedFor));
    account.saved = std::min(account.saved + account.earned - stillEarned + refill, mostSaved());
    account.earned = stillEarned;
    return account;
}

} // namespace Onyxnotch
