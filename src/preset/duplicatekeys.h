#pragma once

// Finds keys that stand twice in one JSON object.
//
// The JSON library keeps the last of two equal keys without a word, so an operator who wrote a target twice
// would get the one that was not looked at. Comments and trailing commas are allowed, as in presetjson.h.
// Cost: one more pass, and a set of the keys of each open object.

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace Rhubarbwind
{

/** Paths such as "classes[2].tier", at most `most`; none for text that is not JSON. */
std::vector<std::string> findDuplicateKeys(std::string_view text, std::size_t most);

} // namespace Rhubarbwind
