#include "quarantine/requestidentity.h"

#include <array>
#include <bit>
#include <charconv>
#include <cstring>
#include <memory>

#include <openssl/evp.h>
#include <xxhash.h>

namespace Rhubarbwind
{

namespace
{

constexpr std::size_t hexDigits = 16; // of one half

class Sha256
{
public:
    Sha256()
        : m_state(EVP_MD_CTX_new(), &EVP_MD_CTX_free)
    {
        EVP_DigestInit_ex(m_state.get(), EVP_sha256(), nullptr);
    }

    /** The length first, so that no two lists of texts run into the same bytes. */
    void add(std::string_view text)
    {
        const std::uint64_t size = text.size();
        EVP_DigestUpdate(m_state.get(), &size, sizeof(size));
        EVP_DigestUpdate(m_state.get(), text.data(), text.size());
    }

    RequestIdentity front()
    {
        std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
        EVP_DigestFinal_ex(m_state.get(), digest.data(), nullptr);
        RequestIdentity identity;
        std::memcpy(&identity.high, digest.data(), sizeof(identity.high));
        std::memcpy(&identity.low, digest.data() + sizeof(identity.high), sizeof(identity.low));
        return identity;
    }

private:
    std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)> m_state;
};

std::string hexOf(std::uint64_t number)
{
    std::array<char, hexDigits> digits{};
    const std::to_chars_result end = std::to_chars(digits.data(), digits.data() + digits.size(), number, 16);
    const std::string text(digits.data(), end.ptr);
    return std::string(hexDigits - text.size(), '0') + text;
}

std::optional<std::uint64_t> readHex(std::string_view text)
{
    std::uint64_t number = 0;
    const std::from_chars_result read = std::from_chars(text.data(), text.data() + text.size(), number, 16);
    const bool isWhole = read.ec == std::errc() && read.ptr == text.data() + text.size();
    return isWhole ? std::optional(number) : std::nullopt;
}

} // namespace

RequestIdentity identityOf(const RequestContent &content)
{
    Sha256 digest;
    for (const std::string_view text : {content.customer, content.method, content.host, content.target, content.body}) {
        digest.add(text);
    }
    return digest.front();
}

std::uint64_t shapeOf(const RequestContent &content)
{
    std::uint64_t shape = content.body.size();
    for (const std::string_view text : {content.customer, content.method, content.host, content.target}) {
        shape = XXH3_64bits_withSeed(text.data(), text.size(), shape);
    }
    return shape;
}

std::uint32_t customerKey(std::string_view customer)
{
    return static_cast<std::uint32_t>(XXH3_64bits(customer.data(), customer.size()));
}

std::string textOf(const RequestIdentity &identity)
{
    return hexOf(identity.high) + hexOf(identity.low);
}

std::optional<RequestIdentity> readIdentity(std::string_view text)
{
    if (text.size() != 2 * hexDigits) {
        return std::nullopt;
    }
    const std::optional<std::uint64_t> high = readHex(text.substr(0, hexDigits));
    const std::optional<std::uint64_t> low = readHex(text.substr(hexDigits));
    return high && low ? std::optional(RequestIdentity{*high, *low}) : std::nullopt;
}

} // namespace Rhubarbwind
