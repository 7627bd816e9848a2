#include "base/foreignjson.h"

#include <algorithm>
#include <cmath>
#include <string>

#include <boost/json/parse.hpp>

namespace Rhubarbwind
{

namespace
{

namespace json = boost::json;

// The parser's default of 32 is only a few levels more than documents of other programs have.
constexpr std::size_t maxDepth = 256;

/** Where the string that begins at `begin` ends. */
std::size_t endOfString(std::string_view text, std::size_t begin)
{
    std::size_t at = begin + 1;
    while (at < text.size() && text[at] != '"') {
        at += text[at] == '\\' ? 2 : 1;
    }
    return std::min(at + 1, text.size());
}

std::size_t endOfNumber(std::string_view text, std::size_t begin)
{
    return std::min(text.find_first_not_of("0123456789+-.eE", begin), text.size());
}

bool isNumberStart(char first)
{
    return first == '-' || (first >= '0' && first <= '9');
}

/** Whether the parser reads the exponent; it fails on some that are larger. */
bool isReadable(std::string_view number)
{
    constexpr std::size_t maxExponentChars = 8;
    const std::size_t exponent = number.find_first_of("eE");
    return exponent == std::string_view::npos || number.size() - exponent <= maxExponentChars;
}

/** Replaces what is nested too deeply and each number with an exponent that is too long by null. Text that is not JSON stays so. */
std::string withoutUnreadable(std::string_view text)
{
    constexpr std::string_view null = "null";
    std::string readable;
    std::size_t depth = 0;
    std::size_t at = 0;
    while (at < text.size()) {
        const char first = text[at];
        const bool isNumber = isNumberStart(first);
        const std::size_t end = first == '"' ? endOfString(text, at) : isNumber ? endOfNumber(text, at) : at + 1;
        const std::string_view token = text.substr(at, end - at);
        if (first == '[' || first == '{') {
            ++depth;
        }
        if (depth <= maxDepth) {
            readable += isNumber && !isReadable(token) ? null : token;
        } else if (depth == maxDepth + 1 && (first == '[' || first == '{')) {
            readable += null;
        }
        if ((first == ']' || first == '}') && depth > 0) {
            --depth;
        }
        at = end;
    }
    return readable;
}

/** The parser reads a number that is too large for any type as an infinite one. */
void dropInfinite(json::value &value)
{
    if (json::array *array = value.if_array()) {
        std::ranges::for_each(*array, dropInfinite);
    } else if (json::object *object = value.if_object()) {
        std::ranges::for_each(*object, [](json::key_value_pair &member) { dropInfinite(member.value()); });
    } else if (const double *number = value.if_double(); number != nullptr && !std::isfinite(*number)) {
        value = nullptr;
    }
}

} // namespace

json::value parseForeignJson(std::string_view text, json::error_code &error)
{
    json::parse_options options;
    options.allow_invalid_utf8 = true;
    options.max_depth = maxDepth;
    json::value value = json::parse(json::string_view(text.data(), text.size()), error, {}, options);
    if (error == json::error::too_deep || error == json::error::exponent_overflow) {
        value = json::parse(withoutUnreadable(text), error, {}, options);
    }
    dropInfinite(value);
    return value;
}

} // namespace Rhubarbwind
