/** @file directory_replica_base.h Local replica of one kind of directory
 * entries: the state of the registry at one version, which never decreases
 * unless a restored registry proves it wrong. */
#ifndef TURMERIC_COORDINATION_DIRECTORY_REPLICA_BASE_H_
#define TURMERIC_COORDINATION_DIRECTORY_REPLICA_BASE_H_

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "turmeric/state/peer_message_type.h"

namespace turmeric {

/** An entry that is or was in the registry. */
struct replica_entry {
  uint64_t revision = 0;
  uint64_t era = 0;  ///< Of `revision`; 0 if unknown.
  /** The last one that could be read; null if none could. */
  std::shared_ptr<const directory_value> value;
  std::string read_error;  ///< Why the newest value is unreadable, else empty.
  std::vector<std::string> unread_parts;  ///< Of the newest value.
  bool registered = true;
  time_us removed_at = 0;  ///< When the removal arrived here; local clock.
  uint64_t removed_revision = 0;  ///< Removed at this one or before.
  /** Missing since the registry was restored from an older copy. It may have
   * been written after that copy was made. */
  bool lost_in_restore = false;

  /** @return Whether it is registered and its newest value was readable. */
  bool usable() const { return registered && read_error.empty(); }
};

/** A change of the replica, for the log. */
struct replica_change {
  std::string name;
  uint64_t revision = 0;
  bool removed = false;
  std::string read_error;  ///< Why the new value is unreadable, else empty.
  std::vector<std::string> unread_parts;  ///< Of the new value.
};

/** Replica of one kind. */
class directory_replica {
 public:
  /** @param removed_retention Time for which removed entries are kept. */
  explicit directory_replica(time_us removed_retention)
      : removed_retention_(removed_retention) {}

  /** Applies changes that are complete from the replica's version to
   * @p version.
   * @return What changed; nothing if @p version is not newer or is of another
   * era, whose changes do not continue this state. */
  std::vector<replica_change> apply(
      time_us now,
      registry_version version,
      const std::vector<directory_change>& changes);

  /** Replaces the state by that at @p version. If that is of another era, all
   * entries are taken from it; drains, later processes and cold starts that are
   * known of targets stay, since the registry was restored from an older copy.
   * @return What changed; nothing if @p version is not newer. */
  std::vector<replica_change> replace(time_us now,
                                      registry_version version,
                                      const std::vector<directory_change>& all);

  /** The next state is taken by replace() even if its era is lower. */
  void distrust_era() { era_distrusted_ = true; }

  /** Forgets removed entries whose retention time is over. */
  void forget_removed(time_us now);

  /** @return The names of entries that changed, or were removed, after
   * @p revision, oldest first. */
  std::vector<std::string> changed_since(uint64_t revision) const;

  /** @return The oldest revision since which all removals are kept; a delta
   * from an older one would be incomplete. */
  uint64_t complete_since() const { return complete_since_; }

  bool loaded() const { return summary_.revision != 0; }
  const directory_summary& summary() const { return summary_; }
  const std::map<std::string, replica_entry>& entries() const {
    return entries_;
  }

 private:
  void put(time_us now,
           const directory_change& change,
           bool restored,  ///< From a registry restored since the last state.
           std::vector<replica_change>* out);
  void remove(time_us now,
              const std::string& name,
              uint64_t revision,
              std::vector<replica_change>* out);
  void advance(registry_version version);
  /** Removed entries take the new era's @p revision, so that their removal is
   * not passed on under a revision of the old one. */
  void restamp_removed(uint64_t revision);
  /** Adds an entry to the digest and to the order of changes, or removes it
   * from them. */
  void track(const std::string& name, const replica_entry& entry);
  void untrack(const std::string& name, const replica_entry& entry);

  time_us removed_retention_;
  directory_summary summary_;
  bool era_distrusted_ = false;
  uint64_t complete_since_ = 0;
  std::map<std::string, replica_entry> entries_;
  /** All entries by the revision of their last change. */
  std::set<std::pair<uint64_t, std::string>> by_revision_;
};

}  // namespace turmeric

#endif  // TURMERIC_COORDINATION_DIRECTORY_REPLICA_BASE_H_
