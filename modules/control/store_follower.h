// Follows a kind of objects in the store: lists it, watches for changes, and starts over where the history is gone.
#pragma once

#include "core/log.h"
#include "modules/control/object_store.h"
#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <random>

namespace Onyxnotch {

struct StoreFollowerOptions {
    // A call is priced, so it waits; but a store that lost its answer says nothing more on that connection, whose probes go on being
    // answered. With the margin that the store's client adds, a change is missed for less than the three seconds after which nodes are
    // held to have heard it.
    Milliseconds watchWait { 2000 };
    // The first watch after a failure, doubled with each that is answered, up to watchWait: a store that takes connections and says
    // nothing shows only by this time being over.
    Milliseconds firstWait { 500 };
    Milliseconds firstPause { 100 }; // After a failure, doubled each time, up to
    Milliseconds longestPause { 500 }; // which bounds how late the store's return is noticed.
    Milliseconds afterChange { 100 }; // Until the next watch: a burst of changes costs one call, and none of them is needed sooner.
    Milliseconds idleStep { 200 }; // How often a follower that is not wanted looks whether it is.
};

class StoreFollower {
public:
    // The objects as of now, by name. Called after each change; `listed` after a list, which may lack what a watch would have told.
    using Receiver = std::function<void(const std::map<std::string, StoreObject>& objects, bool listed)>;

    StoreFollower(asio::io_context&, ObjectStore&, StoreKind, Receiver, const StoreFollowerOptions& options = {});

    // While it answers no, other nodes tell what the store says. Set it before run().
    void setWanted(std::function<bool()> wanted) { m_wanted = std::move(wanted); }
    // By which the longest pause after failures is longer. Set it before run().
    void setPauseFactor(std::function<double()> factor) { m_pauseFactor = std::move(factor); }
    // Runs until the process ends.
    asio::awaitable<void> run();
    // When the last call failed, and when the first one after it succeeded.
    SteadyTime lastFailure() const { return m_lastFailure; }
    bool connected() const { return m_connected; }
    // Of the store, as of the last change.
    std::uint64_t revision() const { return m_revision; }

private:
    asio::awaitable<bool> list();
    asio::awaitable<bool> watch();
    asio::awaitable<void> pause();
    asio::awaitable<void> idle();
    void noteResult(const Error*);
    void noteUnnamed(const StoreObjects&);

    asio::io_context& m_context;
    ObjectStore& m_store;
    StoreKind m_kind;
    Receiver m_receiver;
    std::function<bool()> m_wanted {};
    std::function<double()> m_pauseFactor {};
    StoreFollowerOptions m_options;
    std::map<std::string, StoreObject> m_objects {};
    std::uint64_t m_revision { 0 };
    bool m_listed { false };
    bool m_connected { false };
    bool m_everConnected { false };
    SteadyTime m_lastFailure {};
    Milliseconds m_nextPause;
    Milliseconds m_nextWait;
    LogBudget m_unnamedLines { 1 }; // A second: another writer may go on writing them.
    std::minstd_rand m_random { std::random_device {}() };
};

} // namespace Onyxnotch
