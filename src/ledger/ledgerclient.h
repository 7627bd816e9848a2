#pragma once

// LedgerClient is the entry host's side of the ledger: it sends claims to the shards' owners and tracks them until their ends are durable.
// Pure decision logic; performs no I/O.
//
// Each claim() gets a token. The claim is sent to the shard's owner, and sent again when the owner changes or after `resendAfter` without an
// answer. It is answered exactly once, at its deadline at the latest.
//
// At the deadline the answer is Unavailable, which promises that the request has not run and will not run. This holds because only Granted
// leads to a dispatch, and a token that was answered Unavailable never becomes open again: a later grant finds it withdrawn.
// The claim may still have become durable or may become so later, and the key would then stay "in progress" forever. The client therefore
// sends a withdrawal until it is confirmed, and sends one again whenever it receives a grant for a token that it does not hold. A repeat
// receives "in progress" for this request until the withdrawal is durable and may run afterwards. If this host fails first, a repeat
// receives Unknown.
//
// A token is removed only when its end is durable. A grant for a token of this process that is not held here is therefore one that was
// withdrawn, and it is safe to withdraw it again. A token of an earlier process under the same host name may have run; its claim
// is finished as Unknown.
//
// Use: claim(), finish(), receive(), setHosts(); then takeAnswers(), takeMessages(), wakeAt().
// Cost: one map operation an event; about 500 bytes of memory a claim.
// Limit: maximumClaims open, running and ending claims together; further claims are answered Unavailable at once.

#include "ledger/ledgermessages.h"

#include <map>
#include <optional>
#include <set>
#include <unordered_map>

namespace Rhubarbwind
{

struct LedgerClientOptions
{
    HostId self;
    std::string process; ///< unique id of this process; the prefix of its tokens
    std::uint32_t shards = 4;
    Duration resendAfter = 300ms; ///< time without an answer after which an open claim or an end is sent again; about sixty platform round trips
    std::size_t maximumClaims = 10'000;
};

/** Returns the shard that a key belongs to. */
std::uint32_t ledgerShard(const ClaimKey &key, std::uint32_t shards);
/** Returns the rendezvous key that selects the owner of a shard. */
std::string ledgerDuty(std::uint32_t shard);

struct TokenAnswer
{
    ClaimToken token;
    ClaimAnswer answer;
};

struct OutgoingRequests
{
    HostId to;
    LedgerRequests requests;
};

struct LedgerClientStatus
{
    std::size_t open = 0;
    std::size_t running = 0; ///< granted, not finished
    std::size_t ending = 0; ///< finished or withdrawn, not yet durable
    std::uint64_t granted = 0;
    std::uint64_t repeated = 0;
    std::uint64_t unavailable = 0;
    std::uint64_t withdrawnLate = 0; ///< grants received after their deadline and withdrawn
};

class LedgerClient
{
public:
    explicit LedgerClient(const LedgerClientOptions &options);

    /** Sets the live hosts. Claims and ends of shards whose owner changed are sent to the new owner. */
    void setHosts(std::span<const HostId> live);

    /** Opens a claim. takeAnswers() returns its answer under the returned token, possibly at once. */
    ClaimToken claim(const ClaimKey &key, const RequestId &request, Duration deadlineIn, TimePoint now);
    /** Reports that a granted request ended. Does nothing for a request that holds no grant here. */
    void finish(const ClaimKey &key, const RequestId &request, ClaimState state);
    /** Handles an answer of a writer. A grant received after the deadline is late, even if takeAnswers() has not run since the deadline. */
    void receive(const LedgerAnswer &answer, TimePoint now);

    /** Ends the claims that are past their deadline and returns the pending answers, each token once. */
    std::vector<TokenAnswer> takeAnswers(TimePoint now);
    /** Returns the messages to send now: one a shard, each with at most maxEntriesPerFrame claims and as many ends. */
    std::vector<OutgoingRequests> takeMessages(TimePoint now);
    TimePoint wakeAt() const;
    const HostId &owner(std::uint32_t shard) const
    {
        return m_owners[shard];
    }
    LedgerClientStatus status() const;

private:
    enum class Phase : std::uint8_t {
        Open, ///< sent, not answered
        Running, ///< granted: the request may be dispatched
        Ending, ///< finished or withdrawn: the end is sent until it is durable
    };
    struct Entry
    {
        ClaimKey key;
        RequestId request;
        std::uint32_t shard = 0;
        Phase phase = Phase::Open;
        TimePoint deadline; ///< with Open
        TimePoint sendAt; ///< with Open and Ending
        RecordKind endKind = RecordKind::Withdraw; ///< with Ending
        ClaimState endState = ClaimState::Unknown; ///< with Ending
    };
    using Entries = std::unordered_map<ClaimToken, Entry>;
    using RequestIndex = std::map<std::pair<ClaimKey, RequestId>, ClaimToken>;

    ClaimToken nextToken();
    bool isOwnToken(const ClaimToken &token) const;
    void schedule(const ClaimToken &token, Entry &entry, TimePoint at);
    void unschedule(const ClaimToken &token, const Entry &entry);
    void answer(const ClaimToken &token, const ClaimAnswer &answer);
    void startEnding(const ClaimToken &token, Entry &entry, RecordKind kind, ClaimState state);
    void forget(Entries::iterator found);
    void receiveGrant(const LedgerAnswer &grant);
    void endUnknownGrant(const LedgerAnswer &grant);
    void receiveRefusal(Entries::iterator found, const LedgerAnswer &answer);
    void expire(TimePoint now);

    LedgerClientOptions m_options;
    std::vector<HostId> m_owners;
    std::uint64_t m_sequence = 0;
    Entries m_entries;
    RequestIndex m_byRequest; ///< open and running claims; prevents claiming the same request twice
    std::set<std::pair<TimePoint, ClaimToken>> m_deadlines; ///< open claims
    std::set<std::pair<TimePoint, ClaimToken>> m_sends; ///< open and ending claims
    std::vector<TokenAnswer> m_answers;
    LedgerClientStatus m_counts;
};

} // namespace Rhubarbwind
