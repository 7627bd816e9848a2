#pragma once

// A conditional write whose lost answers are resolved, as a decision without I/O.
//
// The platform may apply a write and lose the answer. The value therefore carries the id of the operation that
// wrote it. After an Unknown the object is read back: our id means that it was applied; an object still at the
// condition means that it was not, and the same write goes out again; anything else means that somebody else
// won, and no late arrival of ours can change that, since the condition cannot hold any more. (For a condition
// "absent" this needs the object not to be removed meanwhile.)
//
// One case stays open: ours was applied and then replaced before we read back. The result is then Lost with
// `mayHaveApplied` set; a caller that must know keeps a history and looks there (see preset/presetswitch.h).
//
// Use: call start(), carry out the step, feed the result back, until the step is Done; ResolvedWriteSession
// (resolvedwritesession.h) does just that. The time limit bounds the whole; waits double with full jitter, so
// that hosts do not come back together after an outage.

#include "base/backoff.h"
#include "base/ids.h"
#include "platform/objectapi.h"

#include <functional>
#include <optional>
#include <string>

namespace Rhubarbwind
{

/** The operation id inside a stored value; empty when the value holds none or cannot be read. */
using FindOperation = std::function<OperationId(std::string_view value)>;

struct WriteRequest
{
    std::string key;
    std::string value;
    WriteCondition condition;
    OperationId operation; ///< must be found in the value
};

struct ResolvedWriteLimits
{
    Duration total = 10s; ///< from start to the last new call
    Duration firstWait = 20ms;
    Duration longestWait = 1s;
};

enum class WriteOutcome : std::uint8_t {
    Applied,
    Lost, ///< the condition does not hold; `current` tells what does
    Refused, ///< the platform refused the write; nothing was written
    NotSent, ///< the platform could not be reached in time; nothing was written
    Unresolved, ///< sent, and no read back in time: it may have been applied
};

struct WriteResult
{
    WriteOutcome outcome = WriteOutcome::Unresolved;
    ObjectVersion version = 0; ///< with Applied
    std::optional<StoredObject> current; ///< with Lost, when the object exists and could be read
    bool mayHaveApplied = false; ///< with Lost: ours may have been applied and replaced since
};

struct WriteStep
{
    enum class Kind : std::uint8_t {
        Put, ///< put request(); then onWritten
        Get, ///< get request().key; then onRead
        Wait, ///< then onWaited
        Done, ///< see result()
    } kind = Kind::Done;
    Duration wait{};
};

class ResolvedWrite
{
public:
    ResolvedWrite(WriteRequest request, FindOperation findOperation, ResolvedWriteLimits limits, std::uint64_t seed);

    WriteStep start(TimePoint now);
    WriteStep onWritten(const PlatformResult<ObjectVersion> &result, TimePoint now);
    WriteStep onRead(const PlatformResult<StoredObject> &result, TimePoint now);
    WriteStep onWaited(TimePoint now);

    const WriteRequest &request() const
    {
        return m_request;
    }
    const WriteResult &result() const
    {
        return m_result;
    }

private:
    WriteStep step(WriteStep::Kind kind);
    WriteStep waitThen(WriteStep::Kind kind, TimePoint now);
    WriteStep done(WriteOutcome outcome);
    WriteStep lost(std::optional<StoredObject> current);
    WriteStep outOfTime();
    bool stillAtCondition(const StoredObject &object) const;

    WriteRequest m_request;
    FindOperation m_findOperation;
    ResolvedWriteLimits m_limits;
    Random m_random;
    Backoff m_backoff;
    TimePoint m_endBy;
    WriteStep::Kind m_afterWait = WriteStep::Kind::Put;
    WriteResult m_result;
    bool m_mayHaveApplied = false; ///< an earlier put ended Unknown
    bool m_conditionFailed = false; ///< the platform said so
};

} // namespace Rhubarbwind
