#include "quarantine/completedrequests.h"

#include <xxhash.h>

namespace Rhubarbwind
{

RequestIdentity CompletedRequests::digestOf(const RequestContent &content) const
{
    std::uint64_t key = m_key;
    for (const std::string_view text : {content.customer, content.method, content.host, content.target}) {
        key = XXH3_64bits_withSeed(text.data(), text.size(), key);
    }
    const XXH128_hash_t digest = XXH3_128bits_withSeed(content.body.data(), content.body.size(), key);
    return {digest.high64, digest.low64};
}

void CompletedRequests::add(const RequestContent &content, TimePoint now)
{
    const RequestIdentity digest = digestOf(content);
    m_order.push_back({digest, now});
    m_latest[digest] = now;
    while (m_order.size() > m_most || now - m_order.front().at > m_lifetime) {
        const auto latest = m_latest.find(m_order.front().digest);
        if (latest != m_latest.end() && latest->second == m_order.front().at) {
            m_latest.erase(latest);
        }
        m_order.pop_front();
    }
}

bool CompletedRequests::has(const RequestContent &content, TimePoint now) const
{
    const auto latest = m_latest.find(digestOf(content));
    return latest != m_latest.end() && now - latest->second <= m_lifetime;
}

} // namespace Rhubarbwind
