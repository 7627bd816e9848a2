#pragma once

// Reading JSON documents into value types, with every fault named by its path.
//
// A JsonReader walks one object: each read names a key, checks type and range, and notes a fault instead of
// stopping, so that one run lists all faults of a document. finish() reports the keys that nobody read, so a
// misspelt key is never silently ignored. Documents may hold comments and trailing commas.
//
// readDocument() is for what people write: it also refuses keys that stand twice in one object, of which the
// JSON library keeps the last without a word. parseDocument() is for bodies of programs, at one pass less.
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

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

namespace Rhubarbwind
{

/** Faults kept of one document; a hostile one could otherwise list millions. */
inline constexpr std::size_t maxFaults = 200;

/** One fault: where, what stands there, what may stand there. */
struct DocumentFault
{
    std::string path; ///< for example "classes[2].tier"; empty for the document itself
    std::string value; ///< as found, shortened; `missing` without quotes when the key is absent
    std::string allowed;
    friend bool operator==(const DocumentFault &, const DocumentFault &) = default;
};

using DocumentFaults = std::vector<DocumentFault>;

/** One line a fault: `path: value; allowed: ...`. */
std::string describeFaults(const DocumentFaults &faults);

/** As people write it: 0.02 where the JSON library prints 2E-2. Reads back as the same number. */
std::string shortestNumber(double number);

/** Parses text with comments; a syntax error is the single fault. */
Result<boost::json::value, DocumentFaults> parseDocument(std::string_view text);

/** What a text must be besides its type; `allowed` is shown with a fault. */
struct TextRule
{
    bool (*accepts)(std::string_view text) = nullptr;
    std::string_view allowed;
};

class JsonReader
{
public:
    /** @param path of the object itself, empty for the document. A value that is no object is a fault. */
    JsonReader(const boost::json::value &value, std::string path, DocumentFaults &faults);

    /** Each leaves the target as it is when the key is absent; `required` makes absence a fault. */
    void text(std::string_view key, std::string &target, std::size_t longest, bool required = false);
    void text(std::string_view key, std::string &target, const TextRule &rule, bool required = false);
    void flag(std::string_view key, bool &target);
    void number(std::string_view key, double &target, double least, double most);
    void whole(std::string_view key, std::uint64_t &target, std::uint64_t least, std::uint64_t most, bool required = false);
    /** An integer key that ends in _ms. */
    void milliseconds(std::string_view key, Duration &target, Duration least, Duration most);

    template <class Integer>
    void integer(std::string_view key, Integer &target, std::uint64_t least, std::uint64_t most, bool required = false)
    {
        std::uint64_t value = static_cast<std::uint64_t>(target);
        whole(key, value, least, most, required);
        target = static_cast<Integer>(value);
    }

    /** Reads a text that must be one of the names; sets target to its index. */
    void choice(std::string_view key, std::size_t &target, const std::vector<std::string_view> &names);
    /** Calls `read` with a reader for the object under the key, if present. */
    void object(std::string_view key, const std::function<void(JsonReader &)> &read, bool required = false);
    /** Calls `read` for each object of the array under the key, if present. */
    void objects(std::string_view key, std::size_t most, const std::function<void(JsonReader &)> &read, bool required = false);
    void texts(std::string_view key, std::vector<std::string> &target, std::size_t most);
    /** As above; each element that breaks the rule is a fault of its own and is left out. */
    void texts(std::string_view key, std::vector<std::string> &target, std::size_t most, const TextRule &rule);

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
    /** As find; notes absence as a fault when the key is required. */
    const boost::json::value *find(std::string_view key, bool required, const std::string &allowed);
    /** The array under the key when it is one of at most `most` elements; otherwise notes a fault. */
    const boost::json::array *findArray(std::string_view key, std::size_t most, std::string_view elements, bool required);
    std::string pathOf(std::string_view key) const;

    const boost::json::object *m_object = nullptr;
    std::string m_path;
    DocumentFaults &m_faults;
    std::set<std::string, std::less<>> m_named;
};

/** Parses the text and calls `read` with a reader of the whole; the faults of both and the doubled keys come back. */
DocumentFaults readDocument(std::string_view text, const std::function<void(JsonReader &)> &read);

} // namespace Rhubarbwind
