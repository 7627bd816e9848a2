#pragma once

// The arbiter's side of the link with one desk: finds lost batches and says so.
//
// Batches of a desk count from 1. One that is not newer than the newest is a copy or was overtaken, and is dropped:
// what it told is either known or will be told again. A gap means loss; every answer then asks for everything until a
// batch that begins a full re-send arrives. So what the answers acknowledge was received without exception.
//
// Cost: constant. Memory: a few words a desk.

#include "arbiter/permitcodec.h"

#include <cstdint>

namespace Rhubarbwind
{

class PermitDeskPeer
{
public:
    enum class Arrival : std::uint8_t {
        Apply,
        ApplyAfterForgetting, ///< the desk began anew: what it had told before is void
        Drop,
    };

    Arrival receive(const PermitRequests &batch)
    {
        const bool isKnown = m_incarnation != 0;
        const bool isOther = batch.incarnation != m_incarnation;
        if (!isOther && batch.sequence <= m_received) {
            m_owesAnswer = true; // the copy shows that the sender may lack the answer
            return Arrival::Drop;
        }
        const bool gap = isOther || batch.sequence != m_received + 1;
        m_needComplete = !batch.complete && (m_needComplete || gap);
        m_incarnation = batch.incarnation;
        m_received = batch.sequence;
        m_owesAnswer = true;
        return isKnown && isOther ? Arrival::ApplyAfterForgetting : Arrival::Apply;
    }

    bool owesAnswer() const
    {
        return m_owesAnswer;
    }

    /** Fills in the link's part of the next answer. */
    void stamp(PermitAnswers &answers)
    {
        answers.incarnation = m_incarnation;
        answers.sequence = ++m_answered;
        answers.acknowledged = m_received;
        answers.needComplete = m_needComplete;
        m_owesAnswer = false;
    }

private:
    std::uint64_t m_incarnation = 0; ///< zero: not heard yet; desks begin at 1
    std::uint64_t m_received = 0; ///< the newest
    std::uint64_t m_answered = 0;
    bool m_needComplete = false;
    bool m_owesAnswer = false;
};

} // namespace Rhubarbwind
