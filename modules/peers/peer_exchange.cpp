#include "modules/peers/peer_exchange.h"

#include "core/log.h"
#include <algorithm>

namespace Onyxnotch {

PeerExchange::PeerExchange(asio::io_context& context, PeerTable& table, FleetRelay& relay, const PeerExchangeOptions& options, PeerReceivers receivers)
    : m_table(table)
    , m_relay(relay)
    , m_options(options)
    , m_receivers(std::move(receivers))
    , m_socket(context)
{
}

Status PeerExchange::start()
{
    asio::error_code ec;
    auto host = asio::ip::make_address(m_options.listen.host, ec);
    asio::ip::udp::endpoint endpoint(host, m_options.listen.port);
    if (!ec)
        m_socket.open(endpoint.protocol(), ec);
    if (!ec)
        m_socket.bind(endpoint, ec);
    if (!ec)
        m_socket.non_blocking(true, ec);
    if (ec)
        return Error { ErrorCode::Unavailable, "cannot bind " + m_options.listen.text() + ": " + ec.message() };
    receive();
    return success();
}

Address PeerExchange::address() const
{
    asio::error_code ec;
    auto endpoint = m_socket.local_endpoint(ec);
    return { .host = endpoint.address().to_string(), .port = endpoint.port() };
}

void PeerExchange::receive()
{
    m_socket.async_receive_from(asio::buffer(m_buffer), m_sender, [this](const asio::error_code& ec, std::size_t size) {
        if (ec == asio::error::operation_aborted)
            return;
        // An error here reports that a peer's port is closed; receiving can go on.
        if (!ec)
            onDatagram(size);
        receive();
    });
}

void PeerExchange::onDatagram(std::size_t size)
{
    auto frame = decodeFrame(std::string_view(m_buffer.data(), size));
    if (!frame)
        return;
    auto handled = handleMessage(frame.value());
    if (!handled)
        logEvent(LogLevel::Warning, "peer_message_refused", { { "error", handled.error().message } });
}

Status PeerExchange::handleMessage(const Frame& frame)
{
    switch (frame.type) {
    case MessageType::PrefillNotice: {
        BOOST_OUTCOME_TRY(notice, unpackMessage<PrefillNotice>(frame.type, frame));
        if (!notice.isSound())
            return Error { ErrorCode::InvalidArgument, "prefill notice with a token count out of range" };
        m_receivers.prefill(notice);
        return success();
    }
    case MessageType::UsageNotice: {
        BOOST_OUTCOME_TRY(usage, unpackMessage<UsageNotice>(frame.type, frame));
        m_table.applyUsage(usage, steadyNow());
        return success();
    }
    case MessageType::SuspectNotice: {
        BOOST_OUTCOME_TRY(news, unpackMessage<SuspectUpdate>(frame.type, frame));
        m_receivers.suspects(news);
        return success();
    }
    case MessageType::LimitUpdate:
        return handleLimitUpdate(frame);
    case MessageType::CreditRequest:
    case MessageType::CreditAnswer:
    case MessageType::CreditReturn:
        return handleCreditMessage(frame);
    case MessageType::EndpointSpeeds: {
        BOOST_OUTCOME_TRY(update, unpackMessage<SumUpdate<EndpointSpeedReport>>(frame.type, frame));
        if (!update.isSound())
            return Error { ErrorCode::InvalidArgument, "endpoint speeds with values out of range" };
        if (m_receivers.speeds)
            m_receivers.speeds(update);
        return success();
    }
    case MessageType::AdmissionLoad:
        return handleAdmissionLoad(frame);
    case MessageType::TeamLevels:
        return handleTeamLevels(frame);
    case MessageType::ZoneAggregate:
    case MessageType::FleetAggregate:
        return handleAggregate(frame);
    case MessageType::PeerRow: {
        BOOST_OUTCOME_TRY(message, unpackMessage<PeerMessage>(frame.type, frame));
        handleRow(message);
        return success();
    }
    default:
        // A newer build may send messages that this one does not know.
        return success();
    }
}

void PeerExchange::handleRow(const PeerMessage& message)
{
    auto now = steadyNow();
    for (const auto& it : message.contacts)
        m_table.addContact(it, now);
    bool isNewIncarnation = !m_table.hasReceivedRow(message.row.node, message.row.lifetime);
    if (!m_table.apply(message.row, now))
        return;
    m_relay.onRow(message.row, now);
    m_receivers.row(message.row, isNewIncarnation);
}

Status PeerExchange::handleAggregate(const Frame& frame)
{
    BOOST_OUTCOME_TRY(sum, unpackMessage<GroupAggregate>(frame.type, frame));
    if (!sum.isSound())
        return Error { ErrorCode::InvalidArgument, "aggregate with values out of range" };
    if (frame.type == MessageType::ZoneAggregate)
        m_relay.onZoneAggregate(sum, steadyNow());
    else
        m_relay.onFleetAggregate(sum, steadyNow());
    if (m_receivers.aggregate)
        m_receivers.aggregate(sum);
    auto restarted = m_relay.takeRestartedRelays();
    if (!restarted.empty() && m_receivers.restartedRelays)
        m_receivers.restartedRelays(restarted);
    return success();
}

Status PeerExchange::handleLimitUpdate(const Frame& frame)
{
    BOOST_OUTCOME_TRY(news, unpackMessage<LimitUpdate>(frame.type, frame));
    if (news.node == m_relay.node())
        return success();
    m_receivers.limits(news);
    return success();
}

Status PeerExchange::handleCreditMessage(const Frame& frame)
{
    if (frame.type == MessageType::CreditRequest) {
        BOOST_OUTCOME_TRY(ask, unpackMessage<CreditRequest>(frame.type, frame));
        if (!ask.isSound())
            return Error { ErrorCode::InvalidArgument, "credit request with values out of range" };
        m_receivers.creditAsk(ask, sender());
    } else if (frame.type == MessageType::CreditAnswer) {
        BOOST_OUTCOME_TRY(answer, unpackMessage<CreditAnswer>(frame.type, frame));
        m_receivers.creditAnswer(answer, sender());
    } else {
        BOOST_OUTCOME_TRY(returned, unpackMessage<CreditReturn>(frame.type, frame));
        m_receivers.creditReturn(returned);
    }
    return success();
}

Status PeerExchange::handleAdmissionLoad(const Frame& frame)
{
    BOOST_OUTCOME_TRY(update, unpackMessage<SumUpdate<AdmissionLoad>>(frame.type, frame));
    if (!update.isSound())
        return Error { ErrorCode::InvalidArgument, "admission load with values out of range" };
    m_receivers.admissionLoad(update);
    return success();
}

Status PeerExchange::handleTeamLevels(const Frame& frame)
{
    BOOST_OUTCOME_TRY(message, unpackMessage<TeamLevels>(frame.type, frame));
    if (!message.isSound())
        return Error { ErrorCode::InvalidArgument, "team levels with values out of range" };
    if (m_receivers.teamLevels)
        m_receivers.teamLevels(message);
    return success();
}

Address PeerExchange::sender() const { return { .host = m_sender.address().to_string(), .port = m_sender.port() }; }

void PeerExchange::addContact(const PeerContact& contact) { m_table.addContact(contact, steadyNow()); }

void PeerExchange::addRandomAddresses(std::vector<PeerContact> contacts, std::size_t maximum, std::vector<Address>& addresses)
{
    std::shuffle(contacts.begin(), contacts.end(), m_random);
    if (contacts.size() > maximum)
        contacts.resize(maximum);
    for (const auto& it : contacts)
        addresses.push_back(it.gossipAddress);
}

std::vector<Address> PeerExchange::receivers()
{
    std::vector<Address> addresses;
    addRandomAddresses(m_table.contactsIn(m_options.zone), m_options.ownZoneFanOut, addresses);
    addRandomAddresses(m_table.contactsOutside(m_options.zone), m_options.otherZonesFanOut, addresses);
    // As long as few nodes are known, each row also goes to the seeds, since they may have been unreachable before.
    if (addresses.size() < m_options.seeds.size())
        addSeeds(addresses);
    return addresses;
}

void PeerExchange::addSeeds(std::vector<Address>& addresses) const
{
    for (const auto& it : m_options.seeds) {
        if (it != m_options.listen && std::find(addresses.begin(), addresses.end(), it) == addresses.end())
            addresses.push_back(it);
    }
}

double PeerExchange::receivedFraction() const
{
    auto outside = m_table.contactsOutside(m_options.zone).size();
    auto inside = m_table.contactsIn(m_options.zone).size();
    auto part = [](std::size_t maximum, std::size_t all) { return all > maximum ? static_cast<double>(maximum) / static_cast<double>(all) : 1.0; };
    return std::min(part(m_options.otherZonesFanOut, outside), part(m_options.ownZoneFanOut, inside));
}

std::vector<PeerContact> PeerExchange::randomContacts()
{
    auto contacts = m_table.contacts();
    std::shuffle(contacts.begin(), contacts.end(), m_random);
    if (contacts.size() > m_options.contactsPerMessage)
        contacts.resize(m_options.contactsPerMessage);
    return contacts;
}

std::string PeerExchange::encode(const PeerRow& row)
{
    return encodeFrame(packMessage(MessageType::PeerRow, PeerMessage { .row = row, .contacts = randomContacts() }));
}

void PeerExchange::sendBytes(const Address& address, const std::string& bytes)
{
    asio::error_code ec;
    auto host = asio::ip::make_address(address.host, ec);
    if (!ec)
        m_socket.send_to(asio::buffer(bytes), { host, address.port }, 0, ec);
    // Send errors are ignored: the next row makes up for a lost datagram.
}

void PeerExchange::send(const PeerRow& row)
{
    auto bytes = encode(row);
    for (const auto& it : receivers())
        sendBytes(it, bytes);
}

void PeerExchange::sendToRelays(const PeerRow& row)
{
    auto bytes = encode(row);
    for (const auto& it : m_relay.rowReceivers())
        sendBytes(it, bytes);
}

void PeerExchange::send(MessageType type, const FleetRelay::AddressedAggregate& outgoing)
{
    sendTo(outgoing.receivers, type, outgoing.sum);
}

void PeerExchange::send(const UsageNotice& notice, const std::vector<PeerContact>& holders)
{
    std::vector<Address> addresses;
    addRandomAddresses(m_table.contacts(), m_options.usageFanOut, addresses);
    for (const auto& it : holders) {
        if (std::find(addresses.begin(), addresses.end(), it.gossipAddress) == addresses.end())
            addresses.push_back(it.gossipAddress);
    }
    auto bytes = encodeFrame(packMessage(MessageType::UsageNotice, notice));
    for (const auto& it : addresses)
        sendBytes(it, bytes);
}

void PeerExchange::sendTo(const UsageNotice& notice, const std::vector<PeerContact>& receivers)
{
    std::vector<Address> addresses;
    addresses.reserve(receivers.size());
    for (const auto& it : receivers)
        addresses.push_back(it.gossipAddress);
    sendTo(addresses, MessageType::UsageNotice, notice);
}

void PeerExchange::send(const SuspectUpdate& news) { sendTo(receivers(), MessageType::SuspectNotice, news); }

void PeerExchange::sendToRelays(const SuspectUpdate& news)
{
    auto now = steadyNow();
    sendTo(m_relay.isRelay(now) ? m_relay.urgentReceivers(now) : m_relay.rowReceivers(), MessageType::SuspectNotice, news);
}

void PeerExchange::send(const PrefillNotice& notice) { sendTo(receivers(), MessageType::PrefillNotice, notice); }

void PeerExchange::sendTo(const Address& address, const PeerRow& row) { sendBytes(address, encode(row)); }

std::vector<Address> PeerExchange::knownNodeAddresses()
{
    std::vector<Address> addresses;
    addRandomAddresses(m_table.contacts(), m_options.greetingFanOut, addresses);
    return addresses;
}

void PeerExchange::sendToAllKnown(const PeerRow& row)
{
    auto bytes = encode(row);
    for (const auto& it : knownNodeAddresses())
        sendBytes(it, bytes);
}

} // namespace Onyxnotch
