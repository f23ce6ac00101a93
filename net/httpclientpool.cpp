#include "httpclientpool.h"

#include <functional>
#include <numeric>

namespace sequoiastand
{

namespace
{

// With 540 peers each client has about 17, and with 2,300 about 72.
constexpr std::size_t clientCount = 32;

}

HttpClientPool::HttpClientPool(EventLoop &loop)
    : m_loop(loop)
    , m_clients(clientCount)
{
}

HttpClient &HttpClientPool::clientFor(const std::string &address)
{
    auto &client = m_clients[std::hash<std::string>{}(address) % clientCount];
    if (!client) {
        client = std::make_unique<HttpClient>(m_loop);
    }
    return *client;
}

void HttpClientPool::closeAll()
{
    m_endedBefore = endedConnections();
    m_clients.clear();
    m_clients.resize(clientCount);
}

std::size_t HttpClientPool::openCalls() const
{
    return std::accumulate(m_clients.begin(), m_clients.end(), std::size_t{0}, [](std::size_t sum, const std::unique_ptr<HttpClient> &client) {
        return sum + (client ? client->openCalls() : 0);
    });
}

std::size_t HttpClientPool::endedConnections() const
{
    return std::accumulate(m_clients.begin(), m_clients.end(), m_endedBefore, [](std::size_t sum, const std::unique_ptr<HttpClient> &client) {
        return sum + (client ? client->endedConnections() : 0);
    });
}

}
