// An event handler for Boost.JSON's basic_parser that keeps, for each open object or list, where it is.

#include "preset/duplicatekeys.h"

#include <boost/json/basic_parser_impl.hpp>

#include <set>

namespace Rhubarbwind
{

namespace
{

namespace json = boost::json;

struct OpenValue
{
    bool isList = false;
    std::size_t index = 0; ///< of a list's next element
    std::string key; ///< the object's key being read
    std::set<std::string> keys;
};

/** The events' names and signatures are set by the library. */
struct KeyWatcher // NOLINTBEGIN(readability-identifier-naming)
{
    static constexpr std::size_t max_array_size = static_cast<std::size_t>(-1);
    static constexpr std::size_t max_object_size = static_cast<std::size_t>(-1);
    static constexpr std::size_t max_string_size = static_cast<std::size_t>(-1);
    static constexpr std::size_t max_key_size = static_cast<std::size_t>(-1);

    std::vector<OpenValue> open;
    std::vector<std::string> found;
    std::string partOfKey;
    std::size_t most = 0;

    std::string path() const
    {
        std::string text;
        for (const OpenValue &value : open) {
            if (value.isList) {
                text += "[" + std::to_string(value.index) + "]";
            } else {
                text += (text.empty() ? "" : ".") + value.key;
            }
        }
        return text;
    }

    bool valueEnded()
    {
        if (!open.empty() && open.back().isList) {
            ++open.back().index;
        }
        return true;
    }

    bool close()
    {
        open.pop_back();
        return valueEnded();
    }

    bool on_document_begin(json::error_code &)
    {
        return true;
    }
    bool on_document_end(json::error_code &)
    {
        return true;
    }
    bool on_array_begin(json::error_code &)
    {
        open.push_back({true, 0, {}, {}});
        return true;
    }
    bool on_array_end(std::size_t, json::error_code &)
    {
        return close();
    }
    bool on_object_begin(json::error_code &)
    {
        open.push_back({});
        return true;
    }
    bool on_object_end(std::size_t, json::error_code &)
    {
        return close();
    }
    bool on_key_part(json::string_view part, std::size_t, json::error_code &)
    {
        partOfKey.append(part.data(), part.size());
        return true;
    }
    bool on_key(json::string_view rest, std::size_t, json::error_code &)
    {
        open.back().key = std::exchange(partOfKey, {}) + std::string(rest);
        const bool isNew = open.back().keys.insert(open.back().key).second;
        if (!isNew && found.size() < most) {
            found.push_back(path());
        }
        return true;
    }
    bool on_string_part(json::string_view, std::size_t, json::error_code &)
    {
        return true;
    }
    bool on_string(json::string_view, std::size_t, json::error_code &)
    {
        return valueEnded();
    }
    bool on_number_part(json::string_view, json::error_code &)
    {
        return true;
    }
    bool on_int64(std::int64_t, json::string_view, json::error_code &)
    {
        return valueEnded();
    }
    bool on_uint64(std::uint64_t, json::string_view, json::error_code &)
    {
        return valueEnded();
    }
    bool on_double(double, json::string_view, json::error_code &)
    {
        return valueEnded();
    }
    bool on_bool(bool, json::error_code &)
    {
        return valueEnded();
    }
    bool on_null(json::error_code &)
    {
        return valueEnded();
    }
    bool on_comment_part(json::string_view, json::error_code &)
    {
        return true;
    }
    bool on_comment(json::string_view, json::error_code &)
    {
        return true;
    }
}; // NOLINTEND(readability-identifier-naming)

} // namespace

std::vector<std::string> findDuplicateKeys(std::string_view text, std::size_t most)
{
    json::parse_options options;
    options.allow_comments = true;
    options.allow_trailing_commas = true;
    json::basic_parser<KeyWatcher> parser(options);
    parser.handler().most = most;
    json::error_code error;
    parser.write_some(false, text.data(), text.size(), error);
    return error ? std::vector<std::string>() : std::move(parser.handler().found);
}

} // namespace Rhubarbwind
