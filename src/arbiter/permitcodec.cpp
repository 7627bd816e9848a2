// Encoding shares equal strings within a batch (class, customer and endpoint names repeat), which makes a large batch about a third
// smaller. Decoding records the first fault in a Reader and continues with empty values, so that each table is read by a plain list
// of fields without a check per line.

#include "arbiter/permitcodec.h"

#include "arbiter/permits_generated.h"

#include <algorithm>
#include <optional>
#include <string>

namespace Rhubarbwind
{

namespace
{

namespace Fb = PermitWire;

using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;

/** Nested tables are at most four deep; deeper ones are rejected to protect the verifier's stack. */
constexpr flatbuffers::uoffset_t maxVerifyDepth = 8;
constexpr flatbuffers::uoffset_t maxVerifyTables = 20'000;

std::int64_t wireDuration(Duration duration)
{
    return toMicroseconds(std::clamp(duration, Duration::zero(), maxPermitDuration));
}

/** The first `maxEntries` entries of a list, each encoded by `encode`. */
template <class Entry, class Encode>
auto encodeList(FlatBufferBuilder &builder, const std::vector<Entry> &entries, std::size_t maxEntries, Encode encode)
{
    using EntryOffset = decltype(encode(entries.front()));
    std::vector<EntryOffset> offsets;
    const std::size_t count = std::min(entries.size(), maxEntries);
    offsets.reserve(count);
    for (std::size_t i = 0; i < count; ++i) {
        offsets.push_back(encode(entries[i]));
    }
    // An empty list is omitted and takes no bytes on the wire.
    return offsets.empty() ? flatbuffers::Offset<flatbuffers::Vector<EntryOffset>>() : builder.CreateVector(offsets);
}

Offset<flatbuffers::String> encodeText(FlatBufferBuilder &builder, const std::string &text)
{
    return builder.CreateSharedString(text);
}

Offset<Fb::Attempt> encodeAttempt(FlatBufferBuilder &builder, const AttemptId &id)
{
    return Fb::CreateAttempt(builder, encodeText(builder, id.request.text()), id.attempt);
}

Offset<Fb::TicketEntry> encodeTicket(FlatBufferBuilder &builder, const Ticket &ticket)
{
    const Offset<Fb::Attempt> id = encodeAttempt(builder, ticket.id);
    const Offset<flatbuffers::String> classId = encodeText(builder, ticket.classId.text());
    const Offset<flatbuffers::String> customer = encodeText(builder, ticket.customer.text());
    Offset<flatbuffers::Vector<std::uint64_t>> digests;
    if (!ticket.prefixDigests.empty()) {
        digests = builder.CreateVector(ticket.prefixDigests.data(), std::min(ticket.prefixDigests.size(), maxTicketDigests));
    }
    const auto avoid =
        encodeList(builder, ticket.avoid, maxTicketAvoids, [&builder](const EndpointId &endpoint) { return encodeText(builder, endpoint.text()); });
    return Fb::CreateTicketEntry(builder,
                                 id,
                                 classId,
                                 customer,
                                 wireDuration(ticket.waited),
                                 wireDuration(ticket.deadlineIn),
                                 ticket.promptTokens,
                                 ticket.estimatedTokens,
                                 digests,
                                 avoid);
}

Offset<Fb::ReleaseEntry> encodeRelease(FlatBufferBuilder &builder, const Release &release)
{
    const Offset<Fb::Attempt> id = encodeAttempt(builder, release.id);
    const Offset<flatbuffers::String> endpoint = encodeText(builder, release.endpoint.text());
    return Fb::CreateReleaseEntry(builder,
                                  id,
                                  endpoint,
                                  static_cast<std::uint8_t>(release.kind),
                                  wireDuration(release.firstToken),
                                  wireDuration(release.meanInterToken),
                                  release.tokens,
                                  release.reusedPromptTokens,
                                  wireDuration(release.slowInterToken));
}

Offset<Fb::HeldEntry> encodeHeld(FlatBufferBuilder &builder, const HeldPermit &held)
{
    const Offset<Fb::TicketEntry> ticket = encodeTicket(builder, held.ticket);
    return Fb::CreateHeldEntry(builder, ticket, encodeText(builder, held.endpoint.text()), held.tokensSoFar);
}

Offset<Fb::GrantEntry> encodeGrant(FlatBufferBuilder &builder, const Grant &grant)
{
    const Offset<Fb::Attempt> id = encodeAttempt(builder, grant.id);
    const Offset<flatbuffers::String> endpoint = encodeText(builder, grant.endpoint.text());
    return Fb::CreateGrantEntry(builder, id, endpoint, grant.enginePriority, wireDuration(grant.expiresIn));
}

std::vector<std::byte> finished(const FlatBufferBuilder &builder)
{
    const std::byte *begin = reinterpret_cast<const std::byte *>(builder.GetBufferPointer());
    return {begin, begin + builder.GetSize()};
}

/** Reads fields, checks their bounds and records the first fault. */
class Reader
{
public:
    const std::optional<PermitDecodeError> &fault() const
    {
        return m_fault;
    }

    template <class Id>
    Id id(const flatbuffers::String *text)
    {
        if (text == nullptr) {
            fail(PermitDecodeError::MissingField);
            return {};
        }
        if (text->size() > maxPermitIdBytes) {
            fail(PermitDecodeError::TextTooLong);
            return {};
        }
        return Id(text->str());
    }

    Duration duration(std::int64_t microseconds)
    {
        if (microseconds < 0 || microseconds > toMicroseconds(maxPermitDuration)) {
            fail(PermitDecodeError::OutOfRange);
            return {};
        }
        return fromMicroseconds(microseconds);
    }

    std::uint64_t number(std::uint64_t value)
    {
        if (value > maxPermitNumber) {
            fail(PermitDecodeError::OutOfRange);
            return 0;
        }
        return value;
    }

    template <class Enum>
    Enum enumerator(std::uint8_t value, Enum last)
    {
        if (value > static_cast<std::uint8_t>(last)) {
            fail(PermitDecodeError::OutOfRange);
            return {};
        }
        return static_cast<Enum>(value);
    }

    /** Reads each entry of a list, which may be absent, with `read`. */
    template <class Entry, class Read>
    auto list(const flatbuffers::Vector<Entry> *entries, std::size_t maxEntries, Read read)
    {
        std::vector<decltype(read(entries->Get(0)))> values;
        if (entries == nullptr) {
            return values;
        }
        if (entries->size() > maxEntries) {
            fail(PermitDecodeError::TooManyEntries);
            return values;
        }
        values.reserve(entries->size());
        for (flatbuffers::uoffset_t i = 0; i < entries->size() && !m_fault; ++i) {
            values.push_back(read(entries->Get(i)));
        }
        return values;
    }

    AttemptId attempt(const Fb::Attempt *entry)
    {
        if (entry == nullptr) {
            fail(PermitDecodeError::MissingField);
            return {};
        }
        const RequestId request = id<RequestId>(entry->request());
        if (request.empty()) {
            fail(PermitDecodeError::MissingField);
        }
        return {request, entry->attempt()};
    }

    Ticket ticket(const Fb::TicketEntry *entry, const HostId &sender)
    {
        if (entry == nullptr) {
            fail(PermitDecodeError::MissingField);
            return {};
        }
        Ticket ticket;
        ticket.id = attempt(entry->id());
        ticket.entry = sender;
        ticket.classId = id<ClassId>(entry->class_id());
        ticket.customer = id<CustomerId>(entry->customer());
        ticket.waited = duration(entry->waited_us());
        ticket.deadlineIn = duration(entry->deadline_us());
        ticket.promptTokens = entry->prompt_tokens();
        ticket.estimatedTokens = entry->estimated_tokens();
        ticket.prefixDigests = list(entry->prefix_digests(), maxTicketDigests, [](std::uint64_t digest) { return digest; });
        ticket.avoid = list(entry->avoid(), maxTicketAvoids, [this](const flatbuffers::String *text) { return id<EndpointId>(text); });
        return ticket;
    }

    Release release(const Fb::ReleaseEntry *entry)
    {
        Release release;
        release.id = attempt(entry->id());
        release.endpoint = id<EndpointId>(entry->endpoint());
        release.kind = enumerator(entry->kind(), ReleaseKind::Unused);
        release.firstToken = duration(entry->first_token_us());
        release.meanInterToken = duration(entry->mean_inter_token_us());
        release.tokens = entry->tokens();
        release.reusedPromptTokens = entry->reused_prompt_tokens();
        release.slowInterToken = duration(entry->slow_inter_token_us());
        return release;
    }

    HeldPermit held(const Fb::HeldEntry *entry, const HostId &sender)
    {
        HeldPermit held;
        held.ticket = ticket(entry->ticket(), sender);
        held.endpoint = id<EndpointId>(entry->endpoint());
        held.tokensSoFar = entry->tokens();
        return held;
    }

    Grant grant(const Fb::GrantEntry *entry, Epoch epoch)
    {
        return {attempt(entry->id()), id<EndpointId>(entry->endpoint()), entry->engine_priority(), epoch, duration(entry->expires_us())};
    }

    Refusal refusal(const Fb::RefusalEntry *entry)
    {
        return {attempt(entry->id()), enumerator(entry->reason(), RefusalReason::NoEndpoint), duration(entry->retry_after_us())};
    }

private:
    void fail(PermitDecodeError error)
    {
        if (!m_fault) {
            m_fault = error;
        }
    }

    std::optional<PermitDecodeError> m_fault;
};

/** The verified root, or null. */
template <class Root>
const Root *verifiedRoot(std::span<const std::byte> bytes)
{
    const std::uint8_t *data = reinterpret_cast<const std::uint8_t *>(bytes.data());
    flatbuffers::Verifier verifier(data, bytes.size(), maxVerifyDepth, maxVerifyTables);
    return verifier.VerifyBuffer<Root>(nullptr) ? flatbuffers::GetRoot<Root>(data) : nullptr;
}

/** A copy that is aligned for FlatBuffers, which reads in place; a payload inside a frame may be unaligned. */
std::vector<std::byte> aligned(std::span<const std::byte> bytes)
{
    return {bytes.begin(), bytes.end()};
}

} // namespace

std::vector<std::byte> encodePermitRequests(const PermitRequests &requests)
{
    FlatBufferBuilder builder;
    const Offset<flatbuffers::String> shard = encodeText(builder, requests.shard.text());
    const Offset<flatbuffers::String> sender = encodeText(builder, requests.sender.text());
    const auto tickets = encodeList(builder, requests.tickets, maxBatchEntries, [&](const Ticket &ticket) { return encodeTicket(builder, ticket); });
    const auto cancels = encodeList(builder, requests.cancels, maxBatchEntries, [&](const AttemptId &id) { return encodeAttempt(builder, id); });
    const auto releases = encodeList(builder, requests.releases, maxBatchEntries, [&](const Release &release) { return encodeRelease(builder, release); });
    const auto progress = encodeList(builder, requests.progress, maxBatchEntries, [&](const PermitRequests::Progress &entry) {
        return Fb::CreateProgressEntry(builder, encodeAttempt(builder, entry.id), entry.tokens);
    });
    const auto held = encodeList(builder, requests.held, maxBatchEntries, [&](const HeldPermit &permit) { return encodeHeld(builder, permit); });
    builder.Finish(Fb::CreateArbiterRequests(builder,
                                             shard,
                                             sender,
                                             requests.incarnation,
                                             requests.epochSeen,
                                             requests.epochElsewhere,
                                             requests.onlyTerm,
                                             requests.sequence,
                                             requests.complete,
                                             tickets,
                                             cancels,
                                             releases,
                                             progress,
                                             held));
    return finished(builder);
}

std::vector<std::byte> encodePermitAnswers(const PermitAnswers &answers)
{
    FlatBufferBuilder builder;
    const Offset<flatbuffers::String> shard = encodeText(builder, answers.shard.text());
    const auto grants = encodeList(builder, answers.grants, maxBatchEntries, [&](const Grant &grant) { return encodeGrant(builder, grant); });
    const auto refusals = encodeList(builder, answers.refusals, maxBatchEntries, [&](const Refusal &refusal) {
        const Offset<Fb::Attempt> id = encodeAttempt(builder, refusal.id);
        return Fb::CreateRefusalEntry(builder, id, static_cast<std::uint8_t>(refusal.reason), wireDuration(refusal.retryAfter));
    });
    const auto preemptions =
        encodeList(builder, answers.preemptions, maxBatchEntries, [&](const Preemption &preemption) { return encodeAttempt(builder, preemption.id); });
    builder.Finish(Fb::CreateArbiterAnswers(
        builder, shard, answers.epoch, answers.incarnation, answers.sequence, answers.acknowledged, answers.needComplete, grants, refusals, preemptions));
    return finished(builder);
}

Result<PermitRequests, PermitDecodeError> decodePermitRequests(std::span<const std::byte> bytes)
{
    const std::vector<std::byte> buffer = aligned(bytes);
    const Fb::ArbiterRequests *root = verifiedRoot<Fb::ArbiterRequests>(buffer);
    if (root == nullptr) {
        return PermitDecodeError::NotVerified;
    }
    Reader reader;
    PermitRequests requests;
    requests.shard = reader.id<ShardId>(root->shard());
    requests.sender = reader.id<HostId>(root->sender());
    requests.incarnation = reader.number(root->incarnation());
    requests.epochSeen = reader.number(root->epoch_seen());
    requests.epochElsewhere = reader.number(root->epoch_elsewhere());
    requests.onlyTerm = reader.number(root->only_term());
    requests.sequence = reader.number(root->sequence());
    requests.complete = root->complete();
    requests.tickets = reader.list(root->tickets(), maxBatchEntries, [&](const Fb::TicketEntry *entry) { return reader.ticket(entry, requests.sender); });
    requests.cancels = reader.list(root->cancels(), maxBatchEntries, [&](const Fb::Attempt *entry) { return reader.attempt(entry); });
    requests.releases = reader.list(root->releases(), maxBatchEntries, [&](const Fb::ReleaseEntry *entry) { return reader.release(entry); });
    requests.progress = reader.list(root->progress(), maxBatchEntries, [&](const Fb::ProgressEntry *entry) {
        return PermitRequests::Progress{reader.attempt(entry->id()), entry->tokens()};
    });
    requests.held = reader.list(root->held(), maxBatchEntries, [&](const Fb::HeldEntry *entry) { return reader.held(entry, requests.sender); });
    if (reader.fault()) {
        return *reader.fault();
    }
    return requests;
}

Result<PermitAnswers, PermitDecodeError> decodePermitAnswers(std::span<const std::byte> bytes)
{
    const std::vector<std::byte> buffer = aligned(bytes);
    const Fb::ArbiterAnswers *root = verifiedRoot<Fb::ArbiterAnswers>(buffer);
    if (root == nullptr) {
        return PermitDecodeError::NotVerified;
    }
    Reader reader;
    PermitAnswers answers;
    answers.shard = reader.id<ShardId>(root->shard());
    answers.epoch = reader.number(root->epoch());
    answers.incarnation = reader.number(root->incarnation());
    answers.sequence = reader.number(root->sequence());
    answers.acknowledged = reader.number(root->acknowledged());
    answers.needComplete = root->need_complete();
    answers.grants = reader.list(root->grants(), maxBatchEntries, [&](const Fb::GrantEntry *entry) { return reader.grant(entry, answers.epoch); });
    answers.refusals = reader.list(root->refusals(), maxBatchEntries, [&](const Fb::RefusalEntry *entry) { return reader.refusal(entry); });
    answers.preemptions = reader.list(root->preemptions(), maxBatchEntries, [&](const Fb::Attempt *entry) { return Preemption{reader.attempt(entry)}; });
    if (reader.fault()) {
        return *reader.fault();
    }
    return answers;
}

} // namespace Rhubarbwind
