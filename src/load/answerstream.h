#pragma once

// Reads an event stream as it arrives and judges it: is it this caller's whole answer, and what was the outcome?
//
// A plain class: text goes in with the time it came, nothing else. Tokens are checked one by one against the
// prompt (standins/answertext.h). Bounds: one event at most maxEventBytes.

#include "base/result.h"
#include "base/time.h"
#include "standins/answertext.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Rhubarbwind
{

inline constexpr std::size_t maxEventBytes = 256 * 1024;

enum class StreamFault : std::uint8_t {
    BadEvent, ///< not an event of the published shape
    BadEventId, ///< ids do not count the tokens
    WrongToken, ///< see AnswerFault
};

class AnswerStream
{
public:
    AnswerStream(std::string_view prompt, TimePoint sent)
        : m_checker(prompt)
        , m_sent(sent)
    {
    }

    Result<void, StreamFault> take(std::string_view text, TimePoint now);

    bool isWhole() const
    {
        return m_done && m_checker.isWhole();
    }
    std::uint32_t tokens() const
    {
        return m_checker.tokens();
    }
    /** From sending to the first token; none before it. */
    std::optional<Duration> firstToken() const
    {
        return m_firstToken;
    }
    /** The 95th percentile of the time between tokens; zero with fewer than two. */
    Duration interTokenP95() const;
    /** What the stream's final event said; empty when it said nothing. */
    const std::string &outcome() const
    {
        return m_outcome;
    }
    const std::string &errorType() const
    {
        return m_errorType;
    }

private:
    Result<void, StreamFault> takeEvent(std::string_view event, TimePoint now);
    Result<void, StreamFault> takeData(std::string_view data, TimePoint now);
    void noteTokens(std::uint32_t before, TimePoint now);

    AnswerChecker m_checker;
    TimePoint m_sent;
    TimePoint m_lastToken;
    std::optional<Duration> m_firstToken;
    std::vector<Duration> m_gaps;
    std::string m_pending;
    std::string m_outcome;
    std::string m_errorType;
    std::uint32_t m_eventId = 0;
    bool m_done = false;
};

} // namespace Rhubarbwind
