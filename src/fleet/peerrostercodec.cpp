#include "fleet/peerrostercodec.h"

#include "fleet/fleetmessage.h"

#include <algorithm>
#include <limits>

#include <boost/asio/ip/address_v4.hpp>

namespace Rhubarbwind
{

namespace
{

using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;

constexpr Duration ageUnit = 10ms;

std::uint16_t writeAge(Duration age)
{
    const std::int64_t units = (age + ageUnit - Duration(1)) / ageUnit;
    return static_cast<std::uint16_t>(std::clamp<std::int64_t>(units, 0, std::numeric_limits<std::uint16_t>::max()));
}

PeerAddress addressOf(std::uint32_t ip, std::uint16_t port)
{
    return {boost::asio::ip::address_v4(ip).to_string(), port};
}

} // namespace

Fbs::PeerPlace writePlace(const PeerAddress &address)
{
    boost::system::error_code error;
    const boost::asio::ip::address_v4 ip = boost::asio::ip::make_address_v4(address.ip, error);
    return {error ? 0 : ip.to_uint(), address.port};
}

PeerAddress readPlace(const Fbs::PeerPlace &place)
{
    return addressOf(place.ip(), place.port());
}

std::uint32_t millisecondsOf(Duration age)
{
    const std::int64_t milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(age).count();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(milliseconds, 0, std::numeric_limits<std::uint32_t>::max()));
}

Offset<Fbs::PeerRoster> writeRoster(FlatBufferBuilder &builder, const PeerRoster &roster)
{
    std::vector<Fbs::RosterEntry> entries;
    entries.reserve(roster.entries.size());
    for (const RosterEntry &entry : roster.entries) {
        const Fbs::PeerPlace place = writePlace(entry.address);
        entries.emplace_back(place.ip(), entry.incarnation, place.port(), writeAge(entry.age), entry.domain, entry.leaving, entry.down);
    }
    std::vector<Fbs::WatchAge> watches;
    for (const WatchAge &watch : roster.watches) {
        watches.emplace_back(watch.newest, millisecondsOf(watch.age));
    }
    const Offset<flatbuffers::Vector<Offset<flatbuffers::String>>> domainsAt = builder.CreateVectorOfStrings(roster.domains);
    const Offset<flatbuffers::Vector<const Fbs::RosterEntry *>> entriesAt = builder.CreateVectorOfStructs(entries);
    const Offset<flatbuffers::Vector<const Fbs::WatchAge *>> watchesAt = builder.CreateVectorOfStructs(watches);
    const Fbs::PeerPlace dutyPlace = roster.duty ? writePlace(roster.duty->address) : Fbs::PeerPlace();
    return Fbs::CreatePeerRoster(builder,
                                 roster.hosts,
                                 domainsAt,
                                 entriesAt,
                                 watchesAt,
                                 roster.duty ? roster.duty->number : 0,
                                 roster.duty ? &dutyPlace : nullptr,
                                 roster.duty ? millisecondsOf(roster.duty->age) : 0);
}

std::optional<PeerRoster> readRoster(const Fbs::PeerRoster &read)
{
    const bool isWhole = read.domains() != nullptr && read.entries() != nullptr && read.watches() != nullptr;
    if (!isWhole || read.domains()->size() > maxRosterDomains || read.entries()->size() > maxRosterEntries || read.watches()->size() > maxTopics) {
        return std::nullopt;
    }
    PeerRoster roster;
    roster.hosts = read.hosts();
    for (const flatbuffers::String *domain : *read.domains()) {
        if (domain->size() > longestDomain) {
            return std::nullopt;
        }
        roster.domains.push_back(domain->str());
    }
    for (const Fbs::RosterEntry *entry : *read.entries()) {
        if (entry->domain() >= roster.domains.size() || entry->port() == 0) {
            return std::nullopt;
        }
        roster.entries.push_back(
            {addressOf(entry->ip(), entry->port()), entry->life(), ageUnit * entry->age_10ms(), entry->domain(), entry->leaving(), entry->gone()});
    }
    for (const Fbs::WatchAge *watch : *read.watches()) {
        roster.watches.push_back({watch->newest(), std::chrono::milliseconds(watch->age_ms())});
    }
    if (read.duty() != 0 && read.duty_place() != nullptr) {
        roster.duty = DutyClaim{readPlace(*read.duty_place()), read.duty(), std::chrono::milliseconds(read.duty_age_ms())};
    }
    return roster;
}

} // namespace Rhubarbwind
