#pragma once

// The bytes of requests, or of answers, that this process holds, and their common limit.
//
// Limits of single requests do not bound a host's memory, as they are multiplied by the requests in progress. Each holder keeps a HeldShare up to date.
// While the sum is above the limit, holders keep no more than heldWhileExceeded each, and read no further until that has been passed on. So the sum stays
// below the limit, what one read adds to each holder, and heldWhileExceeded for each holder.
//
// A request can't be passed on in part. While the others hold less than half of the limit, one may therefore go on beyond it (HeldShare::mayGrow()): a single
// request within its own limits is always read. At most one can be in that state, so the sum stays below that bound or half of the limit and one request.
//
// Cost: an addition for each change of a share.

#include <cstddef>
#include <cstdint>
#include <memory>
#include <utility>

namespace Rhubarbwind
{

class HeldBytes
{
public:
    static constexpr std::size_t defaultLimit = std::size_t{32} * 1024 * 1024;
    /** What a holder may keep while the limit is exceeded. */
    static constexpr std::size_t heldWhileExceeded = std::size_t{8} * 1024;

    explicit HeldBytes(std::size_t limit)
        : m_limit(limit)
    {
    }

    bool isExceeded() const
    {
        return m_held > m_limit;
    }
    /** Returns the limit of one holder, which has `usual` while the common limit is kept. */
    std::size_t limitFor(std::size_t usual) const
    {
        return isExceeded() && usual > heldWhileExceeded ? heldWhileExceeded : usual;
    }
    std::size_t held() const
    {
        return m_held;
    }
    std::size_t limit() const
    {
        return m_limit;
    }
    /** How often the limit was exceeded; hovering around it counts once. */
    std::uint64_t exceedances() const
    {
        return m_exceedances;
    }

private:
    friend class HeldShare;
    void change(std::size_t from, std::size_t to)
    {
        m_held += to;
        m_held -= from;
        if (m_held > m_limit && !m_wasExceeded) {
            m_wasExceeded = true;
            ++m_exceedances;
        } else if (m_held < m_limit / 2) {
            m_wasExceeded = false;
        }
    }

    std::size_t m_limit;
    std::size_t m_held = 0;
    std::uint64_t m_exceedances = 0;
    bool m_wasExceeded = false; ///< until half of the limit is free
};

/** What one holder holds; nothing from its destruction on. */
class HeldShare
{
public:
    /** @param sum null: the share is not counted */
    explicit HeldShare(std::shared_ptr<HeldBytes> sum)
        : m_sum(std::move(sum))
    {
    }
    ~HeldShare()
    {
        set(0);
    }
    HeldShare(const HeldShare &) = delete;
    HeldShare &operator=(const HeldShare &) = delete;

    /** Whether the holder of a request may read more of it. */
    bool mayGrow() const
    {
        const bool isWithin = !m_sum || !m_sum->isExceeded() || m_bytes <= HeldBytes::heldWhileExceeded;
        return isWithin || m_sum->held() - m_bytes <= m_sum->limit() / 2;
    }
    void set(std::size_t bytes)
    {
        if (m_sum) {
            m_sum->change(m_bytes, bytes);
        }
        m_bytes = bytes;
    }

private:
    std::shared_ptr<HeldBytes> m_sum;
    std::size_t m_bytes = 0;
};

} // namespace Rhubarbwind
