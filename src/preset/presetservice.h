#pragma once

// The preset in force on this host, kept up to date, and the operators' changes to it.
//
// Use: make one with std::make_shared, set handlers, start(). Feed it the live hosts (setHosts) whenever
// membership changes and the versions that membership messages carry (heard). current() is never half of two
// presets: it is a shared pointer to an immutable value; a request takes it once and keeps it.
//
// An accepted change is in force here at once, is told to a few peers and reaches the rest as presetspread.h
// says. Alarms (a platform that went back, two histories of one version, an unreadable object) are counted and
// logged, and never adopted.
//
// `api` and `transport` must outlive the service. Handlers are called from the executor. After stop() nothing
// is called any more, except the handlers of changes already under way.

#include "base/requestid.h"
#include "base/sessiontimer.h"
#include "platform/platformsequence.h"
#include "preset/presetframes.h"
#include "preset/presetholder.h"
#include "preset/presetspread.h"
#include "preset/presetswitch.h"
#include "telemetry/log.h"
#include "wire/peernetwork.h"

#include <boost/asio/any_io_executor.hpp>

#include <algorithm>
#include <functional>
#include <memory>
#include <vector>

namespace Rhubarbwind
{

/** Least time between two looks at what is due, so that a due time in the past cannot spin. */
inline constexpr Duration leastPresetSleep = 1ms;

struct PresetServiceOptions
{
    HostId self;
    PresetSpreadOptions spread;
    ResolvedWriteLimits change; ///< of an operator's change
    std::uint64_t seed = 1;
};

struct PresetAlarms
{
    std::uint64_t wentBack = 0; ///< the platform showed an older version than before
    std::uint64_t forked = 0; ///< two operations under one version
    std::uint64_t unreadable = 0; ///< the platform or a peer gave a document that is no preset
};

using ChangeHandler = std::function<void(const ChangeResult &)>;

template <Clock ClockType, ObjectApi Api, PeerTransport Transport>
class PresetService : public std::enable_shared_from_this<PresetService<ClockType, Api, Transport>>
{
public:
    using PresetHandler = std::function<void(const PresetPointer &)>;

    PresetService(const boost::asio::any_io_executor &executor, Api &api, Transport &transport, PresetServiceOptions options)
        : m_executor(executor)
        , m_api(api)
        , m_transport(transport)
        , m_options(std::move(options))
        , m_spread(m_options.spread, m_options.seed, ClockType::now())
        , m_random(m_options.seed)
        , m_timer(executor)
    {
    }

    void start()
    {
        m_transport.onFrame(MessageKind::PresetFetch, [weak = this->weak_from_this()](const HostId &from, std::span<const std::byte> payload) {
            if (const std::shared_ptr<PresetService> self = weak.lock()) {
                self->onFetch(from, payload);
            }
        });
        m_transport.onFrame(MessageKind::PresetContent, [weak = this->weak_from_this()](const HostId &from, std::span<const std::byte> payload) {
            if (const std::shared_ptr<PresetService> self = weak.lock()) {
                self->onContent(from, payload);
            }
        });
        m_started = true;
        advance();
    }

    void stop()
    {
        m_started = false;
        m_timer.cancel();
        m_handlers.clear();
    }

    /** Null until the first is known. */
    PresetPointer current() const
    {
        return m_holder.current();
    }

    /** Called for every adoption, after current() has changed. Several may be set. */
    void onChange(PresetHandler handler)
    {
        m_handlers.push_back(std::move(handler));
    }

    /** A host holds this version, as a membership message says. Any word counts as contact with a peer. */
    void heard(const HostId &host, PresetVersion version)
    {
        m_spread.heard(host, version, ClockType::now());
        advance();
    }

    void setHosts(const HostId &self, const std::vector<PresetPeer> &live)
    {
        m_spread.setHosts(self, live, ClockType::now());
        advance();
    }

    /** Holds a preset and heard from the platform or a peer lately. */
    bool ready() const
    {
        return m_spread.isReady(ClockType::now());
    }

    const PresetAlarms &alarms() const
    {
        return m_alarms;
    }

    /** Puts a preset of the library in force. */
    void switchTo(const PresetName &name, const OperatorName &by, ChangeHandler handler)
    {
        switchTo(name, by, std::nullopt, std::move(handler));
    }

    /** As above, and loses unless `expected` is the version in force. */
    void switchTo(const PresetName &name, const OperatorName &by, std::optional<PresetVersion> expected, ChangeHandler handler)
    {
        SwitchOrder order{name, by, OperationId(freshId()), m_holder.version(), unixMs(), expected};
        change(PresetSwitch(std::move(order), m_options.change, m_random.engine()()), std::move(handler));
    }

    /** Stores a preset in the library; what is in force stays. */
    void apply(Preset preset, const OperatorName &by, ChangeHandler handler)
    {
        ApplyOrder order{std::move(preset), by, OperationId(freshId()), unixMs()};
        change(PresetApply(std::move(order), m_options.change, m_random.engine()()), std::move(handler));
    }

    /** Who put what in force, by version, oldest first. Lines that cannot be read are left out and logged. */
    void history(const PlatformHandler<std::vector<PresetHistoryEntry>> &handler)
    {
        m_api.list(presetHistoryPrefix, [this, self = this->shared_from_this(), handler](const PlatformResult<std::vector<StoredObject>> &objects) {
            PlatformResult<std::vector<PresetHistoryEntry>> lines = readAll<PresetHistoryEntry>(objects, parseHistoryEntry);
            if (lines.has_value()) {
                addInForce(lines.value());
                std::ranges::sort(lines.value(), {}, &PresetHistoryEntry::version);
            }
            handler(std::move(lines));
        });
    }

    /** The library, in order of names. Entries that cannot be read are left out and logged. */
    void list(const PlatformHandler<std::vector<LibraryPreset>> &handler)
    {
        m_api.list(presetLibraryPrefix, [this, self = this->shared_from_this(), handler](const PlatformResult<std::vector<StoredObject>> &objects) {
            handler(readAll<LibraryPreset>(objects, parseLibraryPreset));
        });
    }

private:
    static std::int64_t unixMs()
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    }

    template <class Decision>
    void change(Decision decision, ChangeHandler handler)
    {
        using Sequence = PlatformSequence<ClockType, Api, Decision>;
        std::make_shared<Sequence>(m_executor, m_api, std::move(decision))
            ->run([self = this->shared_from_this(), handler = std::move(handler)](const ChangeResult &result) {
                if (result.accepted != nullptr) {
                    self->onAccepted(result.accepted);
                }
                handler(result);
            });
    }

    /** In force here before the operator is told. */
    void onAccepted(const PresetPointer &accepted)
    {
        note(m_holder.offerFromPeer(accepted));
        // A lost line does no harm: whoever replaces this version writes it first (presetswitch.h).
        m_api.put(presetHistoryKey(accepted->version), printHistoryLineOf(*accepted), WriteCondition::absent(), [](const PlatformResult<ObjectVersion> &) {});
        advance();
    }

    template <class Entry, class Parse>
    PlatformResult<std::vector<Entry>> readAll(const PlatformResult<std::vector<StoredObject>> &objects, Parse parse)
    {
        if (objects.has_error()) {
            return failure(objects.error());
        }
        std::vector<Entry> entries;
        for (const StoredObject &object : objects.value()) {
            Result<Entry, PresetFaults> entry = parse(object.value);
            if (entry.has_value()) {
                entries.push_back(std::move(entry.value()));
            } else {
                m_log.warn("object " + object.key + " cannot be read: " + describeFaults(entry.error()));
            }
        }
        return entries;
    }

    /** The newest line may not be written yet. */
    void addInForce(std::vector<PresetHistoryEntry> &lines) const
    {
        const PresetPointer &held = m_holder.current();
        if (held != nullptr && std::ranges::find(lines, held->version, &PresetHistoryEntry::version) == lines.end()) {
            lines.push_back({held->version, held->operation, held->by, held->acceptedUnixMs, held->preset.name});
        }
    }

    void advance()
    {
        if (!m_started) {
            return;
        }
        const TimePoint now = ClockType::now();
        for (const SpreadAction &action : m_spread.advance(now)) {
            carryOut(action);
        }
        m_timer.expires_at(std::max(m_spread.nextTick(), now + leastPresetSleep));
        m_timer.async_wait([weak = this->weak_from_this()](const boost::system::error_code &error) {
            const std::shared_ptr<PresetService> self = weak.lock();
            if (!error && self) {
                self->advance();
            }
        });
    }

    void carryOut(const SpreadAction &action)
    {
        switch (action.kind) {
        case SpreadAction::Kind::ReadPlatform:
            readPlatform();
            return;
        case SpreadAction::Kind::Peek:
            peek(action.watchAfter);
            return;
        case SpreadAction::Kind::AskPeer:
            send(action.peer, MessageKind::PresetFetch, encodePresetFetch({m_holder.version()}));
            return;
        case SpreadAction::Kind::Watch:
            watch(action.watchAfter);
            return;
        case SpreadAction::Kind::Announce:
            send(action.peer, MessageKind::PresetContent, encodePresetContent({m_holder.version(), {}}));
            return;
        }
    }

    /** A frame that cannot be sent is as good as lost; the spread's time limits cover both. */
    void send(const HostId &peer, MessageKind kind, std::vector<std::byte> payload)
    {
        const Result<void, SendError> sent = m_transport.send(peer, kind, std::move(payload));
        if (sent.has_error()) {
            m_log.debug("could not send to host " + peer.text());
        }
    }

    void readPlatform()
    {
        const PresetVersion heldAtAsk = m_holder.version();
        m_api.get(presetInForceKey, [self = this->shared_from_this(), heldAtAsk](const PlatformResult<StoredObject> &result) {
            self->onRead(result, heldAtAsk);
            self->advance();
        });
    }

    void onRead(const PlatformResult<StoredObject> &result, PresetVersion heldAtAsk)
    {
        if (!m_started) {
            return;
        }
        if (result.has_value()) {
            if (const PresetPointer offered = parse(result.value().value, "the platform")) {
                note(m_holder.offerFromPlatform(offered, heldAtAsk));
            }
            m_spread.onPlatformRead(result.value().version, ClockType::now());
            return;
        }
        const bool absent = result.error().kind == PlatformErrorKind::NotFound;
        m_spread.onPlatformRead(absent ? std::optional<ObjectVersion>(0) : std::nullopt, ClockType::now());
    }

    void peek(std::uint64_t after)
    {
        m_api.watch(presetInForceKey, after, Duration::zero(), [self = this->shared_from_this()](const PlatformResult<WatchBatch> &result) {
            if (self->m_started) {
                self->m_spread.onPeek(result, ClockType::now());
                self->advance();
            }
        });
    }

    void watch(std::uint64_t after)
    {
        m_api.watch(presetInForceKey, after, m_options.spread.watchWait, [self = this->shared_from_this()](const PlatformResult<WatchBatch> &result) {
            if (self->m_started) {
                self->m_spread.onWatch(result, ClockType::now());
                self->advance();
            }
        });
    }

    void onFetch(const HostId &from, std::span<const std::byte> payload)
    {
        const std::optional<PresetFetch> fetch = decodePresetFetch(payload);
        if (!fetch || !m_started) {
            return;
        }
        const bool newer = m_holder.version() > fetch->have;
        send(from, MessageKind::PresetContent, encodePresetContent({m_holder.version(), newer ? m_document : std::string()}));
        heard(from, fetch->have);
    }

    void onContent(const HostId &from, std::span<const std::byte> payload)
    {
        const std::optional<PresetContent> content = decodePresetContent(payload);
        if (!content || !m_started) {
            return;
        }
        if (!content->document.empty()) {
            if (const PresetPointer offered = parse(content->document, "host " + from.text())) {
                note(m_holder.offerFromPeer(offered));
            }
        }
        m_spread.onPeerAnswer(from, content->version, ClockType::now());
        advance();
    }

    PresetPointer parse(std::string_view text, const std::string &source)
    {
        Result<PresetInForce, PresetFaults> parsed = parsePresetInForce(text);
        if (parsed.has_error()) {
            ++m_alarms.unreadable;
            m_log.error("preset from " + source + " is refused: " + describeFaults(parsed.error()));
            return nullptr;
        }
        return std::make_shared<const PresetInForce>(std::move(parsed.value()));
    }

    void note(PresetOffer offer)
    {
        switch (offer) {
        case PresetOffer::Adopted:
            onAdopted();
            return;
        case PresetOffer::WentBack:
            ++m_alarms.wentBack;
            m_log.error("the platform shows an older preset than version " + std::to_string(m_holder.version()) + "; not adopted");
            return;
        case PresetOffer::Forked:
            ++m_alarms.forked;
            m_log.error("preset version " + std::to_string(m_holder.version()) + " exists twice; the one in force stays");
            return;
        case PresetOffer::Known:
        case PresetOffer::Older:
            return;
        }
    }

    void onAdopted()
    {
        const PresetPointer adopted = m_holder.current();
        m_document = printPresetInForce(*adopted);
        m_log.info("preset " + adopted->preset.name.text() + " version " + std::to_string(adopted->version) + " is in force");
        m_spread.adopted(adopted->version, ClockType::now());
        // A handler may set further handlers, or stop the service.
        for (std::size_t i = 0; i < m_handlers.size(); ++i) {
            const PresetHandler handler = m_handlers[i];
            handler(adopted);
        }
    }

    boost::asio::any_io_executor m_executor;
    Api &m_api;
    Transport &m_transport;
    PresetServiceOptions m_options;
    PresetHolder m_holder;
    PresetSpread m_spread;
    Random m_random;
    SessionTimer<ClockType> m_timer;
    std::vector<PresetHandler> m_handlers;
    std::string m_document; ///< what is held, as text, for peers
    PresetAlarms m_alarms;
    Log m_log{LogPart::Preset};
    bool m_started = false;
};

} // namespace Rhubarbwind
