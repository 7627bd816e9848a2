#include "gateway/softwareversion.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <string_view>

#include <boost/json/serialize.hpp>
#include <xxhash.h>

namespace Rhubarbwind
{

namespace
{

constexpr std::string_view irregularPrefix = "irregular:";

std::uint64_t digestOf(std::string_view text)
{
    return std::max<std::uint64_t>(1, XXH3_64bits(text.data(), text.size()));
}

} // namespace

SoftwareVersion readSoftwareVersion(const boost::json::value *value)
{
    if (value == nullptr || value->is_null()) {
        return {};
    }
    if (const boost::json::string *text = value->if_string(); text != nullptr && text->size() <= maxSoftwareVersionBytes) {
        return SoftwareVersion(std::string(text->data(), text->size()));
    }
    std::array<char, 17> digest{};
    std::snprintf(digest.data(), digest.size(), "%016llx", static_cast<unsigned long long>(digestOf(boost::json::serialize(*value))));
    return SoftwareVersion(std::string(irregularPrefix) + digest.data());
}

bool isRegular(const SoftwareVersion &version)
{
    return !version.text().starts_with(irregularPrefix);
}

std::uint64_t versionKey(const SoftwareVersion &version)
{
    return digestOf(version.text());
}

} // namespace Rhubarbwind
