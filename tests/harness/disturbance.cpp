/** @file disturbance.cpp Intervals of contact from a history. */
#include "disturbance.h"

#include <algorithm>

#include "sim_world.h"

namespace turmeric::tests {

contact_times::contact_times(const history& events) {
  struct state {
    bool up = false;
    int own = 0;
    time_us since = 0;
  };
  std::vector<state> states(balancer_count);
  spans_.resize(balancer_count);
  int shared = 0;
  const auto in_contact = [&](const state& s) {
    return s.up && s.own == 0 && shared == 0;
  };
  time_us last = 0;
  for (const auto& e : events) {
    last = std::max(last, e.at);
    const bool concerns =
        e.kind == event_kind::started || e.kind == event_kind::ended ||
        e.kind == event_kind::disturbed || e.kind == event_kind::calm;
    if (!concerns)
      continue;
    const std::vector<state> before = states;
    const int shared_before = shared;
    const int step = e.kind == event_kind::disturbed ? 1 : -1;
    const auto number = static_cast<size_t>(std::max(e.balancer, 0));
    if (e.kind == event_kind::started)
      states[number].up = true;
    else if (e.kind == event_kind::ended)
      states[number].up = false;
    else if (e.balancer < 0)
      shared += step;
    else
      states[number].own += step;
    for (size_t i = 0; i < states.size(); ++i) {
      const bool was = before[i].up && before[i].own == 0 && shared_before == 0;
      const bool is = in_contact(states[i]);
      if (was && !is)
        spans_[i].push_back({states[i].since, e.at});
      if (!was && is)
        states[i].since = e.at;
    }
  }
  for (size_t i = 0; i < states.size(); ++i) {
    if (in_contact(states[i]))
      spans_[i].push_back({states[i].since, last});
  }
}

bool contact_times::had(int balancer,
                        time_us from,
                        time_us to,
                        time_us length) const {
  for (const span& s : spans_[static_cast<size_t>(balancer)]) {
    if (std::min(s.to, to) - std::max(s.from, from) >= length)
      return true;
  }
  return false;
}

bool contact_times::throughout(int balancer, time_us from, time_us to) const {
  return had(balancer, from, to, to - from);
}

}  // namespace turmeric::tests
