/** @file routing_history_base.h Recent routing configurations and the patches
 * that turn them into the newest one.
 *
 * A configuration of some hundred routes has tens of kilobytes, while a change
 * concerns a few routes. Patches are small enough to be pushed to all balancers
 * of a group, which need not read the registry then.
 */
#ifndef TURMERIC_COORDINATION_ROUTING_HISTORY_BASE_H_
#define TURMERIC_COORDINATION_ROUTING_HISTORY_BASE_H_

#include <deque>
#include <memory>
#include <optional>

#include "turmeric/state/peer_message_type.h"

namespace turmeric {

/** @return What turns @p base into @p next; nothing if that cannot be
 * expressed, as unchanged routes have another order or routes share a name.
 * `base_digest` and `base_era` are not set. */
std::optional<routing_patch> make_patch(const routing_entry& base,
                                        const routing_entry& next);

/** @return The later configuration; nothing if the positions of the patch do
 * not fit @p base. */
std::optional<routing_entry> apply_patch(const routing_entry& base,
                                         const routing_patch& patch);

/** The last configurations of one replica. */
class routing_history {
 public:
  /** @param capacity Configurations kept: those that a peer may still have
   * while changes follow each other within a second. */
  explicit routing_history(size_t capacity = 8) : capacity_(capacity) {}

  /** Adds the newest configuration. Those of another era are removed, since a
   * restored registry gives out revisions, and so digests, again.
   * @param replica State of the replica that holds it. */
  void add(const directory_summary& replica,
           std::shared_ptr<const directory_value> value);

  /** @return What turns the configuration of a replica with this digest into
   * the newest one; null if there is no such patch. Valid until add(). */
  const routing_patch* patch_from(uint64_t digest);

 private:
  struct version {
    uint64_t digest = 0;
    std::shared_ptr<const directory_value> value;
    bool compared = false;  ///< Whether `patch` has been computed.
    std::optional<routing_patch> patch;
  };

  size_t capacity_;
  uint64_t era_ = 0;              ///< Of `versions_`.
  std::deque<version> versions_;  ///< Oldest first.
};

}  // namespace turmeric

#endif  // TURMERIC_COORDINATION_ROUTING_HISTORY_BASE_H_
