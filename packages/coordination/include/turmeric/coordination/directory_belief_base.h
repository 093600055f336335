/** @file directory_belief_base.h What a balancer knows of one kind of
 * directory entries: a state of the registry at one revision, which only ever
 * moves forward. */
#ifndef TURMERIC_COORDINATION_DIRECTORY_BELIEF_BASE_H_
#define TURMERIC_COORDINATION_DIRECTORY_BELIEF_BASE_H_

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "turmeric/state/peer_message_type.h"

namespace turmeric {

/** An entry that is or was in the registry. */
struct believed_entry {
  uint64_t revision = 0;
  /** The last one that could be read; null if none could. */
  std::shared_ptr<const directory_value> value;
  std::string problem;  ///< Why the newest value is unreadable, else empty.
  bool registered = true;
  time_us removed = 0;  ///< When the removal was learnt; microseconds, local.
  uint64_t removed_revision = 0;  ///< At or before which it was removed.

  /** @return Whether it is registered and its newest value was readable. */
  bool usable() const { return registered && problem.empty(); }
};

/** A change of the belief, for the log. */
struct belief_change {
  std::string name;
  uint64_t revision = 0;
  bool removed = false;
  std::string problem;
};

/** Knowledge of one kind. */
class directory_replica {
 public:
  /** @param keep_removed Time for which removed entries stay known. */
  explicit directory_replica(time_us keep_removed)
      : keep_removed_(keep_removed) {}

  /** Applies changes that are complete from the known revision to
   * @p revision.
   * @return What changed; nothing if @p revision is not newer. */
  std::vector<belief_change> apply(
      time_us now,
      uint64_t revision,
      const std::vector<directory_change>& changes);

  /** Replaces the state by that at @p revision.
   * @return What changed; nothing if @p revision is not newer. */
  std::vector<belief_change> replace(time_us now,
                                     uint64_t revision,
                                     const std::vector<directory_change>& all);

  /** Forgets entries that were removed long ago. */
  void forget_removed(time_us now);

  /** @return The names of entries that changed, or were removed, after
   * @p revision, oldest first. */
  std::vector<std::string> changed_since(uint64_t revision) const;

  /** @return The oldest revision from which all removals are still known. */
  uint64_t complete_since() const { return complete_since_; }

  bool loaded() const { return mark_.revision != 0; }
  const directory_mark& mark() const { return mark_; }
  const std::map<std::string, believed_entry>& entries() const {
    return entries_;
  }

 private:
  void put(time_us now,
           const directory_change& change,
           std::vector<belief_change>* out);
  void remove(time_us now,
              const std::string& name,
              uint64_t revision,
              std::vector<belief_change>* out);
  void advance(uint64_t revision);
  /** Takes an entry into the digest and the order of changes, or out of it. */
  void count(const std::string& name, const believed_entry& entry);
  void discount(const std::string& name, const believed_entry& entry);

  time_us keep_removed_;
  directory_mark mark_;
  uint64_t complete_since_ = 0;
  std::map<std::string, believed_entry> entries_;
  /** All entries by the revision of their last change. */
  std::set<std::pair<uint64_t, std::string>> by_revision_;
};

}  // namespace turmeric

#endif  // TURMERIC_COORDINATION_DIRECTORY_BELIEF_BASE_H_
