/** @file soak_traffic_internal.h Addresses and packets that targets and callers
 * of the soak share. */
#ifndef TURMERIC_TESTS_SOAK_SOAK_TRAFFIC_INTERNAL_H_
#define TURMERIC_TESTS_SOAK_SOAK_TRAFFIC_INTERNAL_H_

#include <cstdint>
#include <vector>

#include "turmeric/state/segment_type.h"

namespace turmeric::tests {

constexpr uint32_t first_caller_ip = 0x7f0a0201;  // 127.10.2.1 and on
constexpr uint32_t first_target_ip = 0x7f0a0101;  // 127.10.1.1 and on
constexpr size_t caller_count = 16;
constexpr size_t request_bytes = 64;
constexpr size_t response_bytes = 256;
/** First byte of the data of a flow's last request. */
constexpr uint8_t closing_mark = 1;
/** First byte of the data of a response to a request that did not run. */
constexpr uint8_t not_run_mark = 2;
/** Number of the first target. A target's number is in its name, in hex, and in
 * the prefix of the packets that balancers send to it. */
constexpr uint64_t first_target_number = 0xa0;

/** @return @p s as a packet; its data are zeros after @p first_byte. The keyed
 * checksum is left out, as it is not checked on loopback. */
std::vector<uint8_t> encode_segment(const segment& s, uint8_t first_byte = 0);

}  // namespace turmeric::tests

#endif  // TURMERIC_TESTS_SOAK_SOAK_TRAFFIC_INTERNAL_H_
