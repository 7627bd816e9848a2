#pragma once

// Reading JSON documents into value types, with every fault named by its path.
//
// A JsonReader walks one object: each read names a key, checks type and range, and notes a fault instead of
// stopping, so that one run lists all faults of a document. finish() reports the keys that nobody read, so a
// misspelt key is never silently ignored. Documents may hold comments and trailing commas.
//
// Bounds: nesting depth 32, at most maxFaults faults are kept; the caller bounds the text's size.

#include "base/result.h"
#include "base/time.h"

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

namespace Rhubarbwind
{

inline constexpr std::size_t maxFaults = 100;

/** One fault: where, what stands there, what may stand there. */
struct DocumentFault
{
    std::string path;
    std::string value;
    std::string allowed;
    friend bool operator==(const DocumentFault &, const DocumentFault &) = default;
};

using DocumentFaults = std::vector<DocumentFault>;

/** One line a fault: `path: value; allowed: ...`. */
std::string describeFaults(const DocumentFaults &faults);

/** Parses text with comments; a syntax error is the single fault. */
Result<boost::json::value, DocumentFaults> parseDocument(std::string_view text);

class JsonReader
{
public:
    /** @param path of the object itself, empty for the document. A value that is no object is a fault. */
    JsonReader(const boost::json::value &value, std::string path, DocumentFaults &faults);

    /** Each leaves the target as it is when the key is absent; `required` makes absence a fault. */
    void text(std::string_view key, std::string &target, std::size_t longest, bool required = false);
    void flag(std::string_view key, bool &target);
    void number(std::string_view key, double &target, double least, double most);
    void whole(std::string_view key, std::uint64_t &target, std::uint64_t least, std::uint64_t most);
    /** An integer key that ends in _ms. */
    void milliseconds(std::string_view key, Duration &target, Duration least, Duration most);

    template <class Integer>
    void integer(std::string_view key, Integer &target, std::uint64_t least, std::uint64_t most)
    {
        std::uint64_t value = static_cast<std::uint64_t>(target);
        whole(key, value, least, most);
        target = static_cast<Integer>(value);
    }

    /** Reads a text that must be one of the names; sets target to its index. */
    void choice(std::string_view key, std::size_t &target, const std::vector<std::string_view> &names);
    /** Calls `read` with a reader for the object under the key, if present. */
    void object(std::string_view key, const std::function<void(JsonReader &)> &read);
    /** Calls `read` for each object of the array under the key, if present. */
    void objects(std::string_view key, std::size_t most, const std::function<void(JsonReader &)> &read, bool required = false);
    void texts(std::string_view key, std::vector<std::string> &target, std::size_t most);

    /** Notes a fault of a value that was read, found by a check across keys. */
    void fault(std::string_view key, std::string value, std::string allowed);
    /** Notes every key that no call named. Call last. */
    void finish();
    const std::string &path() const
    {
        return m_path;
    }

private:
    const boost::json::value *find(std::string_view key);
    std::string pathOf(std::string_view key) const;

    const boost::json::object *m_object = nullptr;
    std::string m_path;
    DocumentFaults &m_faults;
    std::set<std::string, std::less<>> m_named;
};

} // namespace Rhubarbwind
