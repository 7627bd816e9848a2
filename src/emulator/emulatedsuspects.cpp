#include "emulator/emulatedsuspects.h"

namespace Rhubarbwind
{

namespace
{

// A look at the break, and the way to all hosts.
constexpr Duration newsTime = 80ms;

} // namespace

void EmulatedSuspects::deliver(TimePoint now)
{
    while (!m_news.empty() && m_news.front().at <= now) {
        m_book.addCrash(m_news.front().suspect, m_news.front().ending, now);
        m_news.pop_front();
    }
}

SuspectState EmulatedSuspects::state(std::uint64_t request, TimePoint now)
{
    deliver(now);
    return m_book.state(suspectOf(request).identity, now).state;
}

std::vector<std::uint32_t> EmulatedSuspects::placesOf(std::uint64_t request) const
{
    std::vector<std::uint32_t> places;
    for (const Crash &ending : m_book.crashes(suspectOf(request).identity)) {
        places.push_back(ending.addressDigest);
    }
    return places;
}

void EmulatedSuspects::addCrash(std::uint64_t request, std::size_t engine, const InterruptedRun &run, TimePoint now)
{
    m_history.ended(run.incarnationKey, now);
    std::vector<std::uint64_t> own;
    for (const Crash &before : m_book.crashes(suspectOf(request).identity)) {
        own.push_back(before.incarnationKey);
    }
    const float chance = static_cast<float>(m_history.chanceOf(run, own, now));
    m_news.push_back({now + newsTime, suspectOf(request), {run.incarnationKey, static_cast<std::uint32_t>(engine), now, chance}});
}

void EmulatedSuspects::completed(std::uint64_t request, TimePoint now)
{
    deliver(now);
    if (m_book.knowsShape(request)) {
        m_book.markCleared(suspectOf(request), now, now);
    }
}

} // namespace Rhubarbwind
