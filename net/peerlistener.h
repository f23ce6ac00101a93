#pragma once

#include "core/identifier.h"
#include "eventloop.h"
#include "eventsink.h"
#include "peerintake.h"

#include <absl/status/status.h>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace sequoiastand
{

struct PeerListenerLimits
{
    Duration idle{60'000};           ///< Time without data after which a connection is closed; peers send a heartbeat at least every few seconds.
    std::size_t maxConnections = 64; ///< Beyond this number, a connection that sends no frames gives way to a new one.
    std::size_t receiveBudgetBytes = std::size_t{65} * 1024 * 1024; ///< Bytes that all connections may hold; a frame of the maximum size fits.

    friend bool operator==(const PeerListenerLimits &, const PeerListenerLimits &) = default;
};

/// Number of incoming connections that were closed or refused to keep within the limits.
struct PeerConnectionEnds
{
    long long refused = 0;    ///< As many peers as allowed were connected.
    long long replaced = 0;   ///< A connection without frames was closed for a new one.
    long long overBudget = 0; ///< All connections together held more bytes than allowed.

    friend bool operator==(const PeerConnectionEnds &, const PeerConnectionEnds &) = default;
};

/// Incoming connections from the other entry hosts. Each message is posted as a PeerMessageReceived event; only acknowledgements are sent back. A malformed
/// frame closes its connection.
class PeerListener
{
public:
    PeerListener(EventLoop &loop, HostId self, PeerListenerLimits limits, EventSink post, ErrorSink reportError);
    ~PeerListener();
    PeerListener(const PeerListener &) = delete;
    PeerListener &operator=(const PeerListener &) = delete;

    absl::Status listen(const std::string &address);

    /// The port that the listener is bound to, which is chosen by the system if listen() was called with port 0.
    int port() const;

    std::size_t connectionCount() const
    {
        return m_incoming.size();
    }

    /// Number of received bytes that are not decoded yet, most of them of incomplete frames.
    std::size_t heldBytes() const;

    const PeerConnectionEnds &connectionEnds() const
    {
        return m_ends;
    }

private:
    struct IncomingConnection;

    std::vector<PeerIntake> intakes() const;

    /// Closes a connection to make room for a new one. Returns false if all connections are in use by peers.
    bool makeRoom();

    /// Closes connections until the others hold no more bytes than allowed.
    void keepWithinBudget();

    void onAccept();
    void onIncomingReady(int descriptor, int events);
    void handleInput(IncomingConnection &link);

    /// Handles complete frames up to the limit of a turn and returns their number. Returns nothing if it has closed the connection.
    std::optional<int> handleFrames(IncomingConnection &link);
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
    PeerConnectionEnds m_ends;
};

}
