/** @file routing_patch_type.h Difference between two routing configurations. */
#ifndef TURMERIC_STATE_ROUTING_PATCH_TYPE_H_
#define TURMERIC_STATE_ROUTING_PATCH_TYPE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "turmeric/state/directory_type.h"

namespace turmeric {

/** What turns one routing configuration into a later one. Routes are identified
 * by their names. */
struct routing_patch {
  /** Digest of the replica that holds the earlier configuration, and its era.
   */
  uint64_t base_digest = 0;
  uint64_t base_era = 0;
  /** Of the earlier configuration. After a restore of the registry, a balancer
   * may keep a higher one than others under the same digest. */
  uint64_t base_version = 0;
  uint64_t version = 0;  ///< Of the later configuration.
  /** Changed and added routes, in their order in the later configuration. */
  std::vector<route_entry> changed;
  /** Of each of `changed` among all routes of the later configuration. */
  std::vector<uint32_t> positions;
  std::vector<std::string> removed;
  std::vector<service_entry> services;  ///< All of the later configuration.
  time_us idle_timeout = 0;             ///< The same.
};

}  // namespace turmeric

#endif  // TURMERIC_STATE_ROUTING_PATCH_TYPE_H_
