// FlatBuffers codecs of the ledger's frames (ledger.fbs).

#include "ledger/ledgermessages.h"

#include "ledger/ledger_generated.h"

#include <algorithm>

namespace Rhubarbwind
{

namespace
{

std::vector<std::byte> finishedBytes(const flatbuffers::FlatBufferBuilder &builder)
{
    const std::span<const std::uint8_t> bytes(builder.GetBufferPointer(), builder.GetSize());
    std::vector<std::byte> copy(bytes.size());
    std::transform(bytes.begin(), bytes.end(), copy.begin(), [](std::uint8_t byte) { return std::byte(byte); });
    return copy;
}

template <class Table>
const Table *verifiedRoot(std::span<const std::byte> payload)
{
    const std::uint8_t *data = reinterpret_cast<const std::uint8_t *>(payload.data());
    flatbuffers::Verifier verifier(data, payload.size());
    return verifier.VerifyBuffer<Table>(nullptr) ? flatbuffers::GetRoot<Table>(data) : nullptr;
}

std::string textOf(const flatbuffers::String *text)
{
    return text == nullptr ? std::string() : text->str();
}

LedgerWire::EndKind endKind(const ClaimEnd &end)
{
    if (end.kind == RecordKind::Withdraw) {
        return LedgerWire::EndKind::Withdrawn;
    }
    switch (end.state) {
    case ClaimState::Completed:
        return LedgerWire::EndKind::Completed;
    case ClaimState::FailedAfterStart:
        return LedgerWire::EndKind::FailedAfterStart;
    case ClaimState::InProgress:
    case ClaimState::Unknown:
        break;
    }
    return LedgerWire::EndKind::Unknown;
}

ClaimEnd endFrom(const LedgerWire::EndEntry &entry)
{
    ClaimEnd end{ClaimKey(textOf(entry.key())), ClaimToken(textOf(entry.token())), RecordKind::Finish, ClaimState::Unknown};
    switch (entry.kind()) {
    case LedgerWire::EndKind::Withdrawn:
        end.kind = RecordKind::Withdraw;
        break;
    case LedgerWire::EndKind::Completed:
        end.state = ClaimState::Completed;
        break;
    case LedgerWire::EndKind::FailedAfterStart:
        end.state = ClaimState::FailedAfterStart;
        break;
    case LedgerWire::EndKind::Unknown:
        break;
    }
    return end;
}

template <class Entries>
std::size_t sizeOf(const Entries *entries)
{
    return entries == nullptr ? 0 : entries->size();
}

bool isKnown(LedgerWire::EndKind kind)
{
    return kind <= LedgerWire::EndKind::MAX;
}

bool isKnown(const LedgerWire::AnswerEntry &entry)
{
    return entry.kind() <= LedgerWire::AnswerKind::MAX && entry.state() <= LedgerWire::State::MAX;
}

LedgerAnswer answerFrom(const LedgerWire::AnswerEntry &entry)
{
    return {static_cast<LedgerAnswerKind>(entry.kind()),
            ClaimKey(textOf(entry.key())),
            ClaimToken(textOf(entry.token())),
            RequestId(textOf(entry.holder())),
            HostId(textOf(entry.holder_host())),
            static_cast<ClaimState>(entry.state())};
}

// The enums of the schema have the same values as those of this folder, so that they can be cast.
static_assert(static_cast<int>(LedgerWire::AnswerKind::Ended) == static_cast<int>(LedgerAnswerKind::Ended));
static_assert(static_cast<int>(LedgerWire::State::Unknown) == static_cast<int>(ClaimState::Unknown));

} // namespace

std::vector<std::byte> encodeRequests(const LedgerRequests &requests)
{
    flatbuffers::FlatBufferBuilder builder;
    std::vector<flatbuffers::Offset<LedgerWire::ClaimEntry>> claims;
    for (const ClaimRequest &claim : requests.claims) {
        claims.push_back(LedgerWire::CreateClaimEntryDirect(
            builder, claim.key.text().c_str(), claim.token.text().c_str(), claim.request.text().c_str(), toMicroseconds(claim.deadlineIn)));
    }
    std::vector<flatbuffers::Offset<LedgerWire::EndEntry>> ends;
    for (const ClaimEnd &end : requests.ends) {
        ends.push_back(LedgerWire::CreateEndEntryDirect(builder, end.key.text().c_str(), end.token.text().c_str(), endKind(end)));
    }
    builder.Finish(LedgerWire::CreateRequestsDirect(builder, requests.shard, &claims, &ends));
    return finishedBytes(builder);
}

Result<LedgerRequests, LedgerFrameError> decodeRequests(const HostId &from, std::span<const std::byte> payload)
{
    const LedgerWire::Requests *root = verifiedRoot<LedgerWire::Requests>(payload);
    if (root == nullptr) {
        return LedgerFrameError::Malformed;
    }
    if (sizeOf(root->claims()) > maxEntriesPerFrame || sizeOf(root->ends()) > maxEntriesPerFrame) {
        return LedgerFrameError::TooManyEntries;
    }
    LedgerRequests requests{root->shard(), {}, {}};
    for (std::uint32_t i = 0; i < sizeOf(root->claims()); ++i) {
        const LedgerWire::ClaimEntry &entry = *root->claims()->Get(i);
        requests.claims.push_back(ClaimRequest{
            ClaimKey(textOf(entry.key())), ClaimToken(textOf(entry.token())), RequestId(textOf(entry.request())), from, fromMicroseconds(entry.deadline_us())});
    }
    for (std::uint32_t i = 0; i < sizeOf(root->ends()); ++i) {
        if (!isKnown(root->ends()->Get(i)->kind())) {
            return LedgerFrameError::Malformed;
        }
        requests.ends.push_back(endFrom(*root->ends()->Get(i)));
    }
    return requests;
}

std::vector<std::byte> encodeAnswers(std::span<const LedgerAnswer> answers)
{
    flatbuffers::FlatBufferBuilder builder;
    std::vector<flatbuffers::Offset<LedgerWire::AnswerEntry>> entries;
    for (const LedgerAnswer &answer : answers) {
        entries.push_back(LedgerWire::CreateAnswerEntryDirect(builder,
                                                              static_cast<LedgerWire::AnswerKind>(answer.kind),
                                                              answer.key.text().c_str(),
                                                              answer.token.text().c_str(),
                                                              answer.holder.text().c_str(),
                                                              answer.holderHost.text().c_str(),
                                                              static_cast<LedgerWire::State>(answer.state)));
    }
    builder.Finish(LedgerWire::CreateAnswersDirect(builder, &entries));
    return finishedBytes(builder);
}

Result<std::vector<LedgerAnswer>, LedgerFrameError> decodeAnswers(std::span<const std::byte> payload)
{
    const LedgerWire::Answers *root = verifiedRoot<LedgerWire::Answers>(payload);
    if (root == nullptr) {
        return LedgerFrameError::Malformed;
    }
    if (sizeOf(root->answers()) > maxEntriesPerFrame) {
        return LedgerFrameError::TooManyEntries;
    }
    std::vector<LedgerAnswer> answers;
    for (std::uint32_t i = 0; i < sizeOf(root->answers()); ++i) {
        if (!isKnown(*root->answers()->Get(i))) {
            return LedgerFrameError::Malformed;
        }
        answers.push_back(answerFrom(*root->answers()->Get(i)));
    }
    return answers;
}

} // namespace Rhubarbwind
