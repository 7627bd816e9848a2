#pragma once

// LedgerHost is one host's part in the ledger: a LedgerClient for the requests that entered here, and a LedgerWriter for each shard that
// rendezvous hashing assigns to this host. Satisfies ClaimPort.
//
// Guarantees: see LedgerClient for what a caller's answer means and LedgerWriter for at-most-once. Claims that arrive in the same event loop
// turn are sent together. A host that loses a shard stops writing for it. It needn't know when the next owner starts, since the segment
// numbers fence it off.
//
// Use: create with std::make_shared, start() once, setHosts() at each change of the live hosts, stop() at the end. The hosts include this one
// while it may own shards; leave it out to hand its shards over before a planned stop. The object API, the transport and the
// event loop must outlive it. Handlers are called from the event loop, never from within claim().
//
// Cost: one frame a shard and event loop turn to the owner and one back; platform calls as in LedgerWriter.

#include "base/requestid.h"
#include "base/sessiontimer.h"
#include "ledger/claimport.h"
#include "ledger/ledgerclient.h"
#include "ledger/ledgerwriter.h"
#include "telemetry/log.h"
#include "wire/peernetwork.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <memory>

namespace Rhubarbwind
{

struct LedgerHostOptions
{
    HostId self;
    std::uint32_t shards = 4; ///< must be the same on every host
    LedgerWriterOptions writer;
    Duration resendAfter = 300ms;
    std::size_t maximumClaims = 10'000; ///< open, running and ending claims of this host
    std::uint64_t seed = 0; ///< seed of the backoff's jitter; 0: derived from the process id
};

struct LedgerHostStatus
{
    LedgerClientStatus desk;
    std::map<std::uint32_t, LedgerWriterStatus> writers; ///< by shard, for the shards that this host serves
};

/** Parses a segment as the platform stores it; empty when the object is not a valid segment of the shard. */
std::optional<StoredSegment> storedSegment(std::uint32_t shard, const StoredObject &object);
/** Parses a listing; empty when a segment in it is invalid. Objects under other keys are skipped. */
std::optional<std::vector<StoredSegment>> storedSegments(std::uint32_t shard, const std::vector<StoredObject> &objects);

template <Clock ClockType, ObjectApi Api, PeerTransport Transport>
class LedgerHost : public std::enable_shared_from_this<LedgerHost<ClockType, Api, Transport>>
{
public:
    LedgerHost(boost::asio::io_context &context, Api &api, Transport &transport, const LedgerHostOptions &options)
        : LedgerHost(context, api, transport, options, freshId())
    {
    }

    void start()
    {
        m_transport.onFrame(MessageKind::ClaimRequests, frameHandler(&LedgerHost::receiveRequests));
        m_transport.onFrame(MessageKind::ClaimAnswers, frameHandler(&LedgerHost::receiveAnswers));
    }

    void setHosts(std::span<const HostId> live)
    {
        m_live.assign(live.begin(), live.end());
        m_client.setHosts(live);
        for (std::uint32_t shard = 0; shard < m_options.shards; ++shard) {
            assignShard(shard, m_client.owner(shard) == m_options.self);
        }
        schedulePump();
    }

    /** Calls onAnswer exactly once, at the latest when the deadline passes or on stop(). */
    void claim(const ClaimKey &key, const RequestId &request, Duration deadlineIn, ClaimHandler onAnswer)
    {
        const ClaimToken token = m_client.claim(key, request, deadlineIn, ClockType::now());
        m_handlers.emplace(token, std::move(onAnswer));
        schedulePump();
    }

    /** Must be called after every grant, so that repeats receive the final state. */
    void finish(const ClaimKey &key, const RequestId &request, ClaimState state)
    {
        m_client.finish(key, request, state);
        schedulePump();
    }

    LedgerHostStatus status() const
    {
        LedgerHostStatus status{m_client.status(), {}};
        for (const auto &[shard, writer] : m_writers) {
            status.writers[shard] = writer.status();
        }
        return status;
    }

    /** True when no claim is open, running or waiting for its end to become durable: a planned stop may proceed. */
    bool isQuiet() const
    {
        const LedgerClientStatus status = m_client.status();
        return status.open + status.running + status.ending == 0;
    }

    void stop()
    {
        m_stopped = true;
        m_timer.cancel();
        for (const auto &[token, handler] : std::exchange(m_handlers, {})) {
            handler({ClaimResult::Unavailable, {}, {}, {}});
        }
    }

private:
    LedgerHost(boost::asio::io_context &context, Api &api, Transport &transport, const LedgerHostOptions &options, const std::string &process)
        : m_context(context)
        , m_api(api)
        , m_transport(transport)
        , m_options(options)
        , m_process(process)
        , m_random(options.seed != 0 ? options.seed : std::hash<std::string>()(process))
        , m_client({options.self, process, options.shards, options.resendAfter, options.maximumClaims})
        , m_timer(context)
    {
    }

    FrameHandler frameHandler(void (LedgerHost::*receive)(const HostId &, std::span<const std::byte>))
    {
        return [weak = this->weak_from_this(), receive](const HostId &from, std::span<const std::byte> payload) {
            const std::shared_ptr<LedgerHost> self = weak.lock();
            if (self && !self->m_stopped) {
                ((*self).*receive)(from, payload);
            }
        };
    }

    void receiveRequests(const HostId &from, std::span<const std::byte> payload)
    {
        const Result<LedgerRequests, LedgerFrameError> requests = decodeRequests(from, payload);
        if (!requests) {
            m_log.warn("dropped a malformed claim frame from " + from.text());
            return;
        }
        takeRequests(from, requests.value());
    }

    void receiveAnswers(const HostId &from, std::span<const std::byte> payload)
    {
        const Result<std::vector<LedgerAnswer>, LedgerFrameError> answers = decodeAnswers(payload);
        if (!answers) {
            m_log.warn("dropped a malformed answer frame from " + from.text());
            return;
        }
        for (const LedgerAnswer &answer : answers.value()) {
            m_client.receive(answer, ClockType::now());
        }
        schedulePump();
    }

    /** Drops claims and ends for a shard that this host has no writer for: the client resends them once both hosts agree on the owner. */
    void takeRequests(const HostId &from, const LedgerRequests &requests)
    {
        const auto writer = m_writers.find(requests.shard);
        if (writer == m_writers.end()) {
            return;
        }
        const TimePoint now = ClockType::now();
        for (const ClaimRequest &request : requests.claims) {
            writer->second.claim(request, now);
        }
        for (const ClaimEnd &end : requests.ends) {
            writer->second.end(from, end, now);
        }
        schedulePump();
    }

    void assignShard(std::uint32_t shard, bool own)
    {
        const auto found = m_writers.find(shard);
        if (own && found == m_writers.end()) {
            m_log.info("starts writing shard " + std::to_string(shard));
            m_writers.try_emplace(shard, m_process + "/" + std::to_string(shard), m_options.writer);
        } else if (own) {
            found->second.resume();
        } else if (found != m_writers.end()) {
            found->second.retire();
        }
        if (own) {
            m_writers.at(shard).setLive(m_live);
        }
    }

    void schedulePump()
    {
        if (std::exchange(m_pumpScheduled, true)) {
            return;
        }
        boost::asio::post(m_context, [self = this->shared_from_this()] { self->pump(); });
    }

    void pump()
    {
        m_pumpScheduled = false;
        if (m_stopped) {
            return;
        }
        deliverAnswers();
        sendRequests();
        driveWriters();
        armTimer();
    }

    void deliverAnswers()
    {
        for (const TokenAnswer &answer : m_client.takeAnswers(ClockType::now())) {
            const auto found = m_handlers.find(answer.token);
            if (found == m_handlers.end()) {
                m_log.error("answered a claim twice; the second answer was dropped");
                continue;
            }
            const ClaimHandler handler = std::move(found->second);
            m_handlers.erase(found);
            handler(answer.answer);
        }
    }

    void sendRequests()
    {
        for (const OutgoingRequests &message : m_client.takeMessages(ClockType::now())) {
            if (message.to == m_options.self) {
                takeRequests(message.to, message.requests);
            } else {
                send(message.to, MessageKind::ClaimRequests, encodeRequests(message.requests));
            }
        }
    }

    void send(const HostId &to, MessageKind kind, std::vector<std::byte> payload)
    {
        const Result<void, SendError> sent = m_transport.send(to, kind, std::move(payload));
        if (!sent) {
            m_log.debug("could not send to " + to.text() + "; the message will be resent");
        }
    }

    void driveWriters()
    {
        std::map<HostId, std::vector<LedgerAnswer>> answers;
        for (auto &[shard, writer] : m_writers) {
            const TimePoint now = ClockType::now();
            if (const std::optional<LedgerCall> call = writer.nextCall(now)) {
                startCall(shard, *call);
            }
            if (const std::optional<SegmentRemoval> removal = writer.nextRemoval(now)) {
                startRemoval(shard, *removal);
            }
            for (AddressedAnswer &answer : writer.takeAnswers()) {
                answers[answer.to].push_back(std::move(answer.answer));
            }
        }
        std::erase_if(m_writers, [this](const auto &entry) { return entry.second.isIdle() && m_client.owner(entry.first) != m_options.self; });
        for (const auto &[to, batch] : answers) {
            sendAnswers(to, batch);
        }
    }

    void sendAnswers(const HostId &to, std::span<const LedgerAnswer> answers)
    {
        if (to == m_options.self) {
            for (const LedgerAnswer &answer : answers) {
                m_client.receive(answer, ClockType::now());
            }
            schedulePump();
            return;
        }
        for (std::size_t first = 0; first < answers.size(); first += maxEntriesPerFrame) {
            const std::size_t count = std::min(maxEntriesPerFrame, answers.size() - first);
            send(to, MessageKind::ClaimAnswers, encodeAnswers(answers.subspan(first, count)));
        }
    }

    void startCall(std::uint32_t shard, const LedgerCall &call)
    {
        switch (call.kind) {
        case LedgerCallKind::List:
            m_api.list(segmentPrefix(shard),
                       [self = this->shared_from_this(), shard](const PlatformResult<std::vector<StoredObject>> &result) { self->finishList(shard, result); });
            return;
        case LedgerCallKind::ReadBack:
            m_api.get(segmentKey(shard, call.number),
                      [self = this->shared_from_this(), shard](const PlatformResult<StoredObject> &result) { self->finishReadBack(shard, result); });
            return;
        case LedgerCallKind::Append:
            m_api.put(segmentKey(shard, call.number),
                      formatSegment(call.segment),
                      WriteCondition::absent(),
                      [self = this->shared_from_this(), shard](const PlatformResult<ObjectVersion> &result) { self->finishAppend(shard, result); });
            return;
        }
    }

    void finishList(std::uint32_t shard, const PlatformResult<std::vector<StoredObject>> &result)
    {
        LedgerWriter &writer = m_writers.at(shard);
        const std::optional<std::vector<StoredSegment>> segments = result ? storedSegments(shard, result.value()) : std::optional<std::vector<StoredSegment>>();
        if (segments) {
            writer.listDone(*segments, ClockType::now(), m_random);
        } else {
            if (result) {
                m_log.error("cannot read the segments of shard " + std::to_string(shard) + "; no claim is granted");
            }
            writer.listFailed(ClockType::now(), m_random);
        }
        schedulePump();
    }

    void finishReadBack(std::uint32_t shard, const PlatformResult<StoredObject> &result)
    {
        LedgerWriter &writer = m_writers.at(shard);
        const std::optional<StoredSegment> segment = result ? storedSegment(shard, result.value()) : std::optional<StoredSegment>();
        if (segment) {
            writer.readBackDone(*segment, ClockType::now());
        } else if (result) {
            m_log.error("cannot read a segment of shard " + std::to_string(shard) + "; no claim is granted");
            writer.readBackFailed(PlatformErrorKind::Refused, ClockType::now(), m_random);
        } else {
            writer.readBackFailed(result.error().kind, ClockType::now(), m_random);
        }
        schedulePump();
    }

    void finishAppend(std::uint32_t shard, const PlatformResult<ObjectVersion> &result)
    {
        LedgerWriter &writer = m_writers.at(shard);
        if (result) {
            writer.appendDone(result.value(), ClockType::now());
        } else {
            writer.appendFailed(result.error().kind, ClockType::now(), m_random);
        }
        schedulePump();
    }

    void startRemoval(std::uint32_t shard, const SegmentRemoval &removal)
    {
        m_api.remove(segmentKey(shard, removal.number),
                     WriteCondition::atVersion(removal.version),
                     [self = this->shared_from_this(), shard](const PlatformResult<ObjectVersion> &result) { self->finishRemoval(shard, result); });
    }

    void finishRemoval(std::uint32_t shard, const PlatformResult<ObjectVersion> &result)
    {
        // An object with another version is a stray one that no reader counts; the next list returns it again.
        const bool removed = result || result.error().kind == PlatformErrorKind::NotFound || result.error().kind == PlatformErrorKind::Conflict;
        m_writers.at(shard).removalDone(removed, ClockType::now(), m_random);
        schedulePump();
    }

    void armTimer()
    {
        TimePoint wake = m_client.wakeAt();
        for (const auto &[shard, writer] : m_writers) {
            wake = std::min(wake, writer.wakeAt());
        }
        if (wake == TimePoint::max()) {
            m_timer.cancel();
            return;
        }
        if (wake <= ClockType::now()) {
            schedulePump();
            return;
        }
        m_timer.expires_at(wake);
        m_timer.async_wait([weak = this->weak_from_this()](const boost::system::error_code &error) {
            const std::shared_ptr<LedgerHost> self = weak.lock();
            if (self && !error) {
                self->schedulePump();
            }
        });
    }

    boost::asio::io_context &m_context;
    Api &m_api;
    Transport &m_transport;
    LedgerHostOptions m_options;
    std::string m_process;
    Random m_random;
    Log m_log{LogPart::Ledger};
    std::vector<HostId> m_live;
    LedgerClient m_client;
    std::map<std::uint32_t, LedgerWriter> m_writers;
    std::unordered_map<ClaimToken, ClaimHandler> m_handlers;
    SessionTimer<ClockType> m_timer;
    bool m_pumpScheduled = false;
    bool m_stopped = false;
};

} // namespace Rhubarbwind
