// A chained hash table over a pool of nodes that are also linked in order of last learning (an LRU cache), rather than a radix tree over block sequences:
// a chained digest identifies the whole prefix, so a flat table gives the same result with fixed-size nodes and no rebalancing. Holders are bits in two
// masks, one per generation, so ageing takes no time until an entry is accessed.

#include "routing/prefixindex.h"

#include <algorithm>
#include <bit>
#include <cassert>

namespace Rhubarbwind
{

namespace
{

constexpr double formerWeight = 0.5;
constexpr double trustGain = 0.2;
constexpr double minTrust = 0.05;
// Each gap in the events may hide evictions.
constexpr double trustAfterGap = 0.9;
// A sequence number further back is no late repetition: the engine has restarted its count.
constexpr std::uint64_t reorderWindow = 1024;
// Spreads digests that are not uniform (2^64 divided by the golden ratio).
constexpr std::uint64_t bucketMixer = 0x9E3779B97F4A7C15ULL;
constexpr int digestBits = 64;

std::uint64_t bit(PrefixIndex::Holder holder)
{
    return std::uint64_t{1} << holder;
}

} // namespace

PrefixIndex::PrefixIndex(const PrefixIndexOptions &options, TimePoint now)
    : m_options(options)
    , m_start(now)
    , m_buckets(std::bit_ceil(std::max<std::size_t>(options.entries, 2)), none)
{
    static_assert(sizeof(Node) + 2 * sizeof(NodeIndex) <= bytesPerEntry);
    m_options.entries = std::max<std::size_t>(options.entries, 1);
    m_nodes.reserve(m_options.entries);
}

std::size_t PrefixIndex::memoryBytes() const
{
    return m_nodes.capacity() * sizeof(Node) + m_buckets.capacity() * sizeof(NodeIndex);
}

std::uint32_t PrefixIndex::generationAt(TimePoint now) const
{
    return now <= m_start ? 0 : static_cast<std::uint32_t>((now - m_start) / m_options.generation);
}

std::size_t PrefixIndex::bucket(std::uint64_t digest) const
{
    return (digest * bucketMixer) >> (digestBits - std::countr_zero(m_buckets.size()));
}

PrefixIndex::NodeIndex PrefixIndex::find(std::uint64_t digest) const
{
    NodeIndex index = m_buckets[bucket(digest)];
    while (index != none && m_nodes[index].digest != digest) {
        index = m_nodes[index].chain;
    }
    return index;
}

PrefixIndex::NodeIndex PrefixIndex::findOrAdd(std::uint64_t digest)
{
    const NodeIndex known = find(digest);
    if (known != none) {
        unlink(known);
        linkNewest(known);
        return known;
    }
    const NodeIndex index = takeNode();
    NodeIndex &head = m_buckets[bucket(digest)];
    m_nodes[index] = Node{};
    m_nodes[index].digest = digest;
    m_nodes[index].chain = head;
    head = index;
    linkNewest(index);
    return index;
}

PrefixIndex::NodeIndex PrefixIndex::takeNode()
{
    if (m_nodes.size() < m_options.entries) {
        m_nodes.emplace_back();
        return static_cast<NodeIndex>(m_nodes.size() - 1);
    }
    const NodeIndex index = m_oldest;
    unchain(index);
    unlink(index);
    return index;
}

void PrefixIndex::unchain(NodeIndex index)
{
    NodeIndex *link = &m_buckets[bucket(m_nodes[index].digest)];
    while (*link != index) {
        link = &m_nodes[*link].chain;
    }
    *link = m_nodes[index].chain;
}

void PrefixIndex::unlink(NodeIndex index)
{
    const Node &node = m_nodes[index];
    (node.newer == none ? m_newest : m_nodes[node.newer].older) = node.older;
    (node.older == none ? m_oldest : m_nodes[node.older].newer) = node.newer;
}

void PrefixIndex::linkNewest(NodeIndex index)
{
    m_nodes[index].newer = none;
    m_nodes[index].older = m_newest;
    (m_newest == none ? m_oldest : m_nodes[m_newest].newer) = index;
    m_newest = index;
}

void PrefixIndex::linkOldest(NodeIndex index)
{
    m_nodes[index].older = none;
    m_nodes[index].newer = m_oldest;
    (m_oldest == none ? m_newest : m_nodes[m_oldest].older) = index;
    m_oldest = index;
}

PrefixIndex::Holders PrefixIndex::holdersAt(const Node &node, std::uint32_t generation)
{
    if (node.generation == generation) {
        return {node.recent, node.former};
    }
    return {0, node.generation + 1 == generation ? node.recent : 0};
}

void PrefixIndex::learnBlock(std::uint32_t generation, Holder holder, std::uint64_t digest)
{
    Node &node = m_nodes[findOrAdd(digest)];
    const Holders holders = holdersAt(node, generation);
    node.generation = generation;
    node.recent = holders.recent | bit(holder);
    node.former = holders.former;
}

void PrefixIndex::learn(TimePoint now, Holder holder, std::span<const std::uint64_t> digests)
{
    assert(holder < maxHolders);
    const std::uint32_t generation = generationAt(now);
    // Last block first: the first blocks become the most recent and are evicted last.
    for (auto digest = digests.rbegin(); digest != digests.rend(); ++digest) {
        learnBlock(generation, holder, *digest);
    }
}

void PrefixIndex::forgetBlock(Holder holder, std::uint64_t digest)
{
    const NodeIndex index = find(digest);
    if (index == none) {
        return;
    }
    Node &node = m_nodes[index];
    node.recent &= ~bit(holder);
    node.former &= ~bit(holder);
    if ((node.recent | node.former) == 0) {
        unlink(index);
        linkOldest(index);
    }
}

void PrefixIndex::forget(Holder holder, std::span<const std::uint64_t> digests)
{
    for (const std::uint64_t digest : digests) {
        forgetBlock(holder, digest);
    }
}

void PrefixIndex::clear(Holder holder)
{
    for (Node &node : m_nodes) {
        node.recent &= ~bit(holder);
        node.former &= ~bit(holder);
    }
}

void PrefixIndex::drop(Holder holder)
{
    clear(holder);
    m_sources[holder] = Source{};
}

bool PrefixIndex::isRepeated(Source &source, std::uint64_t sequence)
{
    if (!source.lastSequence) {
        source.lastSequence = sequence;
        return false;
    }
    const std::uint64_t last = *source.lastSequence;
    if (sequence <= last && last - sequence < reorderWindow) {
        return true;
    }
    if (sequence != last + 1) {
        source.trust = std::max(minTrust, source.trust * trustAfterGap);
    }
    source.lastSequence = sequence;
    return false;
}

void PrefixIndex::apply(TimePoint now, Holder holder, const CacheEvent &event)
{
    assert(holder < maxHolders);
    if (isRepeated(m_sources[holder], event.sequence)) {
        return;
    }
    switch (event.kind) {
    case CacheEvent::Kind::Stored:
        learnBlock(generationAt(now), holder, event.blockDigest);
        return;
    case CacheEvent::Kind::Evicted:
        forgetBlock(holder, event.blockDigest);
        return;
    case CacheEvent::Kind::Cleared:
        clear(holder);
        return;
    }
}

void PrefixIndex::correct(Holder holder, double expected, double seen)
{
    if (expected <= 0) {
        return;
    }
    Source &source = m_sources[holder];
    // `expected` is already scaled by the trust, so the comparison is with the unscaled estimate.
    const double share = std::min(1.0, seen * source.trust / expected);
    source.trust = std::clamp(source.trust + trustGain * (share - source.trust), minTrust, 1.0);
}

PrefixIndex::Match PrefixIndex::match(TimePoint now, std::span<const std::uint64_t> digests) const
{
    Match blocks{};
    const std::uint32_t generation = generationAt(now);
    std::uint64_t remaining = ~std::uint64_t{0};
    for (const std::uint64_t digest : digests) {
        const NodeIndex index = find(digest);
        if (index == none) {
            break;
        }
        const Holders holders = holdersAt(m_nodes[index], generation);
        remaining &= holders.recent | holders.former;
        for (std::uint64_t rest = remaining; rest != 0; rest &= rest - 1) {
            const int holder = std::countr_zero(rest);
            blocks[holder] += (holders.recent >> holder & 1) != 0 ? 1.0F : static_cast<float>(formerWeight);
        }
    }
    for (std::size_t holder = 0; holder < maxHolders; ++holder) {
        blocks[holder] *= static_cast<float>(m_sources[holder].trust);
    }
    return blocks;
}

} // namespace Rhubarbwind
