#include "servers/membership/membership_server.h"
#include "tests/property.h"
#include <algorithm>
#include <chrono>
#include <future>
#include <mutex>

using namespace Onyxnotch;

namespace {

// Other nodes, as their datagrams show them: one socket speaks for all of them.
class OtherNodes {
public:
    OtherNodes()
        : m_socket("127.0.0.1", 0, [this](const Frame& frame) { take(frame); })
    {
        BOOST_REQUIRE(m_socket.start());
    }

    Member member(const std::string& node, MemberState state = MemberState::Alive) const
    {
        return { .node = node, .incarnation = 1, .state = state, .host = "127.0.0.1", .gossipPort = m_socket.address().port };
    }

    // Sends a probe from that node with some news, and returns what the acknowledgement tells of members.
    std::vector<Member> probe(const Address& target, const Member& sender, const std::vector<Member>& news)
    {
        auto sequence = ++m_sequence;
        std::future<GossipMessage> answer;
        {
            std::lock_guard lock(m_mutex);
            m_answer = std::promise<GossipMessage>();
            answer = m_answer->get_future();
        }
        m_socket.send(target, packMessage(MessageType::Gossip, GossipMessage { .sequence = sequence, .acknowledgementWanted = true, .sender = sender, .members = news }));
        BOOST_REQUIRE(answer.wait_for(std::chrono::seconds(10)) == std::future_status::ready);
        return answer.get().members;
    }

private:
    void take(const Frame& frame)
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

bool tellsDead(const std::vector<Member>& members, const std::string& node)
{
    return std::any_of(members.begin(), members.end(), [&](const Member& it) { return it.node == node && it.state == MemberState::Dead; });
}

} // namespace

BOOST_AUTO_TEST_SUITE(MembershipProbes)

// A cut that let nothing through to the node for longer than its death was news: nobody else would ever tell it.
BOOST_AUTO_TEST_CASE(a_node_that_is_taken_for_dead_is_told_so_when_the_news_is_old)
{
    TimerService timers;
    Metrics metrics;
    MembershipServer server({ .self = { .node = "self", .incarnation = 1, .host = "127.0.0.1" }, .listenHost = "127.0.0.1" },
        { .versions = [] { return std::vector<DocumentVersion> {}; }, .updatesSince = [](const auto&) { return std::vector<DocumentUpdate> {}; }, .apply = [](const auto&) { return false; } }, timers, metrics);
    BOOST_REQUIRE(server.start());
    OtherNodes others;
    auto address = server.listenAddress();
    others.probe(address, others.member("teller"), { others.member("home", MemberState::Dead) });
    constexpr unsigned manySends = 64;
    bool isNews = true;
    for (unsigned n = 0; n < manySends && isNews; ++n)
        isNews = tellsDead(others.probe(address, others.member("teller"), {}), "home");
    BOOST_REQUIRE(!isNews);
    BOOST_CHECK(tellsDead(others.probe(address, others.member("home"), {}), "home"));
    // It says that it lives, with a later revision: then there is nothing more to tell.
    auto alive = others.member("home");
    alive.revision = 1;
    BOOST_CHECK(!tellsDead(others.probe(address, alive, {}), "home"));
    BOOST_CHECK(server.view()->find("home")->state == MemberState::Alive);
    server.stop();
}

BOOST_AUTO_TEST_SUITE_END()
