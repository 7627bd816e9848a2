#pragma once

// Single objects of one kind in a store that speaks a dialect of its own: read, and written under a condition.
//
// get() and put() are those of the ObjectApi concept, so what is built on that serves here too. An answer that can't be read proves
// nothing of a write: it ends Unknown. Cost: one call each, through the host's PlatformConnections.

#include "platform/platformconnections.h"

#include <memory>
#include <string>
#include <string_view>

namespace Rhubarbwind
{

/** How one object is asked for and how answers are read: pure functions. */
struct ObjectCodec
{
    HttpCall (*getCall)(std::string_view kind, std::string_view name) = nullptr;
    HttpCall (*putCall)(std::string_view kind, std::string_view name, std::string_view value, WriteCondition condition) = nullptr;
    PlatformResult<StoredObject> (*readObject)(const HttpAnswer &answer) = nullptr; ///< of reads and of writes
};

template <Clock ClockType>
class ObjectSession
{
public:
    ObjectSession(std::shared_ptr<PlatformConnections<ClockType>> connections, ObjectCodec codec, std::string kind)
        : m_connections(std::move(connections))
        , m_codec(codec)
        , m_kind(std::move(kind))
    {
    }

    void get(const std::string &name, PlatformHandler<StoredObject> handler)
    {
        m_connections->call(CallKind::Read, m_codec.getCall(m_kind, name), Duration::zero(), reading(std::move(handler)));
    }

    void put(const std::string &name, const std::string &value, WriteCondition condition, PlatformHandler<ObjectVersion> handler)
    {
        const PlatformHandler<StoredObject> onObject = [handler = std::move(handler)](PlatformResult<StoredObject> result) {
            handler(result.has_error() ? PlatformResult<ObjectVersion>(failure(result.error())) : PlatformResult<ObjectVersion>(result.value().version));
        };
        m_connections->call(CallKind::Write, m_codec.putCall(m_kind, name, value, condition), Duration::zero(), reading(onObject));
    }

private:
    AnswerHandler reading(PlatformHandler<StoredObject> handler) const
    {
        return [read = m_codec.readObject, handler = std::move(handler)](PlatformResult<HttpAnswer> answer) {
            handler(answer.has_error() ? PlatformResult<StoredObject>(failure(answer.error())) : read(answer.value()));
        };
    }

    std::shared_ptr<PlatformConnections<ClockType>> m_connections;
    ObjectCodec m_codec;
    std::string m_kind;
};

} // namespace Rhubarbwind
