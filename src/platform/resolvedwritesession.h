#pragma once

// Drives a ResolvedWrite over an ObjectApi: carries out its steps and hands the result to a handler, once.
//
// Use: std::make_shared<ResolvedWriteSession<ClockType, Api>>(executor, api, decision)->run(handler). The
// session keeps itself alive until the handler was called; `api` must outlive it.

#include "base/sessiontimer.h"
#include "platform/resolvedwrite.h"

#include <boost/asio/any_io_executor.hpp>

#include <memory>

namespace Rhubarbwind
{

template <Clock ClockType, ObjectApi Api>
class ResolvedWriteSession : public std::enable_shared_from_this<ResolvedWriteSession<ClockType, Api>>
{
public:
    using Handler = std::function<void(const WriteResult &)>;

    ResolvedWriteSession(const boost::asio::any_io_executor &executor, Api &api, ResolvedWrite decision)
        : m_timer(executor)
        , m_api(api)
        , m_decision(std::move(decision))
    {
    }

    void run(Handler handler)
    {
        m_handler = std::move(handler);
        carryOut(m_decision.start(ClockType::now()));
    }

private:
    void carryOut(WriteStep step)
    {
        switch (step.kind) {
        case WriteStep::Kind::Put:
            put();
            return;
        case WriteStep::Kind::Get:
            get();
            return;
        case WriteStep::Kind::Wait:
            wait(step.wait);
            return;
        case WriteStep::Kind::Done:
            m_handler(m_decision.result());
            return;
        }
    }

    void put()
    {
        const WriteRequest &request = m_decision.request();
        m_api.put(request.key, request.value, request.condition, [self = this->shared_from_this()](const PlatformResult<ObjectVersion> &result) {
            self->carryOut(self->m_decision.onWritten(result, ClockType::now()));
        });
    }

    void get()
    {
        m_api.get(m_decision.request().key, [self = this->shared_from_this()](const PlatformResult<StoredObject> &result) {
            self->carryOut(self->m_decision.onRead(result, ClockType::now()));
        });
    }

    void wait(Duration duration)
    {
        m_timer.expires_after(duration);
        m_timer.async_wait([self = this->shared_from_this()](const boost::system::error_code &error) {
            if (!error) {
                self->carryOut(self->m_decision.onWaited(ClockType::now()));
            }
        });
    }

    SessionTimer<ClockType> m_timer;
    Api &m_api;
    ResolvedWrite m_decision;
    Handler m_handler;
};

} // namespace Rhubarbwind
