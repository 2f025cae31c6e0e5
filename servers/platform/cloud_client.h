// Blocking HTTP client of the platform's cloud API (offers, instances, reclaim notices) and of its instance list, which lags behind.
#pragma once

#include "core/clock.h"
#include "core/net/address.h"
#include <cstdint>
#include <string>
#include <vector>

namespace Onyxnotch {

// Purchase model of an instance.
enum class Market {
    Reclaimable, // The cloud may terminate it at short notice (spot).
    OnDemand,
};

std::string toString(Market);

// An instance type that the cloud offers: a machine class in a zone, with its price per hour.
struct Offer {
    std::string zone {};
    std::string machineClass {};
    Market market { Market::OnDemand };
    double pricePerHour { 0 };

    auto operator<=>(const Offer&) const = default;
};

// An instance as the cloud API reports it.
struct CloudInstance {
    std::string id {};
    std::string clientToken {}; // Idempotency token of the start call: a repeated start with the same token returns the same instance.
    std::string zone {};
    std::string machineClass {};
    Market market { Market::OnDemand };
    Address address {};
    bool running { false };

    bool operator==(const CloudInstance&) const = default;
};

// Notice that the cloud will terminate a reclaimable instance.
struct ReclaimNotice {
    std::uint64_t sequence { 0 }; // Rises with each notice; see CloudClient::notices().
    std::string instance {};
    Milliseconds timeLeft { 0 }; // From the arrival of the response that carried the notice to the termination.

    bool operator==(const ReclaimNotice&) const = default;
};

// An entry of the instance list.
struct ListedInstance {
    std::string id {};
    bool leaving { false };

    bool operator==(const ListedInstance&) const = default;
};

// Errors of every call: Unavailable (not executed), Ambiguous (may have been executed), Exhausted (the cloud has no capacity for a start).
class CloudClient {
public:
    CloudClient(const Address& cloud, const Address& instanceList);

    Result<std::vector<Offer>> offers() const;
    Result<CloudInstance> start(const Offer&, const std::string& clientToken) const;
    Result<std::vector<CloudInstance>> instances() const;
    Status terminate(const std::string& instance) const;
    // Long poll: waits up to `wait` for notices with a sequence number above `after`.
    Result<std::vector<ReclaimNotice>> notices(std::uint64_t after, Milliseconds wait) const;
    // Returns the instance list. It lags behind: only an explicit "leaving" state counts; a missing instance does not mean that it leaves.
    Result<std::vector<ListedInstance>> listedInstances() const;

private:
    Address m_cloud {};
    Address m_instanceList {};
};

} // namespace Onyxnotch
