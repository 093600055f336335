/** @file checksum_func.h Checksum over whole answers. */
#ifndef TURMERIC_COORDINATION_CHECKSUM_FUNC_H_
#define TURMERIC_COORDINATION_CHECKSUM_FUNC_H_

#include <cstdint>
#include <string>

namespace turmeric {

/** @return XXH3 hash of @p body. Detects parts of different answers, but not
 * deliberate changes. */
uint64_t checksum(const std::string& body);

}  // namespace turmeric

#endif  // TURMERIC_COORDINATION_CHECKSUM_FUNC_H_
