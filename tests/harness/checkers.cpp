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

using found = std::optional<violation>;

/** @return Whether something reached a target. */
bool arrives(const history_event& e) {
  return e.kind == event_kind::request_started ||
         e.kind == event_kind::packet_received ||
         e.kind == event_kind::overload;
}

/** "A few seconds" for withdrawn zones and leaving targets. */
constexpr time_us quiet_after = 3 * us_per_s;
/** Bound on a configuration's way into force. */
constexpr time_us force_within = 5 * us_per_s;

/** When flags of one kind were set and cleared. */
struct flag_span {
  std::string name;
  time_us set = 0;
  time_us cleared = 0;
};

std::vector<flag_span> flag_spans(const history& events, key_kind kind) {
  std::vector<flag_span> out;
  std::map<std::string, size_t> open;
  const time_us end = events.empty() ? 0 : events.back().at;
  for (const auto& e : events) {
    if (e.kind != event_kind::accepted)
      continue;
    for (const auto& entry : e.entries) {
      const config_key key = parse_key(entry.key);
      if (key.kind != kind)
        continue;
      const auto it = open.find(key.name);
      if (!entry.value.empty() && it == open.end()) {
        open[key.name] = out.size();
        out.push_back({key.name, e.at, end});
      } else if (entry.value.empty() && it != open.end()) {
        out[it->second].cleared = e.at;
        open.erase(it);
      }
    }
  }
  return out;
}

/** Packets of an open flow that nobody got since the last arrival. */
struct unanswered {
  time_us since = 0;
  int count = 0;
};

/** Packets lost in a row that no network of the planned runs explains. */
constexpr int silent_packets = 10;
constexpr time_us silent_time = 2 * us_per_s;

/** @return Whether a zone was out at some time between two times. */
bool out_between(const std::vector<flag_span>& spans,
                 int zone,
                 time_us from,
                 time_us to) {
  for (const auto& span : spans) {
    const bool same = span.name == fmt::format("zone{}", zone);
    if (same && span.set <= to && span.cleared + quiet_after >= from)
      return true;
  }
  return false;
}

/** Finds open flows whose packets reach no target any more. */
found flow_silence(const history& events) {
  const auto out = flag_spans(events, key_kind::zone_out);
  std::map<uint64_t, int> zones;
  std::map<uint64_t, unanswered> waiting;
  for (const auto& e : events) {
    if (e.kind == event_kind::packet_received) {
      zones[e.flow] = e.zone;
      waiting.erase(e.flow);
    }
    if (e.kind != event_kind::packet_sent || e.opens)
      continue;
    unanswered& u = waiting[e.flow];
    if (u.count++ == 0)
      u.since = e.at;
    const bool silent =
        u.count >= silent_packets && e.at - u.since >= silent_time;
    const auto zone = zones.find(e.flow);
    if (!silent || zone == zones.end())
      continue;
    if (out_between(out, zone->second, u.since, e.at))
      continue;
    return violation{e.at, fmt::format("flow {:x}: {} packets since {} ms "
                                       "reached no target",
                                       e.flow, u.count, u.since / us_per_ms)};
  }
  return std::nullopt;
}

found flow_survival(const history& events, const sim_options&) {
  std::set<uint64_t> opened;
  std::map<uint64_t, int> home;
  std::map<uint64_t, int> opened_at;
  for (const auto& e : events) {
    if (e.kind != event_kind::packet_received)
      continue;
    if (e.opens)
      opened_at[e.flow] = e.target;
    if (e.opens || e.target_has_flow)
      continue;
    const auto it = opened_at.find(e.flow);
    if (it == opened_at.end())
      continue;
    return violation{
        e.at, fmt::format("flow {:x} opened at target {} was sent to target {} "
                          "by balancer {}",
                          e.flow, it->second, e.target, e.balancer)};
  }
  return flow_silence(events);
}

found service_isolation(const history& events, const sim_options&) {
  for (const auto& e : events) {
    if (arrives(e) && e.service != e.own_service) {
      return violation{e.at, fmt::format("target {} of {} got work of {}",
                                         e.target, e.own_service, e.service)};
    }
  }
  return std::nullopt;
}

found zone_withdrawal(const history& events, const sim_options&) {
  const contact_times contact(events);
  for (const auto& span : flag_spans(events, key_kind::zone_out)) {
    for (const auto& e : events) {
      const bool inside = e.at > span.set + quiet_after && e.at < span.cleared;
      if (!arrives(e) || !inside || span.name != fmt::format("zone{}", e.zone))
        continue;
      if (!contact.had(e.balancer, span.set, e.at, quiet_after))
        continue;
      return violation{
          e.at, fmt::format("{} was out since {} ms, balancer {} sent to "
                            "target {} at {} ms",
                            span.name, span.set / us_per_ms, e.balancer,
                            e.target, e.at / us_per_ms)};
    }
  }
  return std::nullopt;
}

found leaving_target(const history& events, const sim_options&) {
  const contact_times contact(events);
  for (const auto& span : flag_spans(events, key_kind::target_drain)) {
    for (const auto& e : events) {
      const bool new_flow = e.kind == event_kind::packet_received && e.opens;
      const bool is_new = e.kind == event_kind::request_started || new_flow;
      const bool inside = e.at > span.set + quiet_after && e.at < span.cleared;
      const bool repeated_open = new_flow && !e.first_open;
      if (!is_new || repeated_open || !inside || span.name != e.target_name)
        continue;
      if (!contact.had(e.balancer, span.set, e.at, quiet_after))
        continue;
      return violation{
          e.at, fmt::format("{} drained since {} ms, balancer {} gave it new "
                            "work at {} ms",
                            span.name, span.set / us_per_ms, e.balancer,
                            e.at / us_per_ms)};
    }
  }
  return std::nullopt;
}

found config_agreement(const history& events, const sim_options&) {
  const contact_times contact(events);
  std::map<std::pair<int, uint64_t>, revision> newest;
  std::map<revision, uint64_t> contents;
  std::vector<const history_event*> accepted;
  for (const auto& e : events) {
    if (e.kind == event_kind::accepted)
      accepted.push_back(&e);
    if (e.kind != event_kind::in_force)
      continue;
    revision& last = newest[{e.balancer, e.incarnation}];
    if (e.number < last) {
      return violation{e.at,
                       fmt::format("balancer {} went from revision {} to {}",
                                   e.balancer, last, e.number)};
    }
    last = e.number;
    const auto [it, first] = contents.emplace(e.number, e.content);
    if (!first && it->second != e.content) {
      return violation{
          e.at, fmt::format("balancer {} holds another revision {} than others",
                            e.balancer, e.number)};
    }
  }
  const time_us end = events.empty() ? 0 : events.back().at;
  for (const auto* a : accepted) {
    const time_us due = a->at + force_within;
    for (int b = 0; b < balancer_count; ++b) {
      if (due > end || !contact.throughout(b, a->at, due))
        continue;
      bool there = false;
      for (const auto& e : events) {
        there = there || (e.kind == event_kind::in_force && e.balancer == b &&
                          e.number >= a->number && e.at <= due);
      }
      if (!there) {
        return violation{
            due, fmt::format("revision {} accepted at {} ms is not in force "
                             "on balancer {}",
                             a->number, a->at / us_per_ms, b)};
      }
    }
  }
  return std::nullopt;
}

found cold_target(const history& events, const sim_options&) {
  std::map<int, time_us> turned;
  std::map<std::tuple<int, uint64_t, int>, time_us> heard;
  for (const auto& e : events) {
    if (e.kind == event_kind::target_cold)
      turned[e.target] = e.at;
    if (e.kind == event_kind::evidence)
      heard[{e.balancer, e.incarnation, e.target}] = e.at;
    if (e.kind != event_kind::overload || !e.cold)
      continue;
    // A target that turned cold without warning is known to be cold only from
    // the first sign of it on.
    const auto sign = heard.find({e.balancer, e.incarnation, e.target});
    const auto since = turned.find(e.target);
    const bool warned = since == turned.end() ||
                        (sign != heard.end() && sign->second > since->second);
    if (!warned)
      continue;
    return violation{e.at, fmt::format("balancer {} gave target {} more than a "
                                       "cold target bears",
                                       e.balancer, e.target)};
  }
  return std::nullopt;
}

found whole_answer(const history& events, const sim_options&) {
  for (const auto& e : events) {
    const bool answered =
        e.kind == event_kind::result && e.code == result_code::ok;
    if (answered && !e.whole) {
      return violation{
          e.at, fmt::format("request {} got an answer that is not its own",
                            e.request)};
    }
  }
  return std::nullopt;
}

found truthful_refusal(const history& events, const sim_options&) {
  std::set<uint64_t> refused;
  std::map<uint64_t, time_us> ran;
  for (const auto& e : events) {
    if (e.kind == event_kind::result && says_not_run(e.code))
      refused.insert(e.request);
    if (e.kind == event_kind::request_started)
      ran[e.request] = e.at;
  }
  for (const uint64_t request : refused) {
    const auto it = ran.find(request);
    if (it != ran.end()) {
      return violation{
          it->second,
          fmt::format("request {} was refused as not run, but ran", request)};
    }
  }
  return std::nullopt;
}

found at_most_once(const history& events, const sim_options&) {
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

found graceful_stop(const history& events, const sim_options& options) {
  std::map<uint64_t, std::pair<int, time_us>> ran;  // balancer and time
  std::map<int, time_us> ended;
  for (const auto& e : events) {
    if (e.kind == event_kind::request_started)
      ran[e.request] = {e.balancer, e.at};
    if (e.kind == event_kind::ended)
      ended[e.balancer] = e.at;
    const bool unknown =
        e.kind == event_kind::result && e.code == result_code::unknown_outcome;
    if (!unknown)
      continue;
    // On a network that loses packets the answer itself may be lost until the
    // deadline; that is no stop's doing.
    const auto it = ran.find(e.request);
    const bool balancer_ended = it != ran.end() &&
                                ended.count(it->second.first) > 0 &&
                                ended[it->second.first] >= it->second.second;
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
       [](options o) { o->plant_stuck = true; }, false},
  };
  return rows;
}

}  // namespace turmeric::tests
