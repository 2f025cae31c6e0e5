// Adapter of the platform's cloud API (instances and notices) and of its lagging instance list.
#pragma once

#include "core/clock.h"
#include "core/net/address.h"
#include <cstdint>
#include <string>
#include <vector>

namespace Onyxnotch {

// How an instance is paid for.
enum class Market {
    Reclaimable,
    OnDemand,
};

std::string toString(Market);

// Something that the cloud sells: a machine class in a zone, at a price an hour.
struct Offer {
    std::string zone {};
    std::string machineClass {};
    Market market { Market::OnDemand };
    double pricePerHour { 0 };

    auto operator<=>(const Offer&) const = default;
};

// An instance as the cloud knows it.
struct CloudInstance {
    std::string id {};
    std::string clientToken {}; // What the order carried; ordering again with it returns the same instance.
    std::string zone {};
    std::string machineClass {};
    Market market { Market::OnDemand };
    Address address {};
    bool running { false };

    bool operator==(const CloudInstance&) const = default;
};

// The cloud will take this instance back.
struct ReclaimNotice {
    std::uint64_t sequence { 0 };
    std::string instance {};
    Milliseconds timeLeft { 0 }; // Counted from the answer that carried it.

    bool operator==(const ReclaimNotice&) const = default;
};

struct ListedInstance {
    std::string id {};
    bool leaving { false };

    bool operator==(const ListedInstance&) const = default;
};

// Errors: Unavailable, Ambiguous, and Exhausted where the cloud has no capacity for a start.
class CloudClient {
public:
    CloudClient(const Address& cloud, const Address& instanceList);

    Result<std::vector<Offer>> offers() const;
    Result<CloudInstance> start(const Offer&, const std::string& clientToken) const;
    Result<std::vector<CloudInstance>> instances() const;
    Status terminate(const std::string& instance) const;
    // Waits up to `wait` for notices with a sequence over `after`.
    Result<std::vector<ReclaimNotice>> notices(std::uint64_t after, Milliseconds wait) const;
    // The instance list: late, and to be read as "leaving" only where it says so.
    Result<std::vector<ListedInstance>> listedInstances() const;

private:
    Address m_cloud {};
    Address m_instanceList {};
};

} // namespace Onyxnotch
