#pragma once

// The software version of an endpoint's process, as its entry states it: an opaque text. What two versions write in one stream does not fit together.

#include "base/ids.h"

#include <boost/json/value.hpp>

#include <cstdint>

namespace Rhubarbwind
{

inline constexpr std::size_t maxSoftwareVersionBytes = 1024;

/**
 * Reads a version. A value that is no text or is too long is replaced by a digest of it, so that the endpoint stays usable and is never taken for one of
 * another version.
 * @param value null if the entry states none
 */
SoftwareVersion readSoftwareVersion(const boost::json::value *value);
/** False for a version that was replaced by a digest. */
bool isRegular(const SoftwareVersion &version);
/** Identifies the version between hosts; never zero. Endpoints that state no version have one key together. */
std::uint64_t versionKey(const SoftwareVersion &version);

} // namespace Rhubarbwind
