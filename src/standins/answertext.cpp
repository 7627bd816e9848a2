#include "standins/answertext.h"

// A token is "<run>:<number>:<hash> ", all in hex except the number. The closing space separates tokens however the text is split into chunks.

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>

namespace Rhubarbwind
{

namespace
{

constexpr std::string_view markerOpen = "[[len=";
constexpr std::string_view markerClose = "]]";
constexpr std::string_view markerId = " id=";
constexpr std::string_view markerReproducible = " reproducible";
/** Maximum length of a token: eight hex digits, ten digits, eight hex digits and the separators. */
constexpr std::size_t maxTokenLength = 32;

std::uint64_t digestOf(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::uint32_t tokenHash(const AnswerKey &key, std::uint32_t number)
{
    const std::array<std::uint64_t, 2> input{(std::uint64_t{key.run} << 32U) | number, key.promptDigest};
    return static_cast<std::uint32_t>(XXH3_64bits(input.data(), sizeof(input)));
}

/** Parses a number at the front and removes it together with one separator. */
std::optional<std::uint32_t> takeNumber(std::string_view &text, int base)
{
    std::uint32_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, base);
    if (error != std::errc()) {
        return std::nullopt;
    }
    text.remove_prefix(static_cast<std::size_t>(end - text.data()));
    if (!text.empty() && text.front() == ':') {
        text.remove_prefix(1);
    }
    return value;
}

} // namespace

AnswerMarker readMarker(std::string_view prompt)
{
    const std::size_t open = prompt.rfind(markerOpen);
    if (open == std::string_view::npos) {
        return {};
    }
    std::string_view rest = prompt.substr(open + markerOpen.size());
    const std::size_t close = rest.find(markerClose);
    if (close == std::string_view::npos) {
        return {};
    }
    rest = rest.substr(0, close);
    const std::optional<std::uint32_t> tokens = takeNumber(rest, 10);
    if (!tokens || *tokens == 0) {
        return {};
    }
    AnswerMarker marker;
    marker.tokens = std::min(*tokens, maxAnswerTokens);
    marker.reproducible = rest.ends_with(markerReproducible);
    if (marker.reproducible) {
        rest.remove_suffix(markerReproducible.size());
    }
    if (rest.starts_with(markerId)) {
        marker.id = std::string(rest.substr(markerId.size()));
    }
    return marker;
}

std::string markerText(const AnswerMarker &marker)
{
    std::string text(markerOpen);
    text += std::to_string(marker.tokens);
    text += markerId;
    text += marker.id;
    if (marker.reproducible) {
        text += markerReproducible;
    }
    text += markerClose;
    return text;
}

AnswerKey answerKey(std::string_view prompt, const AnswerMarker &marker, std::string_view runId)
{
    AnswerKey key;
    key.promptDigest = digestOf(prompt, 0);
    if (!marker.reproducible) {
        key.run = std::max<std::uint32_t>(1, static_cast<std::uint32_t>(digestOf(runId, 1)));
    }
    return key;
}

std::string answerToken(const AnswerKey &key, std::uint32_t number)
{
    std::array<char, maxTokenLength> text{};
    const int length = std::snprintf(text.data(), text.size(), "%x:%u:%x ", key.run, number, tokenHash(key, number));
    return {text.data(), static_cast<std::size_t>(length)};
}

std::string_view answerFaultName(AnswerFault fault)
{
    switch (fault) {
    case AnswerFault::Malformed:
        return "malformed";
    case AnswerFault::WrongNumber:
        return "wrong-number";
    case AnswerFault::OtherAnswer:
        return "other-answer";
    case AnswerFault::OtherRun:
        return "other-run";
    }
    return "";
}

AnswerChecker::AnswerChecker(std::string_view prompt)
    : m_marker(readMarker(prompt))
    , m_promptDigest(digestOf(prompt, 0))
{
}

Result<void, AnswerFault> AnswerChecker::take(std::string_view text)
{
    while (!text.empty()) {
        const std::size_t space = text.find(' ');
        m_partial += text.substr(0, space);
        if (space == std::string_view::npos) {
            return m_partial.size() > maxTokenLength ? Result<void, AnswerFault>(AnswerFault::Malformed) : success();
        }
        text.remove_prefix(space + 1);
        const std::string token = std::move(m_partial);
        m_partial.clear();
        const Result<void, AnswerFault> taken = takeToken(token);
        if (!taken) {
            return taken;
        }
    }
    return success();
}

Result<void, AnswerFault> AnswerChecker::takeToken(std::string_view token)
{
    const std::optional<std::uint32_t> run = takeNumber(token, 16);
    const std::optional<std::uint32_t> number = takeNumber(token, 10);
    const std::optional<std::uint32_t> hash = takeNumber(token, 16);
    if (!run || !number || !hash || !token.empty()) {
        return AnswerFault::Malformed;
    }
    if (*hash != tokenHash({m_promptDigest, *run}, *number) || m_marker.reproducible != (*run == 0)) {
        return AnswerFault::OtherAnswer;
    }
    if (m_run && *m_run != *run) {
        return AnswerFault::OtherRun;
    }
    if (*number != m_tokens + 1 || *number > m_marker.tokens) {
        return AnswerFault::WrongNumber;
    }
    m_run = run;
    m_tokens = *number;
    return success();
}

std::vector<std::uint64_t> cacheBlocks(std::string_view prompt)
{
    std::vector<std::uint64_t> digests;
    digests.reserve(prompt.size() / cacheBlockBytes);
    std::uint64_t previous = 0;
    for (std::size_t at = 0; at + cacheBlockBytes <= prompt.size(); at += cacheBlockBytes) {
        previous = digestOf(prompt.substr(at, cacheBlockBytes), previous);
        digests.push_back(previous);
    }
    return digests;
}

std::string digestHex(std::uint64_t digest)
{
    std::array<char, 17> text{};
    std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(digest));
    return text.data();
}

} // namespace Rhubarbwind
