#include "platform/objectclient.h"

#include <boost/asio.hpp>

namespace Rhubarbwind
{

namespace
{

using boost::beast::http::verb;

std::string objectTarget(const std::string &key)
{
    return "/v1/objects/" + percentEncoded(key);
}

std::string listTarget(const std::string &prefix)
{
    return "/v1/objects?prefix=" + percentEncoded(prefix);
}

std::string watchTarget(const std::string &prefix, std::uint64_t after, Duration wait)
{
    const std::int64_t waitMs = std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
    return "/v1/watch?prefix=" + percentEncoded(prefix) + "&after=" + std::to_string(after) + "&wait_ms=" + std::to_string(waitMs);
}

/** The events that a watch would have returned, as far as a listing shows them. */
PlatformResult<WatchBatch> batchFromListing(const ObjectListing &listing, std::uint64_t after)
{
    WatchBatch batch;
    batch.next = listing.next;
    for (const StoredObject &object : listing.objects) {
        if (object.version > after) {
            batch.events.push_back({object.key, object.version, false});
        }
    }
    return batch;
}

HttpCall readCall(std::string target)
{
    HttpCall call;
    call.target = std::move(target);
    return call;
}

HttpCall writeCall(verb method, const std::string &key, std::string value, WriteCondition condition)
{
    HttpCall call;
    call.method = method;
    call.target = objectTarget(key);
    call.body = std::move(value);
    if (condition.kind == WriteCondition::Kind::Absent) {
        call.ifNoneMatch = "*";
    } else {
        call.ifMatch = printVersionTag(condition.version);
    }
    return call;
}

} // namespace

template <Clock ClockType>
ObjectClient<ClockType>::ObjectClient(std::shared_ptr<PlatformConnections<ClockType>> connections)
    : m_connections(std::move(connections))
{
}

template <Clock ClockType>
void ObjectClient<ClockType>::get(const std::string &key, PlatformHandler<StoredObject> handler)
{
    m_connections->call(CallKind::Read, readCall(objectTarget(key)), {}, [key, handler = std::move(handler)](PlatformResult<HttpAnswer> answer) {
        handler(answer.has_error() ? PlatformResult<StoredObject>(failure(answer.error())) : readObjectAnswer(key, std::move(answer).assume_value()));
    });
}

template <Clock ClockType>
void ObjectClient<ClockType>::put(const std::string &key, std::string value, WriteCondition condition, PlatformHandler<ObjectVersion> handler)
{
    HttpCall call = writeCall(verb::put, key, std::move(value), condition);
    m_connections->call(CallKind::Write, std::move(call), {}, [handler = std::move(handler)](const PlatformResult<HttpAnswer> &answer) {
        handler(answer.has_error() ? PlatformResult<ObjectVersion>(failure(answer.error())) : readWriteAnswer(answer.value()));
    });
}

template <Clock ClockType>
void ObjectClient<ClockType>::remove(const std::string &key, WriteCondition condition, PlatformHandler<ObjectVersion> handler)
{
    HttpCall call = writeCall(verb::delete_, key, {}, condition);
    m_connections->call(CallKind::Write, std::move(call), {}, [handler = std::move(handler)](const PlatformResult<HttpAnswer> &answer) {
        handler(answer.has_error() ? PlatformResult<ObjectVersion>(failure(answer.error())) : readWriteAnswer(answer.value()));
    });
}

template <Clock ClockType>
void ObjectClient<ClockType>::list(const std::string &prefix, PlatformHandler<std::vector<StoredObject>> handler)
{
    m_connections->call(CallKind::Read, readCall(listTarget(prefix)), {}, [handler = std::move(handler)](const PlatformResult<HttpAnswer> &answer) {
        if (answer.has_error()) {
            handler(failure(answer.error()));
            return;
        }
        PlatformResult<ObjectListing> listing = readListAnswer(answer.value());
        if (listing.has_error()) {
            handler(failure(listing.error()));
            return;
        }
        handler(std::move(listing.value().objects));
    });
}

template <Clock ClockType>
void ObjectClient<ClockType>::watch(const std::string &prefix, std::uint64_t after, Duration wait, const PlatformHandler<WatchBatch> &handler)
{
    const std::shared_ptr<PlatformConnections<ClockType>> connections = m_connections;
    const AnswerHandler onListed = [after, handler](const PlatformResult<HttpAnswer> &answer) {
        const PlatformResult<ObjectListing> listing =
            answer.has_error() ? PlatformResult<ObjectListing>(failure(answer.error())) : readListAnswer(answer.value());
        handler(listing.has_error() ? PlatformResult<WatchBatch>(failure(listing.error())) : batchFromListing(listing.value(), after));
    };
    const AnswerHandler onWatched = [connections, prefix, handler, onListed](const PlatformResult<HttpAnswer> &answer) {
        if (answer.has_value() && isWatchTooOld(answer.value())) {
            connections->call(CallKind::Read, readCall(listTarget(prefix)), {}, onListed);
            return;
        }
        handler(answer.has_error() ? PlatformResult<WatchBatch>(failure(answer.error())) : readWatchAnswer(answer.value()));
    };
    connections->call(CallKind::Watch, readCall(watchTarget(prefix, after, wait)), wait, onWatched);
}

template <Clock ClockType>
HostListClient<ClockType>::HostListClient(std::shared_ptr<PlatformConnections<ClockType>> connections)
    : m_connections(std::move(connections))
{
}

template <Clock ClockType>
void HostListClient<ClockType>::hosts(PlatformHandler<std::vector<ListedHost>> handler)
{
    m_connections->call(CallKind::Read, readCall("/v1/hosts"), {}, [handler = std::move(handler)](const PlatformResult<HttpAnswer> &answer) {
        handler(answer.has_error() ? PlatformResult<std::vector<ListedHost>>(failure(answer.error())) : readHostsAnswer(answer.value()));
    });
}

template class ObjectClient<SteadyClock>;
template class ObjectClient<ManualClock>;
template class HostListClient<SteadyClock>;
template class HostListClient<ManualClock>;

static_assert(ObjectApi<ObjectClient<SteadyClock>>);

} // namespace Rhubarbwind
