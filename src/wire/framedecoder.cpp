// One buffer with a read position; what was consumed is cut off at the next append, so a frame is moved at
// most once per read. A ring buffer would save that move but could not show a payload as one span.

#include "wire/framedecoder.h"

#include <boost/endian/conversion.hpp>

namespace Rhubarbwind
{

namespace
{

constexpr std::size_t lengthBytes = 4;
// Above this an empty buffer gives its memory back: one large preset must not pin megabytes on every link.
constexpr std::size_t retainedCapacity = std::size_t(64) * 1024;

std::uint32_t readLength(const std::byte *header)
{
    return boost::endian::load_little_u32(reinterpret_cast<const unsigned char *>(header));
}

std::uint16_t readKind(const std::byte *header)
{
    return boost::endian::load_little_u16(reinterpret_cast<const unsigned char *>(header + lengthBytes));
}

} // namespace

FrameHeader encodeFrameHeader(MessageKind kind, std::size_t payloadBytes)
{
    FrameHeader header;
    unsigned char *bytes = reinterpret_cast<unsigned char *>(header.data());
    boost::endian::store_little_u32(bytes, static_cast<std::uint32_t>(payloadBytes));
    boost::endian::store_little_u16(bytes + lengthBytes, static_cast<std::uint16_t>(kind));
    return header;
}

void FrameDecoder::append(std::span<const std::byte> bytes)
{
    if (m_broken) {
        return;
    }
    m_buffer.erase(m_buffer.begin(), m_buffer.begin() + static_cast<std::ptrdiff_t>(m_consumed));
    m_consumed = 0;
    if (m_buffer.empty() && m_buffer.capacity() > retainedCapacity) {
        m_buffer.shrink_to_fit();
    }
    m_buffer.insert(m_buffer.end(), bytes.begin(), bytes.end());
}

Result<std::optional<Frame>, FrameError> FrameDecoder::next()
{
    if (m_broken) {
        return FrameError::PayloadTooLarge;
    }
    const std::span<const std::byte> rest = std::span(m_buffer).subspan(m_consumed);
    if (rest.size() < frameHeaderBytes) {
        return std::optional<Frame>();
    }
    const std::size_t length = readLength(rest.data());
    if (length > m_maxPayload) {
        m_broken = true;
        return FrameError::PayloadTooLarge;
    }
    if (rest.size() - frameHeaderBytes < length) {
        return std::optional<Frame>();
    }
    m_consumed += frameHeaderBytes + length;
    return std::optional<Frame>(Frame{MessageKind(readKind(rest.data())), rest.subspan(frameHeaderBytes, length)});
}

} // namespace Rhubarbwind
