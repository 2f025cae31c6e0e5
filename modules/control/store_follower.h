// Maintains a copy of all objects of one kind in the platform's store: lists them once, then watches for changes, and lists them again if
// the store no longer has the history of changes. Passes the objects to a callback after each change.
#pragma once

#include "core/log.h"
#include "core/wakeup.h"
#include "modules/control/object_store.h"
#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <random>

namespace Onyxnotch {

struct StoreFollowerOptions {
    // Longest time that a watch call waits for changes. Long waits save calls, which have a cost. But if the store loses its response, the
    // call ends only by timeout, since the connection's keep-alive probes are still answered. With the margin that the store client adds, a
    // change is then noticed in less than three seconds, after which all nodes are assumed to have received it.
    Milliseconds maxWatchWait { 2000 };
    // Wait of the first watch call after a failure, doubled with each call that succeeds, up to `maxWatchWait`. Short, because a store that
    // accepts connections but never responds is detected only when this time is over.
    Milliseconds initialWatchWait { 500 };
    // A watch that ends within this time may return changes from before it; a later response follows its first change at once.
    Milliseconds promptResponseTime { 250 };
    Milliseconds initialRetryDelay { 100 }; // Before retrying after a failure or a watch that was cut; doubled with each failure.
    Milliseconds maxRetryDelay { 500 }; // Upper bound of the delay, and so of the time until the end of a store outage is noticed.
    // Before the next watch call, so that a burst of changes needs one call only; no change is needed sooner.
    Milliseconds pauseAfterChange { 100 };
    // The same two times at a node that only replaces another watcher, should that one fail (setIsReplacement()). Calls of several watchers
    // for the same changes buy nothing while the first one works.
    Milliseconds replacementPause { 1000 };
    Milliseconds replacementWatchWait { 6000 };
    Milliseconds undecidedPollInterval { 50 }; // Between checks of the condition set by setFollowCondition() until it is decided.
    Milliseconds idlePollInterval { 1000 }; // Between checks of the condition set by setFollowCondition() while that returns false.
};

class StoreFollower {
public:
    // Called with all current objects, by name, after each change. `listed` is true if they were listed anew, so that intermediate changes
    // may have been missed, and false if they come from a watch.
    using Receiver = std::function<void(const std::map<std::string, StoreObject>& objects, bool listed)>;

    StoreFollower(asio::io_context&, ObjectStore&, StoreKind, Receiver, const StoreFollowerOptions& options = {});

    // While `wanted` returns false, the store is not watched after the first list, since other nodes send the changes. While it returns
    // nothing, that is not decided yet, and the watch waits. Must be called before run().
    void setFollowCondition(std::function<std::optional<bool>()> wanted) { m_isWanted = std::move(wanted); }
    // `isReplacement` returns whether another node watches the store and is used before this one. Must be called before run().
    void setIsReplacement(std::function<bool()> isReplacement) { m_isReplacement = std::move(isReplacement); }
    // Checks the condition again at once. On the thread of the io_context only.
    void onConditionChanged() { m_idle.notify(); }
    // `factor` returns the factor by which `maxRetryDelay` is multiplied. Must be called before run().
    void setPauseFactor(std::function<double()> factor) { m_pauseFactor = std::move(factor); }
    // Lets the first list be some seconds old. It is passed on, but not watched from: a node that watches lists the objects again. Must be
    // called before run().
    void acceptOldFirstList() { m_firstListFreshness = ReadFreshness::MayBeOld; }
    // Runs until the process ends.
    asio::awaitable<void> run();
    // When the store last failed to respond to a call; SteadyTime {} if it never did. A watch that the store ended early is not a failure
    // if the store responds to the next call.
    SteadyTime lastFailure() const { return m_lastFailure; }
    // When the store last responded to a call; SteadyTime {} if it never did.
    SteadyTime lastResponse() const { return m_lastResponse; }
    // The changes that the last watch returned were made after this time.
    SteadyTime changesSince() const { return m_changesSince; }
    // Whether the store ended the last watch early and has not responded to a call since: it may be available or not.
    bool availabilityUnknown() const { return m_wasWatchCut; }
    bool connected() const { return m_isConnected; }
    // Store revision as of the last change.
    std::uint64_t revision() const { return m_revision; }

private:
    asio::awaitable<bool> list(ReadFreshness);
    asio::awaitable<bool> watch();
    asio::awaitable<void> waitBeforeRetry();
    asio::awaitable<void> waitWhileIdle();
    void updateConnection(const Error*);
    asio::awaitable<Result<StoreObjects>> watchOnce();
    void logUnnamed(const StoreObjects&);

    asio::io_context& m_context;
    ObjectStore& m_store;
    StoreKind m_kind;
    Receiver m_receiver;
    std::function<std::optional<bool>()> m_isWanted {};
    std::function<double()> m_pauseFactor {};
    std::function<bool()> m_isReplacement {};
    StoreFollowerOptions m_options;
    ReadFreshness m_firstListFreshness { ReadFreshness::Latest };
    std::map<std::string, StoreObject> m_objects {};
    std::uint64_t m_revision { 0 };
    bool m_hasListed { false };
    bool m_isConnected { false };
    bool m_hasEverConnected { false };
    bool m_wasWatchCut { false }; // The store ended the last call, which was a watch, before it responded.
    SteadyTime m_lastFailure {};
    SteadyTime m_lastResponse {};
    SteadyTime m_changesSince {};
    Wakeup m_idle;
    Milliseconds m_nextRetryDelay;
    Milliseconds m_nextWatchWait;
    // Lines per second; limited because another client of the store may keep writing objects without a readable name.
    LogRateLimiter m_unnamedLogBudget { 1 };
    LogRateLimiter m_failureLogBudget { 1 }; // Lines per second; calls are repeated several times a second while the store is away.
    LogRateLimiter m_cutLogBudget { 1 }; // Lines per second; the store may cut each watch.
    std::minstd_rand m_random { std::random_device {}() };
};

} // namespace Onyxnotch
