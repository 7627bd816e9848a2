#pragma once

// On-call's calls at the admin port of a host that runs the gateway: what endpoints state about themselves; which requests are suspected to end
// endpoints or held, and lifting a hold.
//
// All need an operator's token. A lift clears the request on all hosts that this one reaches; on those that it does not, once
// they hear any that it does.

#include "daemon/adminanswer.h"
#include "placing/endpointboard.h"
#include "quarantine/suspectbook.h"

#include <functional>
#include <memory>
#include <vector>

namespace Rhubarbwind
{

struct SuspectAdminPorts
{
    std::function<std::vector<SuspectRow>()> rows;
    std::function<std::vector<StatementRow>()> statements;
    std::function<bool(const RequestIdentity &)> lift;
    std::function<TimePoint()> now;
    std::function<void(const RequestIdentity &, const OperatorName &)> onLifted;
};

class SuspectAdmin
{
public:
    SuspectAdmin(std::vector<OperatorEntry> operators, SuspectAdminPorts ports)
        : m_operators(std::move(operators))
        , m_ports(std::move(ports))
    {
    }

    static bool isFor(std::string_view target)
    {
        return target.starts_with("/admin/");
    }
    AdminAnswer answer(const HttpRequest &request) const;

private:
    AdminAnswer listed() const;
    AdminAnswer statements() const;
    AdminAnswer lifted(const RoutedCall &routed) const;

    std::vector<OperatorEntry> m_operators;
    SuspectAdminPorts m_ports;
};

} // namespace Rhubarbwind
