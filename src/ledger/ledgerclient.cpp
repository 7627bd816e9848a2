// A claim goes from Open to Running or Ending, and is removed when its end is durable. Safety rests on two facts: the caller receives Granted only on
// the transition from Open to Running, and a withdrawal is sent only for a token that is neither Open nor Running and never becomes so again.

#include "ledger/ledgerclient.h"

#include "base/rendezvous.h"

#include <algorithm>
#include <utility>

#include <xxhash.h>

namespace Rhubarbwind
{

std::uint32_t ledgerShard(const ClaimKey &key, std::uint32_t shards)
{
    return static_cast<std::uint32_t>(XXH3_64bits(key.text().data(), key.text().size()) % shards);
}

std::string ledgerDuty(std::uint32_t shard)
{
    return "ledger/" + std::to_string(shard);
}

LedgerClient::LedgerClient(const LedgerClientOptions &options)
    : m_options(options)
    , m_owners(options.shards)
{
}

void LedgerClient::setHosts(std::span<const HostId> live)
{
    std::set<std::uint32_t> moved;
    for (std::uint32_t shard = 0; shard < m_options.shards; ++shard) {
        HostId owner = rendezvousOwner(live, ledgerDuty(shard));
        if (owner != m_owners[shard]) {
            m_owners[shard] = std::move(owner);
            moved.insert(shard);
        }
    }
    for (auto &[token, entry] : m_entries) {
        if (entry.phase != Phase::Running && moved.contains(entry.shard)) {
            schedule(token, entry, TimePoint::min());
        }
    }
}

ClaimToken LedgerClient::claim(const ClaimKey &key, const RequestId &request, Duration deadlineIn, TimePoint now)
{
    ClaimToken token = nextToken();
    if (m_byRequest.contains({key, request})) {
        answer(token, {ClaimResult::Repeated, request, m_options.self, ClaimState::InProgress});
        return token;
    }
    if (m_entries.size() >= m_options.maximumClaims || deadlineIn <= Duration::zero()) {
        answer(token, {ClaimResult::Unavailable, {}, {}, {}});
        return token;
    }
    Entry entry{key, request, ledgerShard(key, m_options.shards), Phase::Open, now + deadlineIn, {}, {}, {}};
    m_byRequest[{key, request}] = token;
    m_deadlines.insert({entry.deadline, token});
    Entry &stored = m_entries.emplace(token, std::move(entry)).first->second;
    schedule(token, stored, now);
    return token;
}

void LedgerClient::finish(const ClaimKey &key, const RequestId &request, ClaimState state)
{
    const RequestIndex::iterator found = m_byRequest.find({key, request});
    if (found == m_byRequest.end()) {
        return;
    }
    const ClaimToken token = found->second;
    Entry &entry = m_entries.at(token);
    if (entry.phase == Phase::Running) {
        const ClaimState ended = state == ClaimState::InProgress ? ClaimState::Unknown : state;
        startEnding(token, entry, RecordKind::Finish, ended);
    }
}

void LedgerClient::receive(const LedgerAnswer &answer, TimePoint now)
{
    expire(now);
    const Entries::iterator found = m_entries.find(answer.token);
    switch (answer.kind) {
    case LedgerAnswerKind::Granted:
        receiveGrant(answer);
        return;
    case LedgerAnswerKind::Repeated:
    case LedgerAnswerKind::Unavailable:
        if (found != m_entries.end() && found->second.phase == Phase::Open) {
            receiveRefusal(found, answer);
        }
        return;
    case LedgerAnswerKind::Ended:
        if (found != m_entries.end() && found->second.phase == Phase::Ending) {
            forget(found);
        }
        return;
    }
}

std::vector<TokenAnswer> LedgerClient::takeAnswers(TimePoint now)
{
    expire(now);
    return std::exchange(m_answers, {});
}

std::vector<OutgoingRequests> LedgerClient::takeMessages(TimePoint now)
{
    std::map<std::uint32_t, LedgerRequests> byShard;
    std::vector<ClaimToken> later;
    while (!m_sends.empty() && m_sends.begin()->first <= now) {
        const ClaimToken token = m_sends.begin()->second;
        Entry &entry = m_entries.at(token);
        LedgerRequests &requests = byShard[entry.shard];
        requests.shard = entry.shard;
        const bool open = entry.phase == Phase::Open;
        if ((open ? requests.claims.size() : requests.ends.size()) >= maxEntriesPerFrame) {
            break;
        }
        if (open) {
            requests.claims.push_back({entry.key, token, entry.request, m_options.self, entry.deadline - now});
        } else {
            requests.ends.push_back({entry.key, token, entry.endKind, entry.endState});
        }
        schedule(token, entry, now + m_options.resendAfter);
    }
    std::vector<OutgoingRequests> messages;
    for (auto &[shard, requests] : byShard) {
        if (!m_owners[shard].empty()) {
            messages.push_back({m_owners[shard], std::move(requests)});
        }
    }
    return messages;
}

TimePoint LedgerClient::wakeAt() const
{
    const TimePoint deadline = m_deadlines.empty() ? TimePoint::max() : m_deadlines.begin()->first;
    const TimePoint send = m_sends.empty() ? TimePoint::max() : m_sends.begin()->first;
    return m_answers.empty() ? std::min(deadline, send) : TimePoint::min();
}

LedgerClientStatus LedgerClient::status() const
{
    LedgerClientStatus status = m_counts;
    status.open = m_deadlines.size();
    status.running = m_byRequest.size() - m_deadlines.size();
    status.ending = m_entries.size() - m_byRequest.size();
    return status;
}

ClaimToken LedgerClient::nextToken()
{
    return ClaimToken(m_options.process + "-" + std::to_string(++m_sequence));
}

bool LedgerClient::isOwnToken(const ClaimToken &token) const
{
    return token.text().starts_with(m_options.process + "-");
}

void LedgerClient::schedule(const ClaimToken &token, Entry &entry, TimePoint at)
{
    unschedule(token, entry);
    entry.sendAt = at;
    m_sends.insert({at, token});
}

void LedgerClient::unschedule(const ClaimToken &token, const Entry &entry)
{
    m_sends.erase({entry.sendAt, token});
}

void LedgerClient::answer(const ClaimToken &token, const ClaimAnswer &answer)
{
    switch (answer.result) {
    case ClaimResult::Granted:
        ++m_counts.granted;
        break;
    case ClaimResult::Repeated:
        ++m_counts.repeated;
        break;
    case ClaimResult::Unavailable:
        ++m_counts.unavailable;
        break;
    }
    m_answers.push_back({token, answer});
}

void LedgerClient::startEnding(const ClaimToken &token, Entry &entry, RecordKind kind, ClaimState state)
{
    m_deadlines.erase({entry.deadline, token});
    m_byRequest.erase({entry.key, entry.request});
    entry.phase = Phase::Ending;
    entry.endKind = kind;
    entry.endState = state;
    schedule(token, entry, TimePoint::min());
}

void LedgerClient::forget(Entries::iterator found)
{
    unschedule(found->first, found->second);
    if (found->second.phase != Phase::Ending) {
        m_deadlines.erase({found->second.deadline, found->first});
        m_byRequest.erase({found->second.key, found->second.request});
    }
    m_entries.erase(found);
}

void LedgerClient::receiveGrant(const LedgerAnswer &grant)
{
    const Entries::iterator found = m_entries.find(grant.token);
    if (found == m_entries.end()) {
        endUnknownGrant(grant);
        return;
    }
    Entry &entry = found->second;
    if (entry.phase == Phase::Open) {
        unschedule(found->first, entry);
        m_deadlines.erase({entry.deadline, found->first});
        entry.phase = Phase::Running;
        answer(found->first, {ClaimResult::Granted, entry.request, m_options.self, ClaimState::InProgress});
    }
}

void LedgerClient::endUnknownGrant(const LedgerAnswer &grant)
{
    // At the limit the grant is dropped: the writer sends it again when another request claims the key.
    if (m_entries.size() >= m_options.maximumClaims) {
        return;
    }
    const bool own = isOwnToken(grant.token);
    m_counts.withdrawnLate += own ? 1 : 0;
    Entry entry{grant.key, {}, ledgerShard(grant.key, m_options.shards), Phase::Ending, {}, {}, RecordKind::Finish, ClaimState::Unknown};
    entry.endKind = own ? RecordKind::Withdraw : RecordKind::Finish;
    Entry &stored = m_entries.emplace(grant.token, std::move(entry)).first->second;
    schedule(grant.token, stored, TimePoint::min());
}

void LedgerClient::receiveRefusal(Entries::iterator found, const LedgerAnswer &refusal)
{
    if (refusal.kind == LedgerAnswerKind::Repeated) {
        answer(found->first, {ClaimResult::Repeated, refusal.holder, refusal.holderHost, refusal.state});
    } else {
        answer(found->first, {ClaimResult::Unavailable, {}, {}, {}});
    }
    // Another writer may have an append with this token in flight.
    startEnding(found->first, found->second, RecordKind::Withdraw, ClaimState::Unknown);
}

void LedgerClient::expire(TimePoint now)
{
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
        const ClaimToken token = m_deadlines.begin()->second;
        answer(token, {ClaimResult::Unavailable, {}, {}, {}});
        startEnding(token, m_entries.at(token), RecordKind::Withdraw, ClaimState::Unknown);
    }
}

} // namespace Rhubarbwind
