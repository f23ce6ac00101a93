#pragma once

#include "httpclient.h"

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace sequoiastand
{

/// Distributes the calls to many peers over several clients, by address. Once a second libcurl checks the idle connections of a client, and begins again whenever
/// it has found one that its peer has closed, so with hundreds of peers on one client the check takes seconds.
class HttpClientPool
{
public:
    explicit HttpClientPool(EventLoop &loop);

    /// The client for the address; always the same one until closeAll().
    HttpClient &clientFor(const std::string &address);

    /// Closes all connections and drops the calls under way; their callbacks are not run.
    void closeAll();

    /// Number of calls under way.
    std::size_t openCalls() const;

    /// Number of idle connections that were ended because a call to their address had no answer.
    std::size_t endedConnections() const;

private:
    EventLoop &m_loop;
    std::vector<std::unique_ptr<HttpClient>> m_clients; ///< Created when first used.
    std::size_t m_endedBefore = 0;                      ///< Connections that were ended by clients before the last closeAll().
};

}
