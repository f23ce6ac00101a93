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
    Duration acknowledgeTimeout{3'000}; ///< Time without an acknowledgement after which a connection is considered dead and replaced.
    Duration reconnectDelay{200}; ///< Upper bound of the random delay before reconnecting; doubles with every consecutive failure up to maxReconnectDelay.
    Duration maxReconnectDelay{2'000};
    std::size_t maxQueuedBytes = std::size_t{64} * 1024 * 1024;

    friend bool operator==(const PeerLinkLimits &, const PeerLinkLimits &) = default;
};

/// Outgoing connections to the other entry hosts, one for each. When a connection fails, its queued messages are dropped; when the
/// core's deadline for a request has passed, the core decides whether to repeat the request.
class PeerLinks
{
public:
    PeerLinks(EventLoop &loop, HostId self, PeerLinkLimits limits, ErrorSink reportError);
    ~PeerLinks();
    PeerLinks(const PeerLinks &) = delete;
    PeerLinks &operator=(const PeerLinks &) = delete;

    void send(const PeerSend &message);

    /// True while frames are queued on a connection. A stopping process waits until they are sent.
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
