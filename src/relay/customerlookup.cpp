#include "relay/customerlookup.h"

#include <openssl/crypto.h>
#include <openssl/sha.h>

#include <array>

namespace Rhubarbwind
{

namespace
{

constexpr std::size_t sha256HexDigits = 64;
constexpr std::size_t indexDigits = 8;

} // namespace

std::string sha256Hex(std::string_view text)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char *>(text.data()), text.size(), digest.data());
    static constexpr std::string_view digits = "0123456789abcdef";
    std::string hex;
    hex.reserve(sha256HexDigits);
    for (const unsigned char byte : digest) {
        hex.push_back(digits[byte >> 4U]);
        hex.push_back(digits[byte & 0x0FU]);
    }
    return hex;
}

std::optional<CustomerId> CustomerLookup::find(const std::shared_ptr<const PresetInForce> &preset, std::string_view apiKey)
{
    if (preset != m_preset) {
        build(preset);
    }
    const std::string hash = sha256Hex(apiKey);
    const auto [first, last] = m_byPrefix.equal_range(hash.substr(0, indexDigits));
    for (auto candidate = first; candidate != last; ++candidate) {
        if (CRYPTO_memcmp(candidate->second->apiKeySha256.data(), hash.data(), sha256HexDigits) == 0) {
            return candidate->second->name;
        }
    }
    return std::nullopt;
}

void CustomerLookup::build(const std::shared_ptr<const PresetInForce> &preset)
{
    m_preset = preset;
    m_byPrefix.clear();
    for (const CustomerRule &customer : preset->preset.customers) {
        if (customer.apiKeySha256.size() == sha256HexDigits) {
            m_byPrefix.emplace(customer.apiKeySha256.substr(0, indexDigits), &customer);
        }
    }
}

} // namespace Rhubarbwind
