#include "modules/entry/entry_node.h"

#include "modules/entry/entry_control.h"
#include "modules/entry/entry_requests.h"
#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>

namespace Onyxnotch {

EntryNode::EntryNode(const EntryOptions& options, EntryPorts ports)
    : m_options(options)
    , m_ports(std::move(ports))
    , m_requests(std::make_unique<RequestSide>(m_options, m_view, m_summary, m_metrics, m_controlState, m_versionShares))
    , m_control(std::make_unique<ControlSide>(*this))
{
}

EntryNode::~EntryNode()
{
    m_requests->context.stop();
    m_control->context.stop();
    for (auto* it : { &m_requestThread, &m_controlThread }) {
        if (it->joinable())
            it->join();
    }
}

Status EntryNode::start()
{
    auto started = m_requests->start();
    if (!started)
        return started;
    started = m_control->start();
    if (!started)
        return started;
    m_requests->controlAddress = m_control->controlServer.address();
    m_requestThread = std::thread([this] { m_requests->context.run(); });
    m_controlThread = std::thread([this] { m_control->context.run(); });
    return success();
}

void EntryNode::apply(const EntryOptions& options)
{
    asio::post(m_requests->context, [this, options] {
        // These options are read on the request thread only, so no lock is needed.
        m_options.grace = options.grace;
        m_requests->forward.retries.setOptions(options.retries);
        m_requests->forward.options.sharedAdmission = options.forward.sharedAdmission;
        m_requests->forward.options.maximumClients = options.forward.maximumClients;
        m_requests->forward.bodyMemory.setLimit(options.forward.maximumBufferedBodyBytes);
        m_requests->forward.responseMemory.setLimit(options.forward.maximumResponseBytes);
    });
}

void EntryNode::stop()
{
    if (m_stopping.exchange(true))
        return;
    asio::post(m_control->context, [this] { m_control->duties.stop(); });
    asio::co_spawn(m_requests->context, m_requests->drain(), asio::detached);
}

void EntryNode::wait() { m_requestThread.join(); }

Address EntryNode::clientsAddress() const { return m_requests->server.address(); }

Address EntryNode::readinessAddress() const { return m_requests->readiness.address(); }

Address EntryNode::controlAddress() const { return m_control->controlServer.address(); }

Address EntryNode::gossipAddress() const { return m_requests->exchange.address(); }

} // namespace Onyxnotch
