/** @file registry_era_base.h Decides which era of the registry is believed.
 *
 * The registry's own answers are linearizable: an answer to a call that was
 * started after an era was learnt cannot be of a lower one unless that era was
 * wrong, for instance made up by a faulty peer. So a balancer that reaches the
 * registry lets its answers decide; only the others believe their peers.
 */
#ifndef TURMERIC_COORDINATION_REGISTRY_ERA_BASE_H_
#define TURMERIC_COORDINATION_REGISTRY_ERA_BASE_H_

#include <cstdint>

#include "turmeric/state/time_type.h"

namespace turmeric {

struct registry_era_options {
  /** Answers in a row of a lower era that prove the believed one wrong. */
  uint32_t disproving_answers = 2;
  /** Time after that in which no higher era is taken from peers. */
  time_us distrust_time = 60 * us_per_s;
};

/** What the era of an answer means. */
enum class era_verdict : uint8_t {
  current,   ///< The believed era, or the first one, or none is named.
  newer,     ///< A newer era: all kinds have to be listed anew.
  outdated,  ///< An older era: the answer must not be used.
  disproved  ///< A lower era, which is believed from now on; list anew.
};

/** The era that one balancer believes. */
class registry_era {
 public:
  explicit registry_era(registry_era_options options = {})
      : options_(options) {}

  /** Takes the era of an answer of the registry.
   * @param era 0 if the answer names none: it counts as of the current one.
   * @param call_started When the call was started. */
  era_verdict on_answer(time_us now, uint64_t era, time_us call_started);

  /** @return Whether a state of @p era by a peer may be taken.
   * @param registry_works Whether this balancer's own calls to the registry
   * succeed. */
  bool accepts_from_peer(time_us now, uint64_t era, bool registry_works) const;

  /** Records that a peer's state of @p era was taken. */
  void on_peer_state(time_us now, uint64_t era);

  /** @return The believed era, or 0 before the first one. */
  uint64_t current() const { return era_; }

  /** @return Whether it has changed since the first one. */
  bool changed() const { return changed_; }

 private:
  void set(time_us now, uint64_t era);

  registry_era_options options_;
  uint64_t era_ = 0;
  bool changed_ = false;
  time_us learnt_at_ = 0;
  uint32_t lower_answers_ = 0;  ///< In a row.
  time_us distrust_until_ = 0;
};

}  // namespace turmeric

#endif  // TURMERIC_COORDINATION_REGISTRY_ERA_BASE_H_
