#pragma once

// Cuts a byte stream into frames (layout in peernetwork.h).
//
//     decoder.append(bytesRead);
//     for (;;) {
//         const Result<std::optional<Frame>, FrameError> frame = decoder.next();
//         ...
//     }
//
// Bytes may be split anywhere. A length above the limit is an error that stays: the stream can't be trusted
// after it, so the link has to be dropped. Memory: one frame and one read, if every complete frame is taken
// before the next append().

#include "base/result.h"
#include "wire/messagekind.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace Rhubarbwind
{

inline constexpr std::size_t frameHeaderBytes = 6;
using FrameHeader = std::array<std::byte, frameHeaderBytes>;

enum class FrameError : std::uint8_t {
    PayloadTooLarge,
};

/** A frame within the decoder's buffer; valid until the next call of append(). */
struct Frame
{
    MessageKind kind{};
    std::span<const std::byte> payload;
};

FrameHeader encodeFrameHeader(MessageKind kind, std::size_t payloadBytes);

class FrameDecoder
{
public:
    explicit FrameDecoder(std::size_t maxPayload)
        : m_maxPayload(maxPayload)
    {
    }

    /** Applies from the next frame on. */
    void setMaxPayload(std::size_t maxPayload)
    {
        m_maxPayload = maxPayload;
    }

    void append(std::span<const std::byte> bytes);
    /** The next complete frame, or none until more bytes come. */
    Result<std::optional<Frame>, FrameError> next();
    std::size_t bufferedBytes() const
    {
        return m_buffer.size() - m_consumed;
    }

private:
    std::size_t m_maxPayload;
    std::vector<std::byte> m_buffer;
    std::size_t m_consumed = 0;
    bool m_broken = false;
};

} // namespace Rhubarbwind
