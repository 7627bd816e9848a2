// A deque of events and a vector of digests. Comparing digests in place of text lets forgotten events still be
// checked, and lets the caller of offer() leave out what differs between two equal runs (ids, times).

#include "relay/streambuffer.h"

#include <algorithm>

namespace Rhubarbwind
{

OfferResult StreamBuffer::offer(StreamOffset offset, std::string data, std::uint64_t digest)
{
    if (offset == 0 || offset > last() + 1) {
        return OfferResult::Gap;
    }
    if (offset <= last()) {
        return m_digests[offset - 1] == digest ? OfferResult::Doubled : OfferResult::Diverged;
    }
    makeRoom(data.size());
    if (m_bytes + data.size() > m_options.maxBytes || m_digests.size() >= m_options.maxEvents) {
        return OfferResult::Full;
    }
    m_bytes += data.size();
    m_events.push_back(std::move(data));
    m_digests.push_back(digest);
    return OfferResult::Appended;
}

const std::string *StreamBuffer::find(StreamOffset offset) const
{
    if (offset <= m_forgotten || offset > last()) {
        return nullptr;
    }
    return &m_events[offset - m_forgotten - 1];
}

void StreamBuffer::taken(StreamOffset offset)
{
    m_taken = std::max(m_taken, std::min(offset, last()));
}

void StreamBuffer::clear()
{
    m_events.clear();
    m_digests.clear();
    m_forgotten = 0;
    m_taken = 0;
    m_bytes = 0;
}

void StreamBuffer::makeRoom(std::size_t size)
{
    while (m_bytes + size > m_options.maxBytes && m_forgotten < m_taken) {
        m_bytes -= m_events.front().size();
        m_events.pop_front();
        ++m_forgotten;
    }
}

} // namespace Rhubarbwind
