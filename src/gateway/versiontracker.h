#pragma once

// Tracks which software versions the endpoints of each service have. Pure decision logic; performs no I/O.
//
// A version counts as serving while an endpoint of it is listed, leaving or not, and for `memory` afterwards, since streams that it began may still be
// resumed. Memory: at most maxFormerVersions versions per service that are no longer listed.

#include "base/ids.h"
#include "base/time.h"

#include <cstdint>
#include <map>
#include <vector>

namespace Rhubarbwind
{

struct VersionRow
{
    ShardId service;
    SoftwareVersion version;
    std::uint32_t endpoints = 0; ///< listed; zero for a version that has served within the memory
};

/** A service has begun or ceased to have several versions. */
struct VersionChange
{
    ShardId service;
    bool hasSeveral = false;
    std::vector<VersionRow> versions;
};

class VersionTracker
{
public:
    static constexpr std::size_t maxFormerVersions = 32;

    void setMemory(Duration memory)
    {
        m_memory = memory;
    }
    Duration memory() const
    {
        return m_memory;
    }
    void put(const EndpointId &endpoint, const ShardId &service, const SoftwareVersion &version, TimePoint now);
    void remove(const EndpointId &endpoint, TimePoint now);
    bool hasSeveral(const ShardId &service, TimePoint now) const;
    /** @return the changes since the last call */
    std::vector<VersionChange> takeChanges(TimePoint now);
    std::vector<VersionRow> rows(TimePoint now) const;

private:
    struct Version
    {
        std::uint32_t endpoints = 0;
        TimePoint lastListedAt{}; ///< valid while `endpoints` is zero
    };
    struct Service
    {
        std::map<SoftwareVersion, Version> versions;
        bool hadSeveral = false; ///< as of the last takeChanges()
    };
    struct Listed
    {
        ShardId service;
        SoftwareVersion version;
    };

    bool serves(const Version &version, TimePoint now) const
    {
        return version.endpoints > 0 || now - version.lastListedAt < m_memory;
    }
    std::vector<VersionRow> rowsOf(const ShardId &id, const Service &service, TimePoint now) const;
    void dropFormer(Service &service, TimePoint now) const;

    Duration m_memory = 30s;
    std::map<EndpointId, Listed> m_listed;
    std::map<ShardId, Service> m_services;
};

} // namespace Rhubarbwind
