#pragma once

// The entry host's side of the ledger, as a decision without I/O.
//
// Each claim() gets a token and is sent to the shard's owner until it is answered: again when the owner
// changes and again after silence. It is answered exactly once, at the latest at its deadline.
//
// What a caller may be told when the deadline passes: Unavailable, and so "not run". That is true because only
// Granted leads to a dispatch, and a token that was told Unavailable is out of the set of open claims for good: a
// grant that comes later finds it withdrawn. The claim may all the same have become durable, or still become so.
// Then the key would look in progress for ever, so the desk sends a withdrawal until it is confirmed, and once
// more whenever it hears of a grant for a token that it does not hold. Until the withdrawal is durable a repeat
// is told "in progress" of this request; after it a repeat may run. If this host dies first, a repeat is told Unknown.
//
// A token is forgotten only when its end is durable. So a grant of a token of this process that is not held here
// is one that was withdrawn, and withdrawing it again is safe; a token of an earlier process under the same host
// name may have run, and its claim is finished as Unknown.
//
// Use: claim(), finish(), receive(), setHosts(); then takeAnswers(), takeMessages(), wakeAt().
// Cost: a map operation an event. Limit: maximumClaims open, running and ending claims together, about 500 bytes each;
// further claims are told Unavailable at once.

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
    std::string process; ///< unique id of this process
    std::uint32_t shards = 4;
    Duration resendAfter = 300ms; ///< silence after which an open claim or end is sent again; about sixty platform round trips
    std::size_t maximumClaims = 10'000;
};

/** The shard of a key. */
std::uint32_t ledgerShard(const ClaimKey &key, std::uint32_t shards);
/** The rendezvous key of a shard's duty. */
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
    std::size_t running = 0; ///< granted and not finished
    std::size_t ending = 0; ///< finished or withdrawn, not yet durable
    std::uint64_t granted = 0;
    std::uint64_t repeated = 0;
    std::uint64_t unavailable = 0;
    std::uint64_t withdrawnLate = 0; ///< grants that came after their deadline
};

class LedgerClient
{
public:
    explicit LedgerClient(const LedgerClientOptions &options);

    /** The live hosts; claims of shards whose owner changed are sent to the new one. */
    void setHosts(std::span<const HostId> live);

    /** Opens a claim. Its answer, perhaps already waiting, comes from takeAnswers() under the returned token. */
    ClaimToken claim(const ClaimKey &key, const RequestId &request, Duration deadlineIn, TimePoint now);
    /** The granted request ended. Does nothing for a request that holds no grant here. */
    void finish(const ClaimKey &key, const RequestId &request, ClaimState state);
    /** A grant that comes after the deadline is late, even if takeAnswers() has not run since. */
    void receive(const LedgerAnswer &answer, TimePoint now);

    /** Ends what is past its deadline and returns the answers, each token once. */
    std::vector<TokenAnswer> takeAnswers(TimePoint now);
    /** What is to be sent now, one entry a shard, at most maxEntriesPerFrame claims and as many ends in each. */
    std::vector<OutgoingRequests> takeMessages(TimePoint now);
    TimePoint wakeAt() const;
    const HostId &owner(std::uint32_t shard) const
    {
        return m_owners[shard];
    }
    LedgerClientStatus status() const;

private:
    enum class Phase : std::uint8_t {
        Open, ///< asked for, not answered
        Running, ///< granted: the caller may dispatch
        Ending, ///< finished or withdrawn: sent until it is durable
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
    void endStrangeGrant(const LedgerAnswer &grant);
    void receiveRefusal(Entries::iterator found, const LedgerAnswer &answer);
    void expire(TimePoint now);

    LedgerClientOptions m_options;
    std::vector<HostId> m_owners;
    std::uint64_t m_sequence = 0;
    Entries m_entries;
    RequestIndex m_byRequest; ///< open and running claims, so that the same request is not claimed twice
    std::set<std::pair<TimePoint, ClaimToken>> m_deadlines; ///< open claims
    std::set<std::pair<TimePoint, ClaimToken>> m_sends; ///< open and ending claims
    std::vector<TokenAnswer> m_answers;
    LedgerClientStatus m_counts;
};

} // namespace Rhubarbwind
