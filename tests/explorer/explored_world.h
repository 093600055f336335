/** @file explored_world.h Two balancers with the production directory cores and
 * a registry that may return from an older copy, as a state that is copied for
 * each step that an exploration tries. */
#ifndef TURMERIC_TESTS_EXPLORER_EXPLORED_WORLD_H_
#define TURMERIC_TESTS_EXPLORER_EXPLORED_WORLD_H_

#include <array>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "turmeric/coordination/directory_core_base.h"

namespace turmeric::tests {

constexpr size_t explored_balancers = 2;

/** Steps between which an exploration chooses. */
enum class explored_step : uint8_t {
  write_routing,     ///< The operators write the next configuration.
  drain_target,      ///< Target i-1 reports that it drains.
  register_target,   ///< Target i-2 registers.
  copy_store,        ///< The registry is copied.
  restore_store,     ///< It returns from the copy; calls get no answer.
  rewrite_lost,      ///< Operators and targets write again what it lost.
  answer_first,      ///< The registry answers the calls of a balancer.
  answer_second,     ///< The same for the other one.
  deliver_to_first,  ///< The oldest message on the way arrives.
  deliver_to_second,
  pass_time,  ///< Until the next retries and heartbeats.
  end
};

/** @return The name of @p step. */
std::string_view name_of(explored_step step);

/** Faults injected on purpose, which an exploration must find. */
enum class explored_fault : uint8_t {
  none,
  bare_revisions,  ///< The registry's answers name no era.
  eraless_peers,   ///< Heartbeats and pushes name no era.
  end
};

/** @return The name of @p fault. */
std::string_view name_of(explored_fault fault);

struct explored_options {
  /** Whether the second balancer reaches the registry. */
  bool second_reaches_registry = true;
  explored_fault fault = explored_fault::none;
};

/** The state between two steps. */
class explored_world {
 public:
  /** Starts both balancers and lets them load the directory. */
  explicit explored_world(explored_options options);

  /** @return The steps that change something now. */
  std::vector<explored_step> enabled_steps() const;

  void take(explored_step step);

  /** Writes what is lost, delivers everything for some seconds, and checks that
   * both balancers have the registry's state. */
  void settle();

  /** @return What was violated first; empty if nothing was. */
  const std::string& violation() const { return violation_; }

 private:
  using object_map = std::map<std::string, directory_change>;

  struct registry_state {
    uint64_t revision = 1;
    std::array<object_map, directory_kinds> objects;
    std::vector<std::pair<directory_kind, directory_change>> history;
  };

  struct balancer {
    std::shared_ptr<directory_core> core;  ///< Copied by copy_on_write().
    std::array<std::optional<registry_call>, directory_kinds> calls;
    std::shared_ptr<const forwarding_table> table;
    std::array<registry_version, directory_kinds> versions{};
    uint64_t routing_version = 0;
    bool drain_seen = false;
  };

  directory_core& copy_on_write(size_t number);
  void put(directory_kind kind, const std::string& name, directory_value value);
  registry_reply answer_to(const registry_call& call) const;
  bool answerable(size_t number, const registry_call& call) const;
  void answer(size_t number);
  void fail_calls(size_t number);
  void deliver(size_t number);
  void pass_time(time_us by);
  void rewrite_lost();
  bool anything_lost() const;
  void execute(size_t number, directory_core::actions actions);
  void check(size_t number);
  void check_agreement();
  void record_violation(const std::string& what);

  explored_options options_;
  time_us now_ = 1000 * us_per_s;
  uint64_t era_ = 1;
  registry_state registry_;
  std::optional<registry_state> copy_;
  int restores_ = 0;
  uint64_t newest_routing_ = 1;
  bool drained_ = false;
  bool registered_ = false;
  std::vector<balancer> balancers_;
  std::array<std::deque<peer_message>, explored_balancers> on_the_way_;
  std::string violation_;
};

}  // namespace turmeric::tests

#endif  // TURMERIC_TESTS_EXPLORER_EXPLORED_WORLD_H_
