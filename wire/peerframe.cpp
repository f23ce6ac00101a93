#include "peerframe.h"

#include "core/errors.h"
#include "wire/peerconversion.h"

#include <absl/strings/str_cat.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <array>
#include <cstdint>
#include <memory>

namespace sequoiastand
{

namespace
{

using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;
using CompactProtocol = TCompactProtocolT<TMemoryBuffer>;

constexpr std::size_t lengthBytes = 4;
constexpr std::uint8_t frameVersion = 1;

// The generated code allocates a container for the element count in the message before it reads the elements. A wrong count could therefore allocate too much
// memory, so it is limited. At this limit, elements of 100 bytes take 20 MB.
constexpr std::int32_t maxContainerElements = 200'000;

absl::Status malformed(std::string_view peer, std::string_view reason)
{
    return errorAt(absl::StatusCode::kDataLoss, "readPeerFrame", peer, reason);
}

std::size_t readLength(std::string_view bytes)
{
    std::size_t length = 0;
    for (std::size_t index = 0; index < lengthBytes; ++index) {
        length = length << 8U | static_cast<unsigned char>(bytes[index]);
    }
    return length;
}

}

std::string encodePeerFrame(const PeerFrame &frame)
{
    auto buffer = std::make_shared<TMemoryBuffer>();
    CompactProtocol protocol(buffer);
    toWire(frame).write(&protocol);
    const std::string body = buffer->getBufferAsString();
    const std::size_t length = body.size() + 1;
    std::string bytes;
    bytes.reserve(lengthBytes + length);
    for (const unsigned shift : {24U, 16U, 8U, 0U}) {
        bytes.push_back(static_cast<char>(length >> shift & 0xffU));
    }
    bytes.push_back(static_cast<char>(frameVersion));
    return bytes + body;
}

std::optional<std::size_t> announcedPeerFrameBytes(std::string_view bytes)
{
    if (bytes.size() < lengthBytes) {
        return std::nullopt;
    }
    return lengthBytes + readLength(bytes);
}

absl::StatusOr<std::optional<DecodedPeerFrame>> decodePeerFrame(std::string_view bytes, std::string_view peer)
{
    if (bytes.size() < lengthBytes) {
        return std::nullopt;
    }
    const std::size_t length = readLength(bytes);
    if (length < 1 || length > maxPeerFrameBytes) {
        return malformed(peer, absl::StrCat("frame of ", length, " bytes; 1 to ", maxPeerFrameBytes, " are allowed"));
    }
    if (bytes.size() > lengthBytes && static_cast<std::uint8_t>(bytes[lengthBytes]) != frameVersion) {
        return malformed(peer,
                         absl::StrCat("frame version ",
                                      static_cast<int>(static_cast<std::uint8_t>(bytes[lengthBytes])),
                                      "; this host supports version ",
                                      static_cast<int>(frameVersion)));
    }
    if (bytes.size() < lengthBytes + length) {
        return std::nullopt;
    }
    const auto body = bytes.substr(lengthBytes + 1, length - 1);
    peerwire::Frame frame;
    try {
        auto buffer = std::make_shared<TMemoryBuffer>(
            reinterpret_cast<std::uint8_t *>(const_cast<char *>(body.data())), static_cast<std::uint32_t>(body.size()), TMemoryBuffer::OBSERVE);
        CompactProtocol protocol(buffer, static_cast<std::int32_t>(maxPeerFrameBytes), maxContainerElements);
        frame.read(&protocol);
        if (buffer->available_read() > 0) {
            return malformed(peer, absl::StrCat(buffer->available_read(), " bytes after the end of the message"));
        }
    } catch (const std::exception &error) {
        return malformed(peer, error.what());
    }
    auto decoded = fromWire(frame, peer);
    if (!decoded.ok()) {
        return decoded.status();
    }
    return DecodedPeerFrame{*std::move(decoded), lengthBytes + length};
}

}
