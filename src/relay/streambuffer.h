#pragma once

// The events of one answer by offset: what the endpoint sent, once each, in order, for readers at any cursor.
//
// Offsets count from 1. offer() takes an event from the endpoint, on whichever connection: the next offset is
// appended, an offset already held is compared by digest and dropped, a jump is refused as a gap. So a resumed
// stream that overlaps gives no doubled token, and one that skips gives an error instead of a hole. A re-run
// of a reproducible answer is offered from offset 1 again: each event must equal the one of the
// first run until it passes the end of what is held; the first that differs is reported and nothing of it is
// taken, so two answers are never spliced.
//
// Bounds: at most maxEvents events and maxBytes of data. Over the bytes, events that every reader has taken
// are forgotten (a reader below them then gets nothing); when none can be forgotten, offer() says Full. The
// digests of forgotten events are kept, 8 bytes each.

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <vector>

namespace Rhubarbwind
{

using StreamOffset = std::uint32_t;

enum class OfferResult : std::uint8_t {
    Appended,
    Doubled, ///< held already and equal; nothing changed
    Gap, ///< beyond the next offset; nothing changed
    Diverged, ///< held already and different; nothing changed
    Full, ///< over the budget; nothing changed
};

struct StreamBufferOptions
{
    std::size_t maxBytes = std::size_t{4} * 1024 * 1024;
    std::size_t maxEvents = 65'536;
};

class StreamBuffer
{
public:
    explicit StreamBuffer(StreamBufferOptions options = {})
        : m_options(options)
    {
    }

    /** @param digest of the part of the event that two equal runs share */
    OfferResult offer(StreamOffset offset, std::string data, std::uint64_t digest);

    /** The event at the offset, or null when it has not come yet or was forgotten. */
    const std::string *find(StreamOffset offset) const;
    /** The highest offset held; 0 when nothing came yet. */
    StreamOffset last() const
    {
        return static_cast<StreamOffset>(m_digests.size());
    }
    /** The lowest offset that a new reader may start after. */
    StreamOffset forgotten() const
    {
        return m_forgotten;
    }
    /** Every reader has taken the events up to this offset, so they may be forgotten when room is needed. */
    void taken(StreamOffset offset);
    /** Forgets everything: the next run may give another answer. Only while no reader took an event. */
    void clear();
    std::size_t bytes() const
    {
        return m_bytes;
    }

private:
    void makeRoom(std::size_t size);

    StreamBufferOptions m_options;
    std::deque<std::string> m_events; ///< offsets m_forgotten + 1 and up
    std::vector<std::uint64_t> m_digests; ///< all offsets from 1
    StreamOffset m_forgotten = 0;
    StreamOffset m_taken = 0;
    std::size_t m_bytes = 0;
};

} // namespace Rhubarbwind
