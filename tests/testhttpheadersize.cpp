#include "loopback.h"
#include "net/httpserver.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <array>

namespace sequoiastand
{

namespace
{

using testing::AnyOf;
using testing::StartsWith;

constexpr std::size_t maxHeaderBytes = std::size_t{4} * 1024;

const std::string lineEnd = "\r\n";
const std::string requestEnd = " HTTP/1.1\r\nHost: x\r\n\r\n";

/// Returns a text of `size` bytes that repeats the unit.
std::string repeated(const std::string &unit, std::size_t size)
{
    std::string text;
    while (text.size() < size) {
        text += unit;
    }
    text.resize(size);
    return text;
}

/// A request header of exactly `size` bytes with header lines of `lineBytes` bytes; the last one is longer.
std::string headerWithLines(std::size_t size, std::size_t lineBytes)
{
    const std::string name = "X-L: ";
    std::string header = "GET /v1/jobs HTTP/1.1\r\nHost: x\r\n";
    while (header.size() + 2 * lineBytes + lineEnd.size() <= size) {
        header.append(name).append(lineBytes - name.size() - lineEnd.size(), 'a').append(lineEnd);
    }
    header += name + std::string(size - header.size() - name.size() - 2 * lineEnd.size(), 'a') + lineEnd;
    return header + lineEnd;
}

std::string headerWithLongLine(std::size_t size)
{
    return headerWithLines(size, size);
}

std::string headerWithLinesOf200Bytes(std::size_t size)
{
    return headerWithLines(size, 200);
}

std::string headerWithShortLines(std::size_t size)
{
    return headerWithLines(size, 12);
}

std::string headerWithLongPath(std::size_t size)
{
    return "GET /" + std::string(size - 5 - requestEnd.size(), 'a') + requestEnd;
}

std::string headerWithLongQuery(std::size_t size)
{
    return "GET /x?a=" + std::string(size - 9 - requestEnd.size(), 'a') + requestEnd;
}

std::string headerWithManyParameters(std::size_t size)
{
    return "GET /x?" + repeated("a=b&", size - 7 - requestEnd.size()) + requestEnd;
}

std::string headerWithLongKey(std::size_t size)
{
    const std::string start = "GET /v1/jobs HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer ";
    return start + std::string(size - start.size() - 4, 'k') + "\r\n\r\n";
}

std::string headerWithCookies(std::size_t size)
{
    const std::string start = "GET /v1/jobs HTTP/1.1\r\nHost: x\r\nCookie: ";
    return start + repeated("a=bbbbbbbb; ", size - start.size() - 4) + "\r\n\r\n";
}

/// A chunked request whose trailers have `size` bytes.
std::string requestWithTrailers(std::size_t size)
{
    return "POST /v1/jobs HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n" + repeated("T: aaaaaaaaaaaaaaa\r\n", size / 20 * 20)
           + "\r\n";
}

struct HeaderShape
{
    const char *name;
    std::string (*header)(std::size_t size);
};

const std::array<HeaderShape, 5> shapesWithFewLines{{
    {"long line", headerWithLongLine},
    {"lines of 200 bytes", headerWithLinesOf200Bytes},
    {"long path", headerWithLongPath},
    {"long query", headerWithLongQuery},
    {"long key", headerWithLongKey},
}};

const std::array<HeaderShape, 4> shapesWithManyRecords{{
    {"short lines", headerWithShortLines},
    {"many parameters", headerWithManyParameters},
    {"cookies", headerWithCookies},
    {"trailers", requestWithTrailers},
}};

}

class HttpHeaderSizeTest : public testing::Test
{
protected:
    HttpHeaderSizeTest()
        : m_server(m_loop, {.maxHeaderBytes = maxHeaderBytes})
    {
        m_server.setHandler([this](HttpRequestId id, const HttpRequest &) {
            ++m_handled;
            m_server.respond(id, {.body = "done", .retryAfter = Duration{1'200}});
        });
        EXPECT_TRUE(m_server.listen("127.0.0.1", 0).ok());
    }

    /// Sends a request on a connection of its own and returns what is received until an answer is complete or the connection ends.
    std::string exchange(const std::string &bytes)
    {
        m_handled = 0;
        RawClient client(m_loop, m_server.port());
        client.send(bytes);
        EXPECT_TRUE(m_loop.runUntil([&] { return client.received().ends_with("done") || client.isClosedByPeer(); }, testTimeout));
        return client.received();
    }

    EventLoop m_loop;
    HttpServer m_server;
    int m_handled = 0;
};

// Guards against a request that is handled and whose connection ends without an answer: no memory was left for the header of the response.
TEST_F(HttpHeaderSizeTest, headerUpToTheLimitIsHandledAndAnswered)
{
    for (const auto &shape : shapesWithFewLines) {
        for (std::size_t size = maxHeaderBytes - 600; size <= maxHeaderBytes; size += 5) {
            const auto answer = exchange(shape.header(size));
            ASSERT_EQ(1, m_handled) << shape.name << ", " << size << " bytes";
            ASSERT_THAT(answer, StartsWith("HTTP/1.1 200")) << shape.name << ", " << size << " bytes";
        }
    }
}

// Guards against a refusal that gets lost: the connection of a request with too long a header ends with a response, whatever is unread.
TEST_F(HttpHeaderSizeTest, headerOverTheLimitIsRefusedWithAResponse)
{
    for (const auto &shape : shapesWithFewLines) {
        for (std::size_t size = maxHeaderBytes + 1; size <= 12 * maxHeaderBytes; size += size < 3 * maxHeaderBytes ? 61 : 3'001) {
            const auto answer = exchange(shape.header(size));
            ASSERT_EQ(0, m_handled) << shape.name << ", " << size << " bytes";
            ASSERT_THAT(answer, AnyOf(StartsWith("HTTP/1.1 431"), StartsWith("HTTP/1.1 414"))) << shape.name << ", " << size << " bytes";
        }
    }
}

// Guards against handled requests without an answer where the records of header lines, parameters, cookies or trailers fill the connection's memory.
TEST_F(HttpHeaderSizeTest, headerWithManyRecordsIsAnsweredOrRefusedWithAResponse)
{
    for (const auto &shape : shapesWithManyRecords) {
        for (std::size_t size = 100; size <= 3 * maxHeaderBytes; size += size < maxHeaderBytes ? 23 : 301) {
            const auto answer = exchange(shape.header(size));
            if (m_handled > 0) {
                ASSERT_THAT(answer, StartsWith("HTTP/1.1 200")) << shape.name << ", " << size << " bytes";
            } else {
                ASSERT_THAT(answer, AnyOf(StartsWith("HTTP/1.1 431"), StartsWith("HTTP/1.1 414"))) << shape.name << ", " << size << " bytes";
            }
        }
    }
}

// Guards against a response without room because the bytes of the next request fill the connection's memory.
TEST_F(HttpHeaderSizeTest, requestBeforeAPipelinedRequestIsAnswered)
{
    for (std::size_t size = 100; size <= maxHeaderBytes; size += 31) {
        const auto second = headerWithLongLine(maxHeaderBytes - 16);
        m_handled = 0;
        RawClient client(m_loop, m_server.port());
        client.send(headerWithLongLine(size) + second);
        ASSERT_TRUE(m_loop.runUntil([&] { return client.isClosedByPeer() || (m_handled == 2 && client.received().ends_with("done")); }, testTimeout));
        ASSERT_EQ(2, m_handled) << size << " bytes";
        ASSERT_THAT(client.received(), StartsWith("HTTP/1.1 200")) << size << " bytes";
        ASSERT_TRUE(client.received().ends_with("done")) << size << " bytes";
    }
}

}
