#pragma once

#include "core/message.h"
#include "eventloop.h"
#include "eventsink.h"

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>

namespace sequoiastand
{

struct PeerLinkLimits
{
    Duration connectTimeout{1'000};
    Duration acknowledgeTimeout{3'000}; ///< A connection whose frames are not acknowledged for so long is silent and is replaced.
    Duration reconnectDelay{200};       ///< Bound of the random delay; doubles with every failure up to maxReconnectDelay.
    Duration maxReconnectDelay{2'000};
    std::size_t maxQueuedBytes = std::size_t{64} * 1024 * 1024;

    friend bool operator==(const PeerLinkLimits &, const PeerLinkLimits &) = default;
};

/// OutgoingConnection connections to the other entry hosts, one for each. What is queued when a connection fails is dropped; the core's deadlines decide what is asked
/// again.
class PeerLinks
{
public:
    PeerLinks(EventLoop &loop, HostId self, PeerLinkLimits limits, ErrorSink fault);
    ~PeerLinks();
    PeerLinks(const PeerLinks &) = delete;
    PeerLinks &operator=(const PeerLinks &) = delete;

    void send(const PeerSend &message);

    /// True while frames wait to be sent, so that a stopping process can send its last ones.
    bool hasQueuedFrames() const;

private:
    struct OutgoingConnection;

    void connect(OutgoingConnection &link);
    void onOutgoingReady(OutgoingConnection &link, int events);
    bool finishConnect(OutgoingConnection &link);
    bool readAcknowledgements(OutgoingConnection &link);
    void flush(OutgoingConnection &link);
    void watchOutgoing(OutgoingConnection &link);
    void fail(OutgoingConnection &link, const std::string &step, const std::string &reason);

    EventLoop &m_loop;
    HostId m_self;
    PeerLinkLimits m_limits;
    ErrorSink m_reportError;
    std::minstd_rand m_random;
    std::map<HostId, std::unique_ptr<OutgoingConnection>> m_outgoing;
};

}
