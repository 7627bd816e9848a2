#pragma once

// One host: every part of rhubarbwindd, made from its settings and wired together.
//
// Only wiring lives here. Each part decides for itself; the runtime passes what one part learned to the parts
// that need it: members to the duties, endpoints to the arbiters, the preset in force to arbiter and relay,
// signs of leaving to the members. Everything runs on one io_context's thread.
//
// Use: make one with std::make_shared, start(), run the io_context; orderStop() begins a planned stop and the
// io_context runs out when it is done.

#include "base/result.h"
#include "settings/settings.h"

#include <cstdint>
#include <memory>

#include <boost/asio/io_context.hpp>

namespace Rhubarbwind
{

enum class HostStartError : std::uint8_t {
    CallersAddress, ///< the callers' address can't be bound
    PeersAddress,
    AdminAddress,
};

class HostRuntime
{
public:
    HostRuntime(boost::asio::io_context &context, const Settings &settings);
    ~HostRuntime();
    HostRuntime(const HostRuntime &) = delete;
    HostRuntime &operator=(const HostRuntime &) = delete;

    Result<void, HostStartError> start();
    /** A planned stop; a second order changes nothing. */
    void orderStop();

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace Rhubarbwind
