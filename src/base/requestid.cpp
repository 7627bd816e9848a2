#include "base/requestid.h"

#include <array>
#include <random>

namespace Rhubarbwind
{

std::string freshId()
{
    // The system's source rather than a seeded engine: two hosts must never make the same id.
    static thread_local std::random_device source;
    static constexpr std::array<char, 17> digits{"0123456789abcdef"};
    static constexpr int wordsPerId = 4;
    static constexpr int digitsPerWord = 8;
    std::string id;
    id.reserve(wordsPerId * digitsPerWord);
    for (int word = 0; word < wordsPerId; ++word) {
        std::random_device::result_type bits = source();
        for (int digit = 0; digit < digitsPerWord; ++digit) {
            id.push_back(digits[bits & 0xF]);
            bits >>= 4;
        }
    }
    return id;
}

} // namespace Rhubarbwind
