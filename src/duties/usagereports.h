#pragma once

// Which report of usage is fixed, sent and left out, and when. A decision without I/O.
//
// A window may be reported once, or again with exactly the same counts; a second report with others does harm, a missing one little. So what
// is to be sent is written into the lease's note first (placement/lease.h), under the lease's own condition, and only what the platform has
// acknowledged there is sent. Whoever holds the lease next finds it and sends just that again. The note also names the last
// window that is done with, in any way; only later ones are fixed.
//
// What nobody can know is left out: without a note (the lease was new, gone, or the store came back from a copy that had none or an older
// one), all windows up to the one in which the lease was taken; and windows that are older than they may be when they arrive.
//
// Use: onLeaseHeld() while the lease is held, with what the platform acknowledged; next() says what to do; sent() ends a send. Cost: one write of
// the lease a window, that would have been a renewal; its size is that of one report or two.

#include "base/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Rhubarbwind
{

struct UsageReport
{
    std::uint64_t window = 0;
    std::map<std::string, std::uint64_t> counts; ///< requests begun, by customer
    friend bool operator==(const UsageReport &, const UsageReport &) = default;
};

struct UsageState
{
    std::uint64_t era = 0; ///< of the store in which it was written
    std::uint64_t through = 0; ///< last window that is done with: fixed at some time, or left out
    std::vector<UsageReport> fixed; ///< not known to have arrived
    friend bool operator==(const UsageState &, const UsageState &) = default;
};

std::string formatUsageState(const UsageState &note);
/** @return none for a text that is no note */
std::optional<UsageState> parseUsageState(std::string_view text);

struct UsageReportOptions
{
    Duration window = 5s;
    Duration due = 10s; ///< after a window's end its report is worth nothing
    Duration settle = 2s; ///< after a window's end in which late tellings are waited for
    Duration retry = 400ms; ///< after a report that was not accepted
};

/** A window that is left out, and why. */
enum class SkipReason : std::uint8_t {
    NoState, ///< nobody knows whether it was sent
    TooLate,
};

class UsageReports
{
public:
    explicit UsageReports(const UsageReportOptions &options)
        : m_options(options)
    {
    }

    /** The lease is held under this number. @param acknowledged the note as it stands at the platform  @param nowMs true time */
    void onLeaseHeld(std::uint64_t number, const std::string &acknowledged, std::int64_t nowMs);
    /** The lease is not held: nothing is fixed or sent. */
    void onLeaseLost();

    /** A window that ended and has settled: give its counts to fix(). */
    std::optional<std::uint64_t> toFix(std::int64_t nowMs);
    void fix(UsageReport report);
    /** What the lease's note is to be; none while nothing was fixed since. A report that has arrived leaves it with the next one. */
    std::optional<std::string> wantedState() const
    {
        const bool isSame = m_wanted.through == m_acknowledged.through && m_wanted.era == m_acknowledged.era;
        return isSame ? std::nullopt : std::optional(formatUsageState(m_wanted));
    }
    /** A report that the platform has as fixed, due now. */
    std::optional<UsageReport> toSend(TimePoint now) const;
    void sent(std::uint64_t window, bool accepted, TimePoint now);

    /** Windows left out since the last call. */
    std::vector<std::pair<std::uint64_t, SkipReason>> takeSkipped();

private:
    std::int64_t endOf(std::uint64_t window) const;
    void leaveOut(std::uint64_t window, SkipReason why);

    UsageReportOptions m_options;
    std::uint64_t m_number = 0; ///< zero: not held
    UsageState m_acknowledged;
    UsageState m_wanted;
    TimePoint m_retryAt{};
    std::vector<std::pair<std::uint64_t, SkipReason>> m_leftOut;
};

} // namespace Rhubarbwind
