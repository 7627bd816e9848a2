#include "arbiter/permitcodec.h"

#include "base/requestid.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <iostream>

using namespace Rhubarbwind;

namespace
{

std::string anyName()
{
    return *rc::gen::resize(12, rc::gen::nonEmpty(rc::gen::string<std::string>()));
}

AttemptId anyAttempt()
{
    return {RequestId(anyName()), *rc::gen::arbitrary<std::uint32_t>()};
}

Duration anyDuration()
{
    return fromMicroseconds(*rc::gen::inRange<std::int64_t>(0, toMicroseconds(maxPermitDuration) + 1));
}

std::uint64_t anyNumber()
{
    return *rc::gen::inRange<std::uint64_t>(0, maxPermitNumber);
}

template <class Make>
auto anyList(std::size_t maxSize, Make make)
{
    std::vector<decltype(make())> list(*rc::gen::inRange<std::size_t>(0, maxSize + 1));
    std::generate(list.begin(), list.end(), make);
    return list;
}

Ticket anyTicket(const HostId &sender)
{
    Ticket ticket;
    ticket.id = anyAttempt();
    ticket.entry = sender;
    ticket.classId = ClassId(anyName());
    ticket.customer = CustomerId(anyName());
    ticket.waited = anyDuration();
    ticket.deadlineIn = anyDuration();
    ticket.promptTokens = *rc::gen::arbitrary<std::uint32_t>();
    ticket.estimatedTokens = *rc::gen::arbitrary<std::uint32_t>();
    ticket.prefixDigests = anyList(4, [] { return *rc::gen::arbitrary<std::uint64_t>(); });
    ticket.avoid = anyList(2, [] { return EndpointId(anyName()); });
    return ticket;
}

Release anyRelease()
{
    const ReleaseKind kind = static_cast<ReleaseKind>(*rc::gen::inRange(0, 5));
    const std::uint32_t tokens = *rc::gen::arbitrary<std::uint32_t>();
    return {anyAttempt(), EndpointId(anyName()), kind, anyDuration(), anyDuration(), tokens, tokens / 2};
}

PermitRequests anyRequests()
{
    PermitRequests requests;
    requests.shard = ShardId(anyName());
    requests.sender = HostId(anyName());
    requests.incarnation = anyNumber();
    requests.epochSeen = anyNumber();
    requests.epochElsewhere = anyNumber();
    requests.onlyTerm = anyNumber();
    requests.sequence = anyNumber();
    requests.complete = *rc::gen::arbitrary<bool>();
    requests.tickets = anyList(3, [&] { return anyTicket(requests.sender); });
    requests.cancels = anyList(3, anyAttempt);
    requests.releases = anyList(3, anyRelease);
    requests.progress = anyList(3, [] { return PermitRequests::Progress{anyAttempt(), 7}; });
    requests.held = anyList(3, [&] { return HeldPermit{anyTicket(requests.sender), EndpointId(anyName()), 9}; });
    return requests;
}

PermitAnswers anyAnswers()
{
    PermitAnswers answers;
    answers.shard = ShardId(anyName());
    answers.epoch = anyNumber();
    answers.incarnation = anyNumber();
    answers.sequence = anyNumber();
    answers.acknowledged = anyNumber();
    answers.needComplete = *rc::gen::arbitrary<bool>();
    answers.grants = anyList(3, [&] { return Grant{anyAttempt(), EndpointId(anyName()), *rc::gen::arbitrary<std::int32_t>(), answers.epoch, anyDuration()}; });
    answers.refusals = anyList(3, [] { return Refusal{anyAttempt(), static_cast<RefusalReason>(*rc::gen::inRange(0, 5)), anyDuration()}; });
    answers.preemptions = anyList(3, [] { return Preemption{anyAttempt()}; });
    return answers;
}

/** Cuts the bytes short and flips some. */
std::vector<std::byte> damaged(std::vector<std::byte> bytes)
{
    bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size() + 1));
    for (std::size_t flips = bytes.empty() ? 0 : *rc::gen::inRange<std::size_t>(0, 6); flips > 0; --flips) {
        bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] ^= static_cast<std::byte>(*rc::gen::inRange(1, 256));
    }
    return bytes;
}

bool isWithinBounds(const Ticket &ticket)
{
    const bool times = ticket.waited >= Duration::zero() && ticket.waited <= maxPermitDuration && ticket.deadlineIn >= Duration::zero()
        && ticket.deadlineIn <= maxPermitDuration;
    return times && !ticket.id.request.empty() && ticket.id.request.text().size() <= maxPermitIdBytes && ticket.prefixDigests.size() <= maxTicketDigests
        && ticket.avoid.size() <= maxTicketAvoids;
}

bool isWithinBounds(const PermitRequests &requests)
{
    const auto ticketFits = [](const Ticket &ticket) { return isWithinBounds(ticket); };
    const auto heldFits = [](const HeldPermit &held) { return isWithinBounds(held.ticket); };
    const auto releaseFits = [](const Release &release) { return release.kind <= ReleaseKind::Unused && release.firstToken <= maxPermitDuration; };
    return requests.sequence <= maxPermitNumber && requests.epochSeen <= maxPermitNumber && requests.tickets.size() <= maxBatchEntries
        && std::all_of(requests.tickets.begin(), requests.tickets.end(), ticketFits) && std::all_of(requests.held.begin(), requests.held.end(), heldFits)
        && std::all_of(requests.releases.begin(), requests.releases.end(), releaseFits);
}

bool isWithinBounds(const PermitAnswers &answers)
{
    const auto grantFits = [&answers](const Grant &grant) { return grant.epoch == answers.epoch && grant.expiresIn <= maxPermitDuration; };
    const auto refusalFits = [](const Refusal &refusal) { return refusal.reason <= RefusalReason::NoEndpoint; };
    return answers.epoch <= maxPermitNumber && std::all_of(answers.grants.begin(), answers.grants.end(), grantFits)
        && std::all_of(answers.refusals.begin(), answers.refusals.end(), refusalFits);
}

} // namespace

TEST_CASE("permit messages survive the way over the wire")
{
    // Comparing encodings compares values, since every field is encoded.
    rc::prop("requests", [] {
        const std::vector<std::byte> bytes = encodePermitRequests(anyRequests());
        const Result<PermitRequests, PermitDecodeError> decoded = decodePermitRequests(bytes);
        RC_ASSERT(decoded.has_value());
        RC_ASSERT(encodePermitRequests(decoded.value()) == bytes);
    });
    rc::prop("answers", [] {
        const std::vector<std::byte> bytes = encodePermitAnswers(anyAnswers());
        const Result<PermitAnswers, PermitDecodeError> decoded = decodePermitAnswers(bytes);
        RC_ASSERT(decoded.has_value());
        RC_ASSERT(encodePermitAnswers(decoded.value()) == bytes);
    });
}

TEST_CASE("a decoded ticket and grant equal the encoded ones field by field")
{
    PermitRequests requests;
    requests.shard = ShardId("model");
    requests.sender = HostId("h1");
    requests.sequence = 3;
    requests.held = {{{{RequestId("r"), 2}, HostId("h1"), ClassId("c"), CustomerId("k"), 1s, 2s, 10, 20, {1, 2}, {EndpointId("bad")}}, EndpointId("e"), 5}};
    requests.releases = {{{RequestId("q"), 1}, EndpointId("e"), ReleaseKind::EndpointFailed, 5ms, 6ms, 7, 8}};
    const PermitRequests decoded = decodePermitRequests(encodePermitRequests(requests)).value();
    const Ticket &ticket = decoded.held.front().ticket;
    REQUIRE(ticket.id == AttemptId{RequestId("r"), 2});
    REQUIRE(ticket.entry == HostId("h1"));
    REQUIRE((ticket.classId == ClassId("c") && ticket.customer == CustomerId("k")));
    REQUIRE((ticket.waited == 1s && ticket.deadlineIn == 2s && ticket.promptTokens == 10 && ticket.estimatedTokens == 20));
    REQUIRE(ticket.prefixDigests == std::vector<std::uint64_t>{1, 2});
    REQUIRE(ticket.avoid == std::vector<EndpointId>{EndpointId("bad")});
    REQUIRE((decoded.held.front().endpoint == EndpointId("e") && decoded.held.front().tokensSoFar == 5));
    const Release &release = decoded.releases.front();
    REQUIRE((release.kind == ReleaseKind::EndpointFailed && release.firstToken == 5ms && release.meanInterToken == 6ms));
    REQUIRE((release.tokens == 7 && release.reusedPromptTokens == 8));

    PermitAnswers answers;
    answers.epoch = 4;
    answers.grants = {{{RequestId("r"), 2}, EndpointId("e"), -3, 4, 1500ms}};
    answers.refusals = {{{RequestId("s"), 0}, RefusalReason::Hopeless, 3s}};
    const PermitAnswers answered = decodePermitAnswers(encodePermitAnswers(answers)).value();
    const Grant &grant = answered.grants.front();
    REQUIRE((grant.endpoint == EndpointId("e") && grant.enginePriority == -3 && grant.epoch == 4 && grant.expiresIn == 1500ms));
    REQUIRE((answered.refusals.front().reason == RefusalReason::Hopeless && answered.refusals.front().retryAfter == 3s));
}

TEST_CASE("damaged bytes are refused or decode to values within their bounds")
{
    rc::prop("requests", [] {
        const Result<PermitRequests, PermitDecodeError> decoded = decodePermitRequests(damaged(encodePermitRequests(anyRequests())));
        RC_ASSERT((!decoded || isWithinBounds(decoded.value())));
    });
    rc::prop("answers", [] {
        const Result<PermitAnswers, PermitDecodeError> decoded = decodePermitAnswers(damaged(encodePermitAnswers(anyAnswers())));
        RC_ASSERT((!decoded || isWithinBounds(decoded.value())));
    });
    rc::prop("arbitrary bytes", [] {
        const std::vector<std::uint8_t> raw = *rc::gen::arbitrary<std::vector<std::uint8_t>>();
        const std::span<const std::byte> bytes = std::as_bytes(std::span(raw));
        const Result<PermitRequests, PermitDecodeError> requests = decodePermitRequests(bytes);
        const Result<PermitAnswers, PermitDecodeError> answers = decodePermitAnswers(bytes);
        RC_ASSERT((!requests || isWithinBounds(requests.value())));
        RC_ASSERT((!answers || isWithinBounds(answers.value())));
    });
}

TEST_CASE("values out of their bounds are refused with a typed error")
{
    PermitRequests valid;
    valid.shard = ShardId("model");
    valid.sender = HostId("h1");
    valid.cancels = {{RequestId("r"), 0}};
    struct Row
    {
        const char *fault;
        std::function<void(PermitRequests &)> spoil;
        PermitDecodeError error;
    };
    const std::vector<Row> rows = {
        {"an attempt without a request", [](PermitRequests &batch) { batch.cancels.front().request = RequestId(); }, PermitDecodeError::MissingField},
        {"a long shard", [](PermitRequests &batch) { batch.shard = ShardId(std::string(maxPermitIdBytes + 1, 'x')); }, PermitDecodeError::TextTooLong},
        {"a great epoch", [](PermitRequests &batch) { batch.epochSeen = maxPermitNumber + 1; }, PermitDecodeError::OutOfRange},
        {"a great sequence", [](PermitRequests &batch) { batch.sequence = ~std::uint64_t{0}; }, PermitDecodeError::OutOfRange},
        {"an unknown kind",
         [](PermitRequests &batch) {
             batch.releases = {{{RequestId("r"), 0}, EndpointId("e"), static_cast<ReleaseKind>(9)}};
         },
         PermitDecodeError::OutOfRange},
    };
    REQUIRE(decodePermitRequests(encodePermitRequests(valid)).has_value());
    for (const Row &row : rows) {
        INFO(row.fault);
        PermitRequests spoilt = valid;
        row.spoil(spoilt);
        const Result<PermitRequests, PermitDecodeError> decoded = decodePermitRequests(encodePermitRequests(spoilt));
        REQUIRE(decoded.has_error());
        REQUIRE(decoded.error() == row.error);
    }
}

TEST_CASE("bytes a request on the link", "[.measure]")
{
    // One request takes a ticket, a grant and a release, each in a batch of `size`; names are as long as in production.
    for (const std::size_t digests : {0, 8, 32}) {
        for (const std::size_t size : {1, 10, 100}) {
            PermitRequests tickets;
            tickets.shard = ShardId("contract-drafts");
            tickets.sender = HostId("host-muc-nord-1");
            tickets.sequence = 1'000;
            PermitRequests releases = tickets;
            PermitAnswers grants;
            grants.shard = tickets.shard;
            for (std::size_t i = 0; i < size; ++i) {
                const AttemptId id{RequestId(freshId()), 0};
                const EndpointId endpoint("engine-muc-sued-" + std::to_string(i % 12));
                const ClassId classId("class-" + std::to_string(i % 4));
                const CustomerId customer("customer-" + std::to_string(i % 10));
                tickets.tickets.push_back({id, tickets.sender, classId, customer, 1ms, 30s, 900, 256, std::vector<std::uint64_t>(digests, i), {}});
                releases.releases.push_back({id, endpoint, ReleaseKind::Completed, 300ms, 40ms, 300, 512});
                grants.grants.push_back({id, endpoint, 1, 1, 2s});
            }
            const std::size_t ticketBytes = encodePermitRequests(tickets).size() / size;
            const std::size_t grantBytes = encodePermitAnswers(grants).size() / size;
            const std::size_t releaseBytes = encodePermitRequests(releases).size() / size;
            std::cout << "digests " << digests << ", batch " << size << ": ticket " << ticketBytes << " B, grant " << grantBytes << " B, release "
                      << releaseBytes << " B, together " << ticketBytes + grantBytes + releaseBytes << " B a request\n";
        }
    }
}
