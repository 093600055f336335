/** @file disturbance.cpp Connected times of balancers, derived from a history.
 */
#include "disturbance.h"

#include <algorithm>

#include "sim_world.h"

namespace turmeric::tests {

connected_times::connected_times(const history& events) {
  struct state {
    bool up = false;
    // Disturbances overlap, so they are counted.
    int own_disturbances = 0;
    time_us connected_since = 0;
  };
  std::vector<state> states(balancer_count);
  spans_.resize(balancer_count);
  int shared_disturbances = 0;  // of all balancers, recorded with number -1
  const auto is_connected_now = [&](const state& s) {
    return s.up && s.own_disturbances == 0 && shared_disturbances == 0;
  };
  time_us last = 0;
  for (const auto& e : events) {
    last = std::max(last, e.at);
    const bool relevant = e.kind == event_kind::balancer_up ||
                          e.kind == event_kind::balancer_down ||
                          e.kind == event_kind::disturbance_began ||
                          e.kind == event_kind::disturbance_ended;
    if (!relevant)
      continue;
    const std::vector<state> before_event = states;
    const int shared_before_event = shared_disturbances;
    const int step = e.kind == event_kind::disturbance_began ? 1 : -1;
    const auto number = static_cast<size_t>(std::max(e.balancer, 0));
    if (e.kind == event_kind::balancer_up)
      states[number].up = true;
    else if (e.kind == event_kind::balancer_down)
      states[number].up = false;
    else if (e.balancer < 0)
      shared_disturbances += step;
    else
      states[number].own_disturbances += step;
    for (size_t i = 0; i < states.size(); ++i) {
      const bool was_connected = before_event[i].up &&
                                 before_event[i].own_disturbances == 0 &&
                                 shared_before_event == 0;
      const bool is_connected = is_connected_now(states[i]);
      if (was_connected && !is_connected)
        spans_[i].push_back({states[i].connected_since, e.at});
      if (!was_connected && is_connected)
        states[i].connected_since = e.at;
    }
  }
  for (size_t i = 0; i < states.size(); ++i) {
    if (is_connected_now(states[i]))
      spans_[i].push_back({states[i].connected_since, last});
  }
}

bool connected_times::connected_for(int balancer,
                                    time_us from,
                                    time_us to,
                                    time_us length) const {
  for (const span& s : spans_[static_cast<size_t>(balancer)]) {
    if (std::min(s.to, to) - std::max(s.from, from) >= length)
      return true;
  }
  return false;
}

bool connected_times::connected_throughout(int balancer,
                                           time_us from,
                                           time_us to) const {
  return connected_for(balancer, from, to, to - from);
}

}  // namespace turmeric::tests
