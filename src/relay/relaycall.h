#pragma once

// One request in progress: the session that carries out the decisions of its RequestStateMachine.
//
// It requests permits, opens exchanges with endpoints, stores their events in the answer's buffer and lets every reader follow. It keeps
// itself alive while it waits for anything. RelayCore finds it by request id as long as its answer has to be held.

#include "base/random.h"
#include "base/sessiontimer.h"
#include "relay/answerreader.h"
#include "relay/calltelemetry.h"
#include "relay/chatshape.h"
#include "relay/relayoptions.h"
#include "relay/requeststatemachine.h"
#include "relay/sseparser.h"
#include "relay/unusedclaims.h"

#include <boost/asio/io_context.hpp>

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Rhubarbwind
{

template <Clock ClockType>
class RelayCall;

/** State shared by all calls of a host. */
template <Clock ClockType>
struct RelayContext
{
    boost::asio::io_context &io;
    RelayOptions options;
    RelayPorts ports;
    EndpointLookup findEndpoint;
    DrainingHandler onDraining = {};
    Metrics &metrics;
    SpanRing &spans;
    HostId host;
    RetryBudget retryBudget;
    Random random;
    UnusedClaims unusedClaims = UnusedClaims();
    bool claimsFailing = false;
    std::size_t memoryBytes = 0; ///< held by all calls
    std::function<void(RelayCall<ClockType> &)> onEnded = {};
    /** The call took over the claim of an earlier request that did not run: lookups of that request must now find this call. */
    std::function<void(const std::shared_ptr<RelayCall<ClockType>> &call, const RequestId &holder)> onTakeOver = {};
    /** An earlier request holds the claim. True if its answer is held on this host and the readers now follow it. */
    std::function<bool(const RelayCall<ClockType> &repeat, const RequestId &holder)> joinEarlier = {};
};

/** A request as received from a caller. */
struct CallRequest
{
    RequestId id;
    CustomerId customer;
    ClassRule rule;
    ShardId shard;
    std::optional<ChatRequest> chat; ///< empty: a plain service call
    std::string servicePath;
    std::string contentType;
    std::string body; ///< of a service call
    ClaimKey claimKey; ///< empty: no claim
    std::string contentDigest; ///< of path and body, set with a claim key: the same key with different content is another request
    TimePoint received;
    bool resumable = false; ///< wait for the caller to return if it disconnects
    TraceContext trace;
    std::size_t bytes = 0; ///< memory held by the request
};

/** A stream that an endpoint holds for an attempt made by another host. */
struct AdoptedStream
{
    RequestId request;
    std::uint32_t attempt = 0;
    EndpointId endpoint;
};

template <Clock ClockType>
class RelayCall : public std::enable_shared_from_this<RelayCall<ClockType>>
{
public:
    RelayCall(std::shared_ptr<RelayContext<ClockType>> context, CallRequest request);
    /** Delivers the remainder of a stream, after an offset. */
    RelayCall(std::shared_ptr<RelayContext<ClockType>> context, CallRequest request, AdoptedStream stream, StreamOffset after);

    ~RelayCall();
    RelayCall(const RelayCall &) = delete;
    RelayCall &operator=(const RelayCall &) = delete;

    void start();
    /** Lets one more connection follow the answer. False if the events after the offset are no longer held. */
    bool addReader(const std::shared_ptr<HttpExchange> &exchange, bool streaming, StreamOffset after);
    void preempted(std::uint32_t attempt);

    const CallRequest &request() const
    {
        return m_request;
    }
    /** The request that holds the claim in the ledger: this one, or the one whose claim it took over. */
    const RequestId &claimHolder() const
    {
        return m_claimHolder;
    }
    bool isChat() const
    {
        return m_request.chat.has_value() || m_adopted;
    }
    bool ended() const
    {
        return m_stateMachine.ended();
    }
    /** The connections that follow the answer. When this call joins an earlier one, they are moved there. */
    const std::vector<std::shared_ptr<AnswerReader>> &readers() const
    {
        return m_readers;
    }

private:
    using Exchange = EndpointExchange<ClockType>;

    void perform(RequestActions actions);
    void act(const RequestPermit &action);
    void act(const CancelTicket &action);
    void act(const MakeClaim &action);
    void act(const FinishClaim &action);
    void act(const Dispatch &action);
    void act(const ResumeStream &action);
    void act(const DropConnection &action);
    void act(const CancelAtEndpoint &action);
    void act(const ReleasePermit &action);
    void act(const RestartStream &action);
    void act(const Answer &action);

    void sendTicket(const RequestPermit &action);
    void permitAnswered(const PermitAnswer &answer);
    void openResume(const ResumeStream &action);
    typename Exchange::Request dispatchRequest(const Dispatch &action) const;
    void open(ConnectionNumber connection, const EndpointId &endpoint, typename Exchange::Request request);
    void headerReceived(ConnectionNumber connection, const EndpointHeader &header);
    void engineHeaderReceived(ConnectionNumber connection, const EndpointHeader &header);
    void serviceHeaderReceived(ConnectionNumber connection, const EndpointHeader &header);
    void bodyReceived(ConnectionNumber connection, std::string_view bytes);
    void eventReceived(ConnectionNumber connection, SseEvent event);
    void exchangeEnded(ConnectionNumber connection, ExchangeEnd how);
    bool takeUnusedClaim(const RequestId &holder);
    void recordToken();
    void accountMemory();

    void pumpReaders();
    void finishReader(AnswerReader &reader);
    HttpResponse wholeAnswer() const;
    void readerDisconnected();
    void armDeadline();
    AttemptId attemptId(std::uint32_t attempt) const;
    AnswerLabels labels() const;
    Duration delayAfter(Duration first, std::uint32_t times);

    std::shared_ptr<RelayContext<ClockType>> m_context;
    CallRequest m_request;
    TimePoint m_arrived;
    RequestStateMachine m_stateMachine;
    StreamBuffer m_buffer;
    std::optional<AdoptedStream> m_adopted;
    StreamOffset m_adoptedAfter = 0;

    std::deque<RequestAction> m_actions;
    bool m_performing = false;

    std::shared_ptr<Exchange> m_exchange;
    SseParser m_parser;
    bool m_rejected = false; ///< the body being received is the endpoint's reason for rejecting the request
    EndpointHeader m_header; ///< of the current answer
    std::string m_serviceBody;
    std::string m_streamLabel;
    EndpointId m_endpoint;

    std::vector<std::shared_ptr<AnswerReader>> m_readers;
    std::optional<AnswerEnd> m_end;
    std::optional<ClaimAnswer> m_earlierClaim;
    RequestId m_claimHolder;
    CallTelemetry m_telemetry;

    SessionTimer<ClockType> m_deadlineTimer;
    SessionTimer<ClockType> m_delayTimer;
    SessionTimer<ClockType> m_returnTimer;

    TimePoint m_stepStarted; ///< of the hop in progress: queue, claim, connect
    TimePoint m_sentAt;
    std::uint32_t m_lastProgress = 0;
    std::size_t m_accounted = 0; ///< this call's part of the context's memoryBytes
};

} // namespace Rhubarbwind
