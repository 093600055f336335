/** @file emu_store.h In-memory stand-in of the platform's store: the
 * operations that balancers read with. */
#ifndef TURMERIC_TESTS_EMULATOR_EMU_STORE_H_
#define TURMERIC_TESTS_EMULATOR_EMU_STORE_H_

#include <functional>
#include <list>
#include <map>

#include "emu_types.h"
#include "sim_clock.h"

namespace turmeric::tests {

/** Store with lists, watches and a change history that can be dropped. */
class emu_store {
 public:
  using reply_handler = std::function<void(registry_reply)>;

  explicit emu_store(sim_clock* clock) : clock_(clock) {}

  /** Writes an entry. @return Its revision. */
  uint64_t put(directory_kind kind,
               const std::string& name,
               directory_value value);

  /** Writes an entry that cannot be read. */
  void put_unreadable(directory_kind kind, const std::string& name);

  /** Removes an entry. @return The revision, or 0 if there was none. */
  uint64_t remove(directory_kind kind, const std::string& name);

  /** Serves a call. A watch is answered at the next change of its kind or when
   * its wait time ends. */
  void call(const registry_call& call, const reply_handler& done);

  /** Drops the history and ends all watches. */
  void drop_history();

  /** Copies the current state, in place of an earlier copy with the same
   * @p id. */
  void take_copy(uint64_t id);

  /** Goes back to a copy and starts a new era. Later revisions are given out
   * again; the history after the copy and all watches are lost. */
  void restore_copy(uint64_t id);

  /** @return The value of an entry, or null. */
  const directory_value* find(directory_kind kind,
                              const std::string& name) const;

  /** @return The names of all entries of a kind. */
  std::vector<std::string> names(directory_kind kind) const;

  /** Ends all watches without a reply. */
  void drop_watches() { watches_.clear(); }

  bool has(directory_kind kind, const std::string& name) const;
  uint64_t revision() const { return revision_; }
  uint64_t era() const { return era_; }

 private:
  struct pending_watch {
    uint64_t watch_id;
    registry_call call;
    reply_handler on_reply;
  };

  using object_map = std::map<std::string, directory_change>;

  struct copy {
    uint64_t revision = 0;
    std::array<object_map, directory_kinds> objects;
  };

  void record_change(directory_kind kind, directory_change change);
  registry_reply list(const registry_call& call) const;
  registry_reply changes_since(const registry_call& call) const;

  static constexpr size_t page_size = 10;

  sim_clock* clock_;
  uint64_t era_ = 1;
  uint64_t revision_ = 1;
  uint64_t dropped_up_to_ = 0;  ///< Revision up to which changes were dropped.
  uint64_t last_watch_id_ = 0;
  std::array<object_map, directory_kinds> objects_;
  std::map<uint64_t, copy> copies_;
  std::vector<std::pair<directory_kind, directory_change>> history_;
  std::list<pending_watch> watches_;
};

}  // namespace turmeric::tests

#endif  // TURMERIC_TESTS_EMULATOR_EMU_STORE_H_
