// A call whose request may end the endpoints that run it.

#include "gateway/call.h"

#include "gateway/forwarding.h"

#include <boost/beast.hpp>

namespace Rhubarbwind
{

namespace http = boost::beast::http;

RequestContent Call::content() const
{
    RequestContent content;
    content.customer = m_customer ? std::string_view(m_customer->name.text()) : std::string_view();
    content.method = textOf(m_request.method_string());
    content.host = textOf(m_request[http::field::host]);
    content.target = textOf(m_request.target());
    content.body = m_request.body();
    return content;
}

const RequestIdentity &Call::identity()
{
    if (!m_identity) {
        m_identity = identityOf(content());
    }
    return *m_identity;
}

void Call::connectionBroke()
{
    const BoardEndpoint *endpoint = m_context.board.find(m_endpoint);
    // One that said that it leaves ends as it said, whatever runs there.
    if (!endpoint || endpoint->leaving) {
        return;
    }
    const TimePoint now = m_context.now();
    BrokenSend broken;
    broken.attempt = m_id;
    broken.customer = m_customer ? m_customer->name : CustomerId();
    broken.identity = identity();
    broken.shape = m_shape;
    broken.sentAt = m_sentAt;
    broken.completedLately = m_context.suspects.completedLately(content(), now);
    m_context.endings.broke(*endpoint, m_context.board.countOf(m_service), broken, now);
}

SuspectStanding Call::suspectStanding(TimePoint now)
{
    if (!m_context.suspects.mayConcern(m_shape)) {
        return {};
    }
    if (m_context.suspects.completedLately(content(), now)) {
        m_context.suspects.clear({identity(), m_shape, customerKey(content().customer)}, "completed before", now);
    }
    return m_context.suspects.standing(identity(), now);
}

bool Call::maySend(TimePoint now)
{
    const SuspectStanding standing = suspectStanding(now);
    if (standing.standing == Standing::Held) {
        turnAway(standing);
        return false;
    }
    if (standing.standing == Standing::Suspect && !m_isSuspect) {
        if (!m_context.suspects.enter(identity())) {
            answerSelf(FailureReason::OneAtATime);
            return false;
        }
        m_isSuspect = true;
    }
    return true;
}

// Failure: a request crashes its endpoint, and a second try of this system's own crashes the next one for the same attempt of its caller. The
// innocent requests that ran beside it are suspects too and lose their second try, if an endpoint ended under them before.
bool Call::maySecondTry(TimePoint now)
{
    return hasTimeLeft(now) && (!m_record.mayHaveRun() || suspectStanding(now).standing == Standing::Unsuspected);
}

void Call::reconsider(TimePoint now)
{
    const bool isUndecided = m_state == State::Connecting || (m_state == State::Sent && !m_hasBegun);
    if (!isUndecided) {
        return;
    }
    const SuspectStanding standing = suspectStanding(now);
    if (standing.standing == Standing::Held) {
        // Not begun, most likely: an endpoint drops what waits there when its connection closes.
        m_connection->cancel();
        turnAway(standing);
    }
}

void Call::turnAway(const SuspectStanding &standing)
{
    m_heldAs = standing;
    m_context.suspects.turnedAway();
    const std::string_view why = m_record.mayHaveRun() ? "endpoints ended under this request" : "not run: endpoints ended under this request";
    answerStatus(m_record.statusFor(FailureReason::EndsEndpoints), why, false);
}

} // namespace Rhubarbwind
