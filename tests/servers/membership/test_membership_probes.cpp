#include "servers/membership/membership_server.h"
#include "tests/property.h"
#include <algorithm>
#include <chrono>
#include <future>
#include <mutex>

using namespace Onyxnotch;

namespace {

// Simulates all other nodes by a single datagram socket.
class OtherNodes {
public:
    OtherNodes()
        : m_socket("127.0.0.1", 0, [this](const Frame& frame) { receive(frame); })
    {
        BOOST_REQUIRE(m_socket.start());
    }

    Member member(const std::string& node, MemberState state = MemberState::Alive) const
    {
        return { .node = node, .incarnation = 1, .state = state, .host = "127.0.0.1", .gossipPort = m_socket.address().port };
    }

    // Sends a probe as `sender` that carries `updates`, and returns the members that the acknowledgement carries.
    std::vector<Member> probe(const Address& target, const Member& sender, const std::vector<Member>& updates)
    {
        auto sequence = ++m_sequence;
        std::future<GossipMessage> answer;
        {
            std::lock_guard lock(m_mutex);
            m_answer = std::promise<GossipMessage>();
            answer = m_answer->get_future();
        }
        m_socket.send(target, packMessage(MessageType::Gossip, GossipMessage { .sequence = sequence, .acknowledgementWanted = true, .sender = sender, .members = updates }));
        BOOST_REQUIRE(answer.wait_for(std::chrono::seconds(10)) == std::future_status::ready);
        return answer.get().members;
    }

private:
    void receive(const Frame& frame)
    {
        auto message = unpackMessage<GossipMessage>(MessageType::GossipAcknowledgement, frame);
        std::lock_guard lock(m_mutex);
        if (!message || !m_answer)
            return;
        m_answer->set_value(message.value());
        m_answer.reset();
    }

    std::mutex m_mutex;
    std::optional<std::promise<GossipMessage>> m_answer;
    std::uint64_t m_sequence { 0 };
    DatagramSocket m_socket;
};

bool reportsDead(const std::vector<Member>& members, const std::string& node)
{
    return std::any_of(members.begin(), members.end(), [&](const Member& it) { return it.node == node && it.state == MemberState::Dead; });
}

} // namespace

BOOST_AUTO_TEST_SUITE(MembershipProbes)

// A node was unreachable until the update about its death had been sent as often as updates are sent. When the node is reachable again,
// the acknowledgement of its probe must still report it as dead, since otherwise it could never refute that.
BOOST_AUTO_TEST_CASE(a_reachable_node_learns_that_it_is_dead_after_the_update_was_dropped)
{
    TimerService timers;
    Metrics metrics;
    MembershipServer server({ .self = { .node = "self", .incarnation = 1, .host = "127.0.0.1" }, .listenHost = "127.0.0.1" },
        { .versions = [] { return std::vector<DocumentVersion> {}; }, .updatesSince = [](const auto&) { return std::vector<DocumentUpdate> {}; }, .apply = [](const auto&) { return false; } }, timers, metrics);
    BOOST_REQUIRE(server.start());
    OtherNodes others;
    auto address = server.listenAddress();
    others.probe(address, others.member("teller"), { others.member("home", MemberState::Dead) });
    constexpr unsigned maximumProbes = 64;
    bool isReported = true;
    for (unsigned n = 0; n < maximumProbes && isReported; ++n)
        isReported = reportsDead(others.probe(address, others.member("teller"), {}), "home");
    BOOST_REQUIRE(!isReported);
    BOOST_CHECK(reportsDead(others.probe(address, others.member("home"), {}), "home"));
    // The node refutes its death with a higher revision, so it is no longer reported as dead.
    auto alive = others.member("home");
    alive.revision = 1;
    BOOST_CHECK(!reportsDead(others.probe(address, alive, {}), "home"));
    BOOST_CHECK(server.view()->find("home")->state == MemberState::Alive);
    server.stop();
}

BOOST_AUTO_TEST_SUITE_END()
