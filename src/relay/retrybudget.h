#pragma once

// Bounds retries to a fraction of successes, per customer and shard, so that retries cannot amplify an outage.
//
// Each success earns `earnedPerSuccess` of a retry, up to `most`; a retry takes one. An account starts with
// `initial`, so that the first failure of a quiet customer may be retried. When a shard is down nothing
// succeeds, the account runs dry and each request is tried once. One customer's failures never use up another
// customer's account.
//
// Bound: at most `accounts` accounts; the least recently used one is forgotten and would start anew.

#include "base/ids.h"

#include <compare>
#include <cstddef>
#include <list>
#include <map>

namespace Rhubarbwind
{

struct RetryAccount
{
    CustomerId customer;
    ShardId shard;
    friend auto operator<=>(const RetryAccount &, const RetryAccount &) = default;
};

struct RetryBudgetOptions
{
    double earnedPerSuccess = 0.1;
    double initial = 3.0;
    double most = 10.0;
    std::size_t accounts = 4096;
};

class RetryBudget
{
public:
    explicit RetryBudget(RetryBudgetOptions options = {})
        : m_options(options)
    {
    }

    void succeeded(const RetryAccount &account);
    /** Takes one retry if the account holds one; otherwise changes nothing. */
    bool tryTake(const RetryAccount &account);
    double available(const RetryAccount &account) const;
    std::size_t size() const
    {
        return m_accounts.size();
    }

private:
    struct Entry
    {
        double retries = 0;
        std::list<RetryAccount>::iterator recent;
    };

    Entry &touch(const RetryAccount &account);

    RetryBudgetOptions m_options;
    std::map<RetryAccount, Entry> m_accounts;
    std::list<RetryAccount> m_recent; ///< least recently used first
};

} // namespace Rhubarbwind
