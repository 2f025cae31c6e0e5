#include "modules/node/node.h"

#include "core/digest.h"
#include "core/log.h"

namespace Onyxnotch {

namespace {

    Member identityOf(const NodeOptions& options)
    {
        return Member {
            .node = options.instance + (options.role == MemberRole::Gateway ? ".gateway" : ".controller"),
            // Must be higher after a restart; holds as long as the instance's clock doesn't go back across the restart.
            .incarnation = wallMilliseconds(),
            .role = options.role,
            .region = options.region,
            .zone = options.zone,
            .host = options.advertisedHost.empty() ? options.host : options.advertisedHost,
            .peerPort = options.advertisedPeerPort,
            .gossipPort = options.advertisedGossipPort,
        };
    }

    MembershipOptions membershipOptionsOf(const NodeOptions& options, const Member& identity)
    {
        auto membership = options.membership;
        membership.self = identity;
        membership.seeds = options.seeds;
        membership.listenHost = options.host;
        membership.listenPort = options.gossipPort;
        return membership;
    }

} // namespace

Node::Node(const NodeOptions& options)
    : m_options(options)
    , m_identity(identityOf(options))
    , m_objects({ .address = options.platform.objects })
    , m_cloud(options.platform.cloud, options.platform.instanceList)
    , m_membership(membershipOptionsOf(options, m_identity), m_replica.hooks(), m_timers, m_metrics)
    , m_watcher(options.watcher, m_objects, m_cloud, m_replica, m_membership, m_metrics)
    , m_peers({ .host = options.host, .port = options.peerPort, .maximumConnections = options.maximumPeerConnections }, [this](const Frame& frame) { return handlePeerFrame(frame); })
{
}

Node::~Node() { stop(); }

Status Node::start(std::uint16_t httpPort, PeerHandler handler)
{
    m_handler = std::move(handler);
    BOOST_OUTCOME_TRYV(m_peers.start());
    BOOST_OUTCOME_TRYV(m_membership.start());
    auto peerPort = m_options.advertisedPeerPort != 0 ? m_options.advertisedPeerPort : m_peers.address().port;
    m_membership.setPorts(httpPort, peerPort);
    logEvent(LogLevel::Info, "bound", { { "peer", m_peers.address().text() }, { "gossip", m_membership.listenAddress().text() } });
    auto answered = m_membership.join();
    logEvent(LogLevel::Info, "joined", { { "seeds_answered", answered }, { "incarnation", m_identity.incarnation } });
    m_watcher.start();
    return success();
}

void Node::stop()
{
    m_watcher.stop();
    m_membership.stop();
    m_peers.stop();
    m_timers.stop();
}

Frame Node::handlePeerFrame(const Frame& frame)
{
    if (auto answer = m_membership.handlePeerFrame(frame))
        return *answer;
    if (m_handler) {
        if (auto answer = m_handler(frame))
            return *answer;
    }
    return Frame { .type = MessageType::Error, .payload = "unknown message type" };
}

} // namespace Onyxnotch
