#pragma once

// Which customer an API key belongs to. Keys are held only as SHA-256; the comparison takes constant time.
//
// Candidates are found by the first digits of the hash, so the cost does not grow with the customers. What
// the search's time could tell is those digits of a hash, from which no key follows.

#include "preset/preset.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace Rhubarbwind
{

/** Lower-case hex of the SHA-256. */
std::string sha256Hex(std::string_view text);

class CustomerLookup
{
public:
    /** The customer of the key under this preset. Rebuilds its index when the preset has changed. */
    std::optional<CustomerId> find(const std::shared_ptr<const PresetInForce> &preset, std::string_view apiKey);

private:
    void build(const std::shared_ptr<const PresetInForce> &preset);

    std::shared_ptr<const PresetInForce> m_preset;
    std::unordered_multimap<std::string, const CustomerRule *> m_byPrefix;
};

} // namespace Rhubarbwind
