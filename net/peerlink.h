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
    std::size_t maxQueuedBytes = std::size_t{64} * 1024 * 1024; ///< Bytes of messages that wait on all connections together.

    friend bool operator==(const PeerLinkLimits &, const PeerLinkLimits &) = default;
};

/// The bytes of messages that wait to be sent.
struct PeerQueueBytes
{
    std::size_t onLink = 0;
    std::size_t onAllLinks = 0;

    friend bool operator==(const PeerQueueBytes &, const PeerQueueBytes &) = default;
};

/// True if a frame may be queued on a connection. While all connections together hold too much, a connection with little in its queue still takes small frames,
/// so that heartbeats are not dropped because another peer does not read.
bool mayQueueFrame(std::size_t frameBytes, const PeerQueueBytes &queued, std::size_t maxQueuedBytes);

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

    /// Number of bytes that wait to be sent on all connections.
    std::size_t queuedBytes() const;

    /// Number of messages that were dropped because too many bytes were waiting.
    long long droppedMessages() const
    {
        return m_droppedMessages;
    }

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
    long long m_droppedMessages = 0;
};

}
