#include "wire/framedecoder.h"

#include <algorithm>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace Rhubarbwind;

namespace
{

constexpr std::size_t testMaxPayload = 300;

struct OwnedFrame
{
    std::uint16_t kind = 0;
    std::vector<std::byte> payload;
    friend bool operator==(const OwnedFrame &, const OwnedFrame &) = default;
};

std::vector<OwnedFrame> arbitraryFrames()
{
    std::vector<OwnedFrame> frames(*rc::gen::inRange<std::size_t>(0, 8));
    for (OwnedFrame &frame : frames) {
        frame.kind = *rc::gen::arbitrary<std::uint16_t>();
        frame.payload.resize(*rc::gen::inRange<std::size_t>(0, testMaxPayload + 1), std::byte(frame.kind));
    }
    return frames;
}

std::vector<std::byte> encoded(const std::vector<OwnedFrame> &frames)
{
    std::vector<std::byte> stream;
    for (const OwnedFrame &frame : frames) {
        const FrameHeader header = encodeFrameHeader(MessageKind(frame.kind), frame.payload.size());
        stream.insert(stream.end(), header.begin(), header.end());
        stream.insert(stream.end(), frame.payload.begin(), frame.payload.end());
    }
    return stream;
}

/** Feeds the stream in pieces of random size and takes every frame that becomes complete. */
std::vector<OwnedFrame> decodedInPieces(FrameDecoder &decoder, std::span<const std::byte> stream, bool &failed)
{
    std::vector<OwnedFrame> frames;
    while (!stream.empty() && !failed) {
        const std::size_t piece = std::min(stream.size(), *rc::gen::inRange<std::size_t>(1, 200));
        decoder.append(stream.first(piece));
        stream = stream.subspan(piece);
        Result<std::optional<Frame>, FrameError> next = decoder.next();
        while (next && next.value()) {
            RC_ASSERT((reinterpret_cast<std::uintptr_t>(next.value()->payload.data()) % payloadAlignment == 0));
            frames.push_back({static_cast<std::uint16_t>(next.value()->kind), {next.value()->payload.begin(), next.value()->payload.end()}});
            next = decoder.next();
        }
        failed = !next;
    }
    return frames;
}

} // namespace

TEST_CASE("frames come out as they went in, however the bytes are split or cut short")
{
    rc::prop("a prefix of the stream gives the frames that are whole in it", [] {
        const std::vector<OwnedFrame> frames = arbitraryFrames();
        const std::vector<std::byte> stream = encoded(frames);
        const std::size_t kept = *rc::gen::inRange<std::size_t>(0, stream.size() + 1);
        FrameDecoder decoder(testMaxPayload);
        bool failed = false;
        const std::vector<OwnedFrame> decoded = decodedInPieces(decoder, std::span(stream).first(kept), failed);
        RC_ASSERT(!failed);
        RC_ASSERT(std::equal(decoded.begin(), decoded.end(), frames.begin(), frames.begin() + static_cast<std::ptrdiff_t>(decoded.size())));
        RC_ASSERT(encoded(decoded).size() + decoder.bufferedBytes() == kept);
        RC_ASSERT((kept < stream.size() || decoded.size() == frames.size()));
    });
}

TEST_CASE("arbitrary bytes give no frame above the limit and no more memory than one frame and one read")
{
    rc::prop("an error stays", [] {
        const std::vector<std::uint8_t> bytes = *rc::gen::container<std::vector<std::uint8_t>>(rc::gen::element<std::uint8_t>(0, 0, 0, 1, 7, 255));
        FrameDecoder decoder(testMaxPayload);
        bool failed = false;
        for (const OwnedFrame &frame : decodedInPieces(decoder, std::as_bytes(std::span(bytes)), failed)) {
            RC_ASSERT(frame.payload.size() <= testMaxPayload);
        }
        RC_ASSERT((failed || decoder.bufferedBytes() < frameHeaderBytes + testMaxPayload));
        const FrameHeader valid = encodeFrameHeader(MessageKind::Heartbeat, 0);
        decoder.append(valid);
        RC_ASSERT((!failed || !decoder.next()));
    });
}
