#pragma once

// What the arbiter's tests share: endpoints as plain counters, presets and tickets in one line.

#include "arbiter/arbiter.h"

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Rhubarbwind
{

/** Endpoints with so many places each; work goes where the most are free. */
struct CountedEndpoints
{
    std::size_t endpoints = 1;
    std::size_t placesEach = 1;
    bool takers = true;
    std::map<EndpointId, std::size_t> used{};
    std::vector<ServiceSample> samples{};

    std::size_t free(std::size_t index)
    {
        return placesEach - std::min(placesEach, used[idOf(index)]);
    }
    static EndpointId idOf(std::size_t index)
    {
        return EndpointId("engine-" + std::to_string(index));
    }
    std::size_t totalUsed() const
    {
        std::size_t total = 0;
        for (const auto &[id, count] : used) {
            total += count;
        }
        return total;
    }

    std::optional<EndpointChoice> choose(TimePoint, const EndpointQuery &)
    {
        std::size_t best = 0;
        for (std::size_t i = 1; i < endpoints; ++i) {
            best = free(i) > free(best) ? i : best;
        }
        return free(best) > 0 ? std::optional(EndpointChoice{idOf(best)}) : std::nullopt;
    }
    void reserve(TimePoint, const Reservation &reservation, std::span<const std::uint64_t>)
    {
        ++used[reservation.endpoint];
    }
    void free(TimePoint now, const Reservation &reservation, const ServiceSample &sample)
    {
        freeUnused(now, reservation);
        samples.push_back(sample);
    }
    void freeUnused(TimePoint, const Reservation &reservation)
    {
        --used.at(reservation.endpoint);
    }
    void update(TimePoint, std::span<const Endpoint>)
    {
    }
    std::size_t freePlaces(TimePoint)
    {
        std::size_t total = 0;
        for (std::size_t i = 0; i < endpoints; ++i) {
            total += free(i);
        }
        return takers ? total : 0;
    }
    bool hasTakers()
    {
        return takers;
    }
};

using TestArbiter = Arbiter<CountedEndpoints>;

inline ClassRule classRule(const std::string &name, std::uint8_t tier, double share = 0.02)
{
    ClassRule rule;
    rule.name = ClassId(name);
    rule.tier = Tier{tier};
    rule.minimumShare = share;
    return rule;
}

inline std::shared_ptr<PresetInForce> presetOf(std::vector<ClassRule> classes, PresetVersion version = 1)
{
    std::shared_ptr<PresetInForce> preset = std::make_shared<PresetInForce>();
    preset->version = version;
    preset->preset.classes = std::move(classes);
    return preset;
}

inline AttemptId attempt(const std::string &request)
{
    return {RequestId(request), 0};
}

inline Ticket ticketOf(const std::string &request, const std::string &classId, const std::string &customer = "c", const std::string &host = "h")
{
    Ticket ticket;
    ticket.id = attempt(request);
    ticket.entry = HostId(host);
    ticket.classId = ClassId(classId);
    ticket.customer = CustomerId(customer);
    ticket.deadlineIn = 30s;
    return ticket;
}

} // namespace Rhubarbwind
