/** @file platform_store.h The platform's object API in memory, with faults. */
#ifndef TURMERIC_TESTS_STANDINS_PLATFORM_STORE_H_
#define TURMERIC_TESTS_STANDINS_PLATFORM_STORE_H_

#include <map>
#include <string>

#include "turmeric/state/platform_type.h"

namespace turmeric::tests {

/** Faults of the platform, set by tests. */
struct platform_faults {
  bool down = false;  ///< Calls have no effect and no reply.
  /** Percent of create and update calls that take effect but have no reply. */
  uint32_t lost_reply_percent = 0;
  uint32_t added_latency_ms = 0;  ///< Delay of each call.
  /** Watches from before this number of the change log get status `gone`; 0 for
   * no limit. */
  uint64_t compacted_before = 0;
};

/** Objects with versions. Not thread-safe. */
class platform_store {
 public:
  /** Executes a call without waiting: a watch returns the objects that there
   * are now, possibly none. A call without a reply has status `unavailable`.
   * @param random Decides whether the reply of a write is lost. */
  platform_reply execute(const platform_call& call, uint64_t random);

  platform_faults faults;

  /** @return Calls counted so far, by operation. */
  const std::map<platform_op, uint64_t>& call_counts() const {
    return call_counts_;
  }

  /** Counts a call. Apart from execute(), since a waiting watch is one call and
   * is executed several times. */
  void count_call(platform_op op) { ++call_counts_[op]; }

 private:
  platform_reply apply(const platform_call& call);
  platform_reply watch(const platform_call& call) const;

  std::map<std::string, platform_object> objects_;
  std::map<platform_op, uint64_t> call_counts_;
};

}  // namespace turmeric::tests

#endif  // TURMERIC_TESTS_STANDINS_PLATFORM_STORE_H_
