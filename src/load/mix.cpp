#include "load/mix.h"

#include <algorithm>

namespace Rhubarbwind
{

namespace
{

constexpr std::size_t longestText = 256;
constexpr std::size_t mostEntries = 64;
constexpr double mostBytes = 1'000'000;
constexpr double mostRate = 10'000;
constexpr double widestSigma = 3;

void readLength(JsonReader &reader, std::string_view key, LengthRule &target, double most)
{
    reader.object(key, [&](JsonReader &inner) {
        inner.number("median", target.median, 1, most);
        inner.number("sigma", target.sigma, 0, widestSigma);
        inner.number("most", target.most, 1, most);
    });
}

void readClass(JsonReader &reader, std::vector<MixClass> &target)
{
    static const std::vector<std::string_view> kinds{"stream", "service"};
    MixClass entry;
    std::size_t kind = 0;
    reader.text("name", entry.name, longestText, true);
    reader.integer("tier", entry.tier.level, 0, 255);
    reader.choice("kind", kind, kinds);
    entry.kind = kind == 0 ? RequestKind::Stream : RequestKind::Service;
    reader.text("path", entry.path, longestText);
    reader.text("model", entry.model, longestText);
    reader.number("rate_per_s", entry.ratePerSecond, 0, mostRate);
    readLength(reader, "prompt_bytes", entry.promptBytes, mostBytes);
    reader.integer("shared_prefix_bytes", entry.sharedPrefixBytes, 0, static_cast<std::uint64_t>(mostBytes));
    readLength(reader, "answer_tokens", entry.answerTokens, mostBytes);
    reader.milliseconds("first_token_target_ms", entry.firstTokenTarget, 1ms, 1h);
    reader.milliseconds("inter_token_target_ms", entry.interTokenTarget, 1ms, 1h);
    reader.flag("idempotent", entry.idempotent);
    reader.flag("reproducible", entry.reproducible);
    reader.number("double_share", entry.doubleShare, 0, 1);
    reader.number("leave_share", entry.leaveShare, 0, 1);
    if (entry.idempotent && entry.doubleShare > 0) {
        reader.fault("double_share", "above 0", "0 where the class is idempotent");
    }
    target.push_back(std::move(entry));
}

void readCustomer(JsonReader &reader, std::vector<MixCustomer> &target)
{
    MixCustomer entry;
    reader.text("name", entry.name, longestText, true);
    reader.text("api_key", entry.apiKey, longestText, true);
    reader.number("weight", entry.weight, 0, mostRate);
    target.push_back(std::move(entry));
}

void readBurst(JsonReader &reader, const Mix &mix, std::vector<MixBurst> &target)
{
    MixBurst entry;
    reader.text("name", entry.name, longestText, true);
    reader.milliseconds("at_ms", entry.at, 0ms, 1h);
    reader.milliseconds("lasts_ms", entry.lasts, 1ms, 1h);
    reader.number("factor", entry.factor, 1, 1000);
    reader.texts("classes", entry.classes, mostEntries);
    reader.text("customer", entry.customer, longestText);
    for (const std::string &name : entry.classes) {
        if (std::none_of(mix.classes.begin(), mix.classes.end(), [&](const MixClass &known) { return known.name == name; })) {
            reader.fault("classes", name, "a class of this mix");
        }
    }
    if (!entry.customer.empty()
        && std::none_of(mix.customers.begin(), mix.customers.end(), [&](const MixCustomer &known) { return known.name == entry.customer; })) {
        reader.fault("customer", entry.customer, "a customer of this mix");
    }
    target.push_back(std::move(entry));
}

} // namespace

Result<Mix, DocumentFaults> parseMix(std::string_view text)
{
    const Result<boost::json::value, DocumentFaults> document = parseDocument(text);
    if (document.has_error()) {
        return document.error();
    }
    DocumentFaults faults;
    Mix mix;
    JsonReader reader(document.value(), "", faults);
    reader.milliseconds("duration_ms", mix.duration, 100ms, 1h);
    reader.objects(
        "customers", mostEntries, [&](JsonReader &inner) { readCustomer(inner, mix.customers); }, true);
    reader.objects(
        "classes", mostEntries, [&](JsonReader &inner) { readClass(inner, mix.classes); }, true);
    reader.objects("bursts", mostEntries, [&](JsonReader &inner) { readBurst(inner, mix, mix.bursts); });
    reader.finish();
    if (!faults.empty()) {
        return faults;
    }
    return mix;
}

} // namespace Rhubarbwind
