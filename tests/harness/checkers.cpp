/** @file checkers.cpp Checkers of the ten promises. */
#include "checkers.h"

#include <fmt/format.h>

#include <map>
#include <set>

#include "disturbance.h"
#include "sim_world.h"
#include "turmeric/state/config_key_func.h"

namespace turmeric::tests {
namespace {

using check_result = std::optional<violation>;

/** @return Whether @p e is a request or a packet that reached a target. */
bool reaches_target(const history_event& e) {
  return e.kind == event_kind::request_started ||
         e.kind == event_kind::packet_received ||
         e.kind == event_kind::overload;
}

/** The "few seconds" of the promises: time from setting the flag until traffic
 * to a withdrawn zone or new work of a draining target must end. */
constexpr time_us withdrawal_grace = 3 * us_per_s;
/** Bound on the time from a change's creation on the platform until all
 * connected balancers use it. */
constexpr time_us activation_limit = 5 * us_per_s;

/** When a flag, such as the drain flag of a target, was set and cleared. */
struct flag_span {
  std::string name;
  time_us set_at = 0;
  time_us cleared_at = 0;  ///< End of the history if still set.
};

/** @return When the flags of one kind were set, from accepted changes. */
std::vector<flag_span> flag_spans(const history& events, key_kind kind) {
  std::vector<flag_span> found_spans;
  std::map<std::string, size_t> open_spans;
  const time_us end = events.empty() ? 0 : events.back().at;
  for (const auto& e : events) {
    if (e.kind != event_kind::change_accepted)
      continue;
    for (const auto& entry : e.entries) {
      const config_key key = parse_key(entry.key);
      if (key.kind != kind)
        continue;
      const auto it = open_spans.find(key.name);
      if (!entry.value.empty() && it == open_spans.end()) {
        open_spans[key.name] = found_spans.size();
        found_spans.push_back({key.name, e.at, end});
      } else if (entry.value.empty() && it != open_spans.end()) {
        found_spans[it->second].cleared_at = e.at;
        open_spans.erase(it);
      }
    }
  }
  return found_spans;
}

/** Packets of an open flow sent since a target last received one of it. */
struct undelivered_packets {
  time_us first_sent = 0;
  int count = 0;
};

/** A gap of this many packets and this much time is a broken flow; the networks
 * of planned runs do not lose so many packets in a row. */
constexpr int min_undelivered_packets = 10;
constexpr time_us min_undelivered_time = 2 * us_per_s;

/** @return Whether @p zone was withdrawn, or had returned less than
 * withdrawal_grace before, at some time between @p from and @p to. */
bool withdrawn_between(const std::vector<flag_span>& spans,
                       int zone,
                       time_us from,
                       time_us to) {
  for (const auto& span : spans) {
    const bool same_zone = span.name == fmt::format("zone{}", zone);
    if (same_zone && span.set_at <= to &&
        span.cleared_at + withdrawal_grace >= from)
      return true;
  }
  return false;
}

/** Finds the first open flow whose packets no longer reach a target, except in
 * gaps while the target's zone is withdrawn. */
check_result find_undelivered_flow(const history& events) {
  const auto withdrawals = flag_spans(events, key_kind::zone_out);
  std::map<uint64_t, int> flow_zones;
  std::map<uint64_t, undelivered_packets> undelivered;
  for (const auto& e : events) {
    if (e.kind == event_kind::packet_received) {
      flow_zones[e.flow] = e.zone;
      undelivered.erase(e.flow);
    }
    if (e.kind != event_kind::packet_sent || e.opens)
      continue;
    undelivered_packets& u = undelivered[e.flow];
    if (u.count++ == 0)
      u.first_sent = e.at;
    const bool exceeded = u.count >= min_undelivered_packets &&
                          e.at - u.first_sent >= min_undelivered_time;
    const auto zone = flow_zones.find(e.flow);
    if (!exceeded || zone == flow_zones.end())
      continue;
    if (withdrawn_between(withdrawals, zone->second, u.first_sent, e.at))
      continue;
    return violation{e.at,
                     fmt::format("flow {:x}: {} packets since {} ms "
                                 "reached no target",
                                 e.flow, u.count, u.first_sent / us_per_ms)};
  }
  return std::nullopt;
}

check_result flow_survival(const history& events, const sim_options&) {
  std::set<uint64_t> opened;
  std::map<uint64_t, int> home;
  std::map<uint64_t, int> opening_target;
  for (const auto& e : events) {
    if (e.kind != event_kind::packet_received)
      continue;
    if (e.opens)
      opening_target[e.flow] = e.target;
    if (e.opens || e.target_has_flow)
      continue;
    const auto it = opening_target.find(e.flow);
    if (it == opening_target.end())
      continue;
    return violation{
        e.at, fmt::format("flow {:x} opened at target {} was sent to target {} "
                          "by balancer {}",
                          e.flow, it->second, e.target, e.balancer)};
  }
  return find_undelivered_flow(events);
}

check_result service_isolation(const history& events, const sim_options&) {
  for (const auto& e : events) {
    if (reaches_target(e) && e.service != e.target_service) {
      return violation{e.at,
                       fmt::format("target {} of {} got work of {}", e.target,
                                   e.target_service, e.service)};
    }
  }
  return std::nullopt;
}

check_result zone_withdrawal(const history& events, const sim_options&) {
  const connected_times connected(events);
  for (const auto& span : flag_spans(events, key_kind::zone_out)) {
    for (const auto& e : events) {
      const bool past_grace =
          e.at > span.set_at + withdrawal_grace && e.at < span.cleared_at;
      if (!reaches_target(e) || !past_grace ||
          span.name != fmt::format("zone{}", e.zone))
        continue;
      if (!connected.connected_for(e.balancer, span.set_at, e.at,
                                   withdrawal_grace))
        continue;
      return violation{
          e.at, fmt::format("{} was out since {} ms, balancer {} sent to "
                            "target {} at {} ms",
                            span.name, span.set_at / us_per_ms, e.balancer,
                            e.target, e.at / us_per_ms)};
    }
  }
  return std::nullopt;
}

check_result leaving_target(const history& events, const sim_options&) {
  const connected_times connected(events);
  for (const auto& span : flag_spans(events, key_kind::target_drain)) {
    for (const auto& e : events) {
      const bool new_flow = e.kind == event_kind::packet_received && e.opens;
      const bool is_new = e.kind == event_kind::request_started || new_flow;
      const bool past_grace =
          e.at > span.set_at + withdrawal_grace && e.at < span.cleared_at;
      const bool repeated_open = new_flow && !e.first_opening;
      if (!is_new || repeated_open || !past_grace || span.name != e.target_name)
        continue;
      if (!connected.connected_for(e.balancer, span.set_at, e.at,
                                   withdrawal_grace))
        continue;
      return violation{
          e.at, fmt::format("{} drained since {} ms, balancer {} gave it new "
                            "work at {} ms",
                            span.name, span.set_at / us_per_ms, e.balancer,
                            e.at / us_per_ms)};
    }
  }
  return std::nullopt;
}

check_result config_agreement(const history& events, const sim_options&) {
  const connected_times connected(events);
  std::map<std::pair<int, uint64_t>, revision> newest_in_force;
  std::map<revision, uint64_t> hash_by_revision;
  std::vector<const history_event*> accepted;
  for (const auto& e : events) {
    if (e.kind == event_kind::change_accepted)
      accepted.push_back(&e);
    if (e.kind != event_kind::in_force)
      continue;
    revision& newest_so_far = newest_in_force[{e.balancer, e.incarnation}];
    if (e.config_revision < newest_so_far) {
      return violation{
          e.at, fmt::format("balancer {} went from revision {} to {}",
                            e.balancer, newest_so_far, e.config_revision)};
    }
    newest_so_far = e.config_revision;
    const auto [it, first] =
        hash_by_revision.emplace(e.config_revision, e.config_hash);
    if (!first && it->second != e.config_hash) {
      return violation{
          e.at, fmt::format("balancer {} holds another revision {} than others",
                            e.balancer, e.config_revision)};
    }
  }
  const time_us end = events.empty() ? 0 : events.back().at;
  for (const auto* a : accepted) {
    const time_us due = a->at + activation_limit;
    for (int b = 0; b < balancer_count; ++b) {
      if (due > end || !connected.connected_throughout(b, a->at, due))
        continue;
      bool activated = false;
      for (const auto& e : events) {
        activated = activated ||
                    (e.kind == event_kind::in_force && e.balancer == b &&
                     e.config_revision >= a->config_revision && e.at <= due);
      }
      if (!activated) {
        return violation{
            due, fmt::format("revision {} accepted at {} ms is not in force "
                             "on balancer {}",
                             a->config_revision, a->at / us_per_ms, b)};
      }
    }
  }
  return std::nullopt;
}

check_result cold_target(const history& events, const sim_options&) {
  std::map<int, time_us> cold_since;
  std::map<std::tuple<int, uint64_t, int>, time_us> last_failure;
  for (const auto& e : events) {
    if (e.kind == event_kind::target_cold)
      cold_since[e.target] = e.at;
    if (e.kind == event_kind::failure_observed)
      last_failure[{e.balancer, e.incarnation, e.target}] = e.at;
    if (e.kind != event_kind::overload || !e.cold)
      continue;
    // A balancer can detect that a target turned cold without notice only from
    // its first refusal or failure on.
    const auto failure =
        last_failure.find({e.balancer, e.incarnation, e.target});
    const auto turned_cold = cold_since.find(e.target);
    const bool detectable = turned_cold == cold_since.end() ||
                            (failure != last_failure.end() &&
                             failure->second > turned_cold->second);
    if (!detectable)
      continue;
    return violation{e.at, fmt::format("balancer {} gave target {} more than a "
                                       "cold target bears",
                                       e.balancer, e.target)};
  }
  return std::nullopt;
}

check_result whole_answer(const history& events, const sim_options&) {
  for (const auto& e : events) {
    const bool answered =
        e.kind == event_kind::result && e.code == result_code::ok;
    if (answered && !e.matches_request) {
      return violation{
          e.at, fmt::format("request {} got an answer that is not its own",
                            e.request)};
    }
  }
  return std::nullopt;
}

check_result truthful_refusal(const history& events, const sim_options&) {
  std::set<uint64_t> refused;
  std::map<uint64_t, time_us> run_times;
  for (const auto& e : events) {
    if (e.kind == event_kind::result && says_not_run(e.code))
      refused.insert(e.request);
    if (e.kind == event_kind::request_started)
      run_times[e.request] = e.at;
  }
  for (const uint64_t request : refused) {
    const auto it = run_times.find(request);
    if (it != run_times.end()) {
      return violation{
          it->second,
          fmt::format("request {} was refused as not run, but ran", request)};
    }
  }
  return std::nullopt;
}

check_result at_most_once(const history& events, const sim_options&) {
  std::map<uint64_t, bool> repeatable;
  std::map<uint64_t, int> runs;
  for (const auto& e : events) {
    if (e.kind == event_kind::result)
      repeatable[e.request] = e.repeatable;
  }
  for (const auto& e : events) {
    if (e.kind != event_kind::request_started || ++runs[e.request] < 2)
      continue;
    const auto it = repeatable.find(e.request);
    if (it != repeatable.end() && !it->second) {
      return violation{e.at, fmt::format("request {} ran {} times", e.request,
                                         runs[e.request])};
    }
  }
  return std::nullopt;
}

check_result graceful_stop(const history& events, const sim_options& options) {
  std::map<uint64_t, std::pair<int, time_us>>
      last_run;  // balancer and time of the request
  std::map<int, time_us> ended_at;
  for (const auto& e : events) {
    if (e.kind == event_kind::request_started)
      last_run[e.request] = {e.balancer, e.at};
    if (e.kind == event_kind::balancer_down)
      ended_at[e.balancer] = e.at;
    const bool unknown =
        e.kind == event_kind::result && e.code == result_code::unknown_outcome;
    if (!unknown)
      continue;
    // If the network loses packets, all answers up to the deadline may be lost.
    // Such a result is not caused by a stop.
    const auto it = last_run.find(e.request);
    const bool balancer_ended = it != last_run.end() &&
                                ended_at.count(it->second.first) > 0 &&
                                ended_at[it->second.first] >= it->second.second;
    const bool lossless = options.loss_percent == 0;
    if (lossless || balancer_ended || e.at < e.deadline) {
      return violation{
          e.at, fmt::format("request {} was cut while all stops were planned",
                            e.request)};
    }
  }
  return std::nullopt;
}

}  // namespace

const std::vector<promise_row>& promises() {
  using options = sim_options*;
  static const std::vector<promise_row> rows = {
      {"flow-survival", flow_survival,
       [](options o) { o->injected_faults.flows.ignore_moving_buckets = true; },
       true},
      {"service-isolation", service_isolation,
       [](options o) { o->injected_faults.ignore_service = true; }, false},
      {"cold-target", cold_target,
       [](options o) { o->injected_faults.no_ramp = true; }, false},
      {"zone-withdrawal", zone_withdrawal,
       [](options o) {
         o->injected_faults.ignore_zone_out = true;
         o->injected_faults.flows.ignore_zone_out = true;
       },
       false},
      {"whole-answer", whole_answer,
       [](options o) { o->injected_faults.mix_answers = true; }, false},
      {"truthful-refusal", truthful_refusal,
       [](options o) { o->injected_faults.refuse_running = true; }, false},
      {"at-most-once", at_most_once,
       [](options o) { o->injected_faults.run_twice = true; }, false},
      {"leaving-target", leaving_target,
       [](options o) { o->injected_faults.ignore_drain = true; }, false},
      {"graceful-stop", graceful_stop,
       [](options o) { o->injected_faults.drop_on_stop = true; }, true},
      {"config-agreement", config_agreement,
       [](options o) { o->inject_stuck_revision = true; }, false},
  };
  return rows;
}

}  // namespace turmeric::tests
