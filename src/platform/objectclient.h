#pragma once

// The object API over HTTP. Meets the concept ObjectApi; see objectapi.h for what each result means.
//
// Use: make one PlatformConnections a process, and an ObjectClient and a HostListClient on it. A client is a
// handle: cheap to copy, and calls under way outlive it. Every handler is called exactly once, never from
// within the call that took it.
//
// A watch from a revision that the platform's log no longer holds is answered by a listing instead: one event
// for each object of the prefix that is newer than asked. Removals in the gap are not told; a caller that
// needs them must list itself.

#include "platform/platformconnections.h"

namespace Rhubarbwind
{

template <Clock ClockType>
class ObjectClient
{
public:
    explicit ObjectClient(std::shared_ptr<PlatformConnections<ClockType>> connections);

    void get(const std::string &key, PlatformHandler<StoredObject> handler);
    void put(const std::string &key, std::string value, WriteCondition condition, PlatformHandler<ObjectVersion> handler);
    /** The condition must name a version; the platform refuses any other. */
    void remove(const std::string &key, WriteCondition condition, PlatformHandler<ObjectVersion> handler);
    void list(const std::string &prefix, PlatformHandler<std::vector<StoredObject>> handler);
    void watch(const std::string &prefix, std::uint64_t after, Duration wait, PlatformHandler<WatchBatch> handler);

private:
    std::shared_ptr<PlatformConnections<ClockType>> m_connections;
};

/** The platform's host list, which lags behind the truth. */
template <Clock ClockType>
class HostListClient
{
public:
    explicit HostListClient(std::shared_ptr<PlatformConnections<ClockType>> connections);

    void hosts(PlatformHandler<std::vector<ListedHost>> handler);

private:
    std::shared_ptr<PlatformConnections<ClockType>> m_connections;
};

} // namespace Rhubarbwind
