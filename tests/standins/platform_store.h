/** @file platform_store.h The platform's object API in memory, with faults. */
#ifndef TURMERIC_TESTS_STANDINS_PLATFORM_STORE_H_
#define TURMERIC_TESTS_STANDINS_PLATFORM_STORE_H_

#include <map>
#include <string>

#include "turmeric/state/platform_type.h"

namespace turmeric::tests {

/** Faults on demand. */
struct platform_faults {
  bool down = false;  ///< Nothing is answered, nothing happens.
  uint32_t lost_reply_percent =
      0;                          ///< Percent of writes answered with silence.
  uint32_t added_latency_ms = 0;  ///< Added to each call.
  uint64_t compacted_before = 0;  ///< Watches before this log number are gone.
};

/** Objects with versions; one call at a time. */
class platform_store {
 public:
  /** Runs a call at once; a watch returns what is there, maybe nothing. */
  platform_reply execute(const platform_call& call, uint64_t random);

  platform_faults faults;

  /** @return Calls so far, by operation. */
  const std::map<platform_op, uint64_t>& calls() const { return calls_; }

  /** Counts a waiting watch as the one call that it is. */
  void count_call(platform_op op) { ++calls_[op]; }

 private:
  platform_reply apply(const platform_call& call);
  platform_reply watch(const platform_call& call) const;

  std::map<std::string, platform_object> objects_;
  std::map<platform_op, uint64_t> calls_;
};

}  // namespace turmeric::tests

#endif  // TURMERIC_TESTS_STANDINS_PLATFORM_STORE_H_
