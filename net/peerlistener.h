#pragma once

#include "core/identifier.h"
#include "eventloop.h"
#include "eventsink.h"

#include <absl/status/status.h>

#include <map>
#include <memory>
#include <string>

namespace sequoiastand
{

struct PeerListenerLimits
{
    Duration idle{60'000}; ///< Peers send a heartbeat at least every few seconds.
    std::size_t maxConnections = 64;

    friend bool operator==(const PeerListenerLimits &, const PeerListenerLimits &) = default;
};

/// IncomingConnection connections of the other entry hosts. Frames become PeerMessageReceived events; only acknowledgements are sent back. A malformed frame closes its connection.
class PeerListener
{
public:
    PeerListener(EventLoop &loop, HostId self, PeerListenerLimits limits, EventSink post, ErrorSink fault);
    ~PeerListener();
    PeerListener(const PeerListener &) = delete;
    PeerListener &operator=(const PeerListener &) = delete;

    absl::Status listen(const std::string &address);

    /// Port of the listener, for a listener on port 0.
    int port() const;

    std::size_t connectionCount() const
    {
        return m_incoming.size();
    }

private:
    struct IncomingConnection;

    void onAccept();
    void onIncomingReady(int descriptor, int events);
    bool handleFrames(IncomingConnection &link);
    void acknowledge(IncomingConnection &link);
    void closeIncoming(int descriptor, const std::string &reason);

    EventLoop &m_loop;
    HostId m_self;
    PeerListenerLimits m_limits;
    EventSink m_post;
    ErrorSink m_reportError;
    int m_listener = -1;
    SocketWatch m_listenerWatch;
    std::map<int, std::unique_ptr<IncomingConnection>> m_incoming;
};

}
