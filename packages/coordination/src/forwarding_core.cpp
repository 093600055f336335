/** @file forwarding_core.cpp Openings, their retransmission, and the state of
 * flows. */
#include "turmeric/coordination/forwarding_core_base.h"

#include <algorithm>
#include <numeric>

namespace turmeric {
namespace {

/** @return Whether sequence number @p a is after @p b; the numbers wrap around.
 * A retransmitted segment acknowledges the same number as its first copy, so
 * its number is not later. */
bool is_later(uint32_t a, uint32_t b) {
  return static_cast<int32_t>(a - b) > 0;
}

/** @return The service of a new flow, chosen by weight from the hash of its
 * key, so that retransmitted openings get the same one. */
const std::string& service_of(const route_entry& route, const flow_key& key) {
  const uint64_t total = std::accumulate(
      route.services.begin(), route.services.end(), uint64_t{0},
      [](uint64_t sum, const weighted_service& s) { return sum + s.weight; });
  if (total == 0)
    return route.services.front().service;
  uint64_t position = hash_of(key) % total;
  for (const auto& s : route.services) {
    if (position < s.weight)
      return s.service;
    position -= s.weight;
  }
  return route.services.back().service;
}

}  // namespace

forwarding_core::forwarding_core(forwarding_options options,
                                 random_source random)
    : options_(options),
      placement_(options.placing, std::move(random)),
      answer_times_(make_latency_histogram()),
      loads_(options.load),
      admission_(options.admission) {}

void forwarding_core::set_table(time_us now,
                                std::shared_ptr<const forwarding_table> table) {
  if (table_ == nullptr)
    placement_.on_first_table(now);
  table_ = std::move(table);
  table_since_ = now;
  placement_.retain(*table_);
  loads_.retain(*table_);
}

void forwarding_core::set_balancers(uint64_t self,
                                    std::vector<uint64_t> others) {
  placement_.set_balancers(self, std::move(others));
}

void forwarding_core::on_peer_reports(
    time_us now,
    const std::vector<target_report>& reports) {
  for (const auto& report : reports) {
    const forwarding_target* target =
        table_ == nullptr ? nullptr : table_->target_of(report.token);
    if (target == nullptr || report.observation >= target_observation::end)
      continue;
    ++counters_.reports;
    placement_.on_report(now, *target, report);
    add_event(now, forwarding_event_kind::target_reported, {}, report.token);
  }
}

forwarding_decision forwarding_core::on_segment(time_us now,
                                                const segment& s,
                                                time_us waited,
                                                time_us longest_wait) {
  segment_arrived_ = now - std::max(waited, longest_wait);
  forwarding_decision decision = decide(now, s, waited);
  ++counters_.reasons[static_cast<size_t>(decision.reason)];
  log_decision(now, s, decision, 0);
  return decision;
}

forwarding_decision forwarding_core::decide(time_us now,
                                            const segment& s,
                                            time_us waited) {
  if (table_ == nullptr)
    return {forwarding_action::drop, forwarding_reason::no_table, nullptr, {}};
  if (s.flags.opens && (s.flags.acknowledges || s.flags.resets))
    return {
        forwarding_action::drop, forwarding_reason::not_a_caller, nullptr, {}};
  if (s.flags.opens && now < drop_openings_until_)
    return {forwarding_action::drop, forwarding_reason::paused, nullptr, {}};
  if (s.flags.opens && is_superseded(s, waited)) {
    return {
        forwarding_action::drop, forwarding_reason::superseded, nullptr, {}};
  }
  if (s.flags.opens)
    return on_opening(now, s, waited);
  const forwarding_target* target = table_->target_of(s.token);
  if (target == nullptr) {
    return {
        forwarding_action::drop, forwarding_reason::unknown_token, nullptr, {}};
  }
  record_segment(now, s, *target);
  return {forwarding_action::forward, forwarding_reason::continued, target, {}};
}

forwarding_decision forwarding_core::refuse(const segment& opening,
                                            forwarding_reason reason,
                                            const placement_choice& choice) {
  // Another balancer may have opened the flow by an earlier copy.
  const bool first = opening.acknowledged == 0;
  return {first ? forwarding_action::reset : forwarding_action::drop, reason,
          nullptr, choice};
}

bool forwarding_core::is_superseded(const segment& opening,
                                    time_us waited) const {
  // The acknowledged number of an opening counts the copies before.
  const size_t copy = std::min<size_t>(opening.acknowledged,
                                       options_.max_opening_waits.size() - 1);
  return waited >= options_.max_opening_waits[copy];
}

forwarding_decision forwarding_core::on_opening(time_us now,
                                                const segment& s,
                                                time_us waited) {
  const route_entry* route = table_->route_at(s.destination);
  if (route == nullptr)
    return refuse(s, forwarding_reason::no_route, {});
  const auto it = flows_.find(key_of(s));
  // A later copy may belong to a flow that another balancer has opened, and a
  // copy that was delayed on the way to one that is open.
  bool may_be_open = s.acknowledged != 0;
  if (it != flows_.end()) {
    may_be_open = may_be_open || (it->second.answered && !it->second.ended);
    if (!it->second.ended &&
        now - it->second.opened < options_.opening_lifetime)
      return on_retransmitted(now, s, waited, *route, &it->second);
    end_flow(now, key_of(s));
  }
  return !may_be_open && options_.admission.enabled
             ? admit(now, s, segment_arrived_, *route)
             : open_flow(now, s, service_of(*route, key_of(s)), 0);
}

forwarding_decision forwarding_core::admit(time_us now,
                                           const segment& s,
                                           time_us arrived,
                                           const route_entry& route) {
  if (admission_.is_waiting(key_of(s))) {
    return {forwarding_action::drop, forwarding_reason::waiting, nullptr, {}};
  }
  const std::string service = service_of(route, key_of(s));
  const waiting_opening opening{
      s, route.priority, route.priority <= table_->highest_priority(service),
      route.latency_objective, arrived};
  switch (
      admission_.on_opening(now, service, opening, loads_.load(now, service))) {
    case admission_verdict::wait:
      return {forwarding_action::hold, forwarding_reason::waiting, nullptr, {}};
    case admission_verdict::refuse:
      return refuse(s, forwarding_reason::overloaded, {});
    default:
      return open_flow(now, s, service, 0);
  }
}

forwarding_decision forwarding_core::place_released(time_us now,
                                                    const segment& s) {
  const route_entry* route = table_->route_at(s.destination);
  if (route == nullptr)
    return refuse(s, forwarding_reason::no_route, {});
  return open_flow(now, s, service_of(*route, key_of(s)), 0);
}

forwarding_decision forwarding_core::decide_released(
    time_us now,
    const released_opening& released) {
  // A copy was placed meanwhile, and its flow may be open.
  if (flows_.count(key_of(released.opening)) != 0) {
    return {forwarding_action::drop, forwarding_reason::waiting, nullptr, {}};
  }
  // After a pause of this process, a copy may have opened the flow elsewhere.
  if (is_superseded(released.opening, now - released.arrived)) {
    return {
        forwarding_action::drop, forwarding_reason::superseded, nullptr, {}};
  }
  return released.verdict == admission_verdict::admit
             ? place_released(now, released.opening)
             : refuse(released.opening, forwarding_reason::overloaded, {});
}

std::vector<deferred_decision> forwarding_core::take_deferred(time_us now) {
  std::vector<deferred_decision> out;
  if (!options_.admission.enabled)
    return out;
  for (const auto& released : admission_.take_released(now)) {
    const segment& s = released.opening;
    const forwarding_decision decision = decide_released(now, released);
    ++counters_.reasons[static_cast<size_t>(decision.reason)];
    log_decision(now, s, decision, released.waited);
    out.push_back({s, decision});
  }
  return out;
}

void forwarding_core::set_in_flight(time_us now,
                                    flow_state* flow,
                                    const std::string* service) {
  if (!options_.admission.enabled || flow->in_flight == service)
    return;
  if (flow->in_flight != nullptr)
    admission_.on_finished(now, *flow->in_flight);
  flow->in_flight = service;
  if (service != nullptr)
    admission_.on_started(now, *service);
}

void forwarding_core::adapt_admission(time_us now,
                                      const std::string& service,
                                      bool answered) {
  const service_load load = loads_.load(now, service);
  if (options_.admission.enabled)
    admission_.on_outcome(now, service, load, answered);
  // Load around the lower threshold would be logged many times a second.
  const bool saturated = load >= service_load::saturated;
  const bool changed = saturated ? saturated_.insert(service).second
                                 : saturated_.erase(service) != 0;
  if (!changed)
    return;
  add_load_event(now, service, load);
}

forwarding_decision forwarding_core::on_retransmitted(time_us now,
                                                      const segment& s,
                                                      time_us waited,
                                                      const route_entry& route,
                                                      flow_state* flow) {
  const forwarding_target* first_target = table_->target_of(flow->token);
  // The target may have got another service since.
  const bool serves_route =
      first_target != nullptr &&
      std::any_of(route.services.begin(), route.services.end(),
                  [&](const auto& weighted) {
                    return weighted.service == first_target->entry.service;
                  });
  if (first_target == nullptr || (flow->answered && !serves_route)) {
    return {
        forwarding_action::drop, forwarding_reason::unknown_token, nullptr, {}};
  }
  const time_us arrived = now - waited;
  if (serves_route &&
      (flow->answered || arrived - flow->opened < options_.min_retransmit_time))
    return {forwarding_action::forward,
            forwarding_reason::repeated,
            first_target,
            {}};
  count_unanswered(now, key_of(s), flow, true);
  const flow_token avoid = flow->token;
  const std::string service =
      serves_route ? first_target->entry.service : service_of(route, key_of(s));
  end_flow(now, key_of(s));
  forwarding_decision decision = open_flow(now, s, service, avoid);
  if (decision.action == forwarding_action::forward) {
    decision.reason = decision.target->token == avoid
                          ? forwarding_reason::repeated
                          : forwarding_reason::moved;
  }
  return decision;
}

forwarding_decision forwarding_core::open_flow(time_us now,
                                               const segment& s,
                                               const std::string& service,
                                               flow_token avoid) {
  const placement_choice choice =
      placement_.choose(now, *table_, service, avoid,
                        loads_.load(now, service) != service_load::normal);
  if (choice.target == nullptr) {
    return refuse(s, forwarding_reason::no_target, choice);
  }
  if (flows_.size() < options_.max_flows) {
    add_flow(now, s, choice.target->token);
    placement_.on_flow_opened(now, *choice.target);
    if (options_.admission.enabled)
      set_in_flight(now, &flows_[key_of(s)], &*services_.insert(service).first);
    answer_checks_.push_back({now + options_.answer_timeout, key_of(s)});
  }
  return {forwarding_action::forward, forwarding_reason::opened, choice.target,
          choice};
}

void forwarding_core::add_flow(time_us now,
                               const segment& s,
                               flow_token token) {
  flow_state flow;
  flow.token = token;
  flow.opened = flow.last_segment = now;
  flow.acknowledged = s.acknowledged;
  flow.active = true;
  flow_state& added = flows_[key_of(s)] = flow;
  schedule_quiet_check(now, key_of(s), &added);
}

void forwarding_core::record_segment(time_us now,
                                     const segment& s,
                                     const forwarding_target& target) {
  const flow_key key = key_of(s);
  const auto it = flows_.find(key);
  const bool closes = s.flags.finishes || s.flags.resets;
  if (it == flows_.end()) {
    // Opened through another balancer. This segment may be a retransmission, so
    // it does not show that the target is alive; later segments may.
    if (!closes && flows_.size() < options_.max_flows) {
      add_flow(now, s, target.token);
      flows_[key].answered = true;
      placement_.on_flow_resumed(now, target);
    }
    return;
  }
  flow_state& flow = it->second;
  if (flow.token != target.token) {
    // Copies of the opening went to several targets, and a target other
    // than the recorded one answered first.
    set_active(now, &flow, false);
    flow.token = target.token;
    flow.answered = false;
  }
  if (!flow.answered)
    answer_times_(static_cast<double>(now - flow.opened) / us_per_ms);
  if (!flow.answered && is_logged(key))
    add_event(now, forwarding_event_kind::answered, key, target.token);
  const bool acknowledges_more = is_later(s.acknowledged, flow.acknowledged);
  if (learns_answers())
    time_request(now, s, target, acknowledges_more, &flow);
  if (!flow.answered || acknowledges_more) {
    record_answer(now, key, target, flow.last_segment);
    flow.acknowledged = s.acknowledged;
  }
  // The first acknowledgement is that of the handshake; the request follows.
  if (s.data_bytes != 0 || !flow.answered)
    flow.awaits_answer = true;
  else if (acknowledges_more)
    flow.awaits_answer = false;
  flow.answered = true;
  flow.last_segment = now;
  if (closes && !flow.ended && is_logged(key))
    add_event(now, forwarding_event_kind::ended, key, target.token);
  flow.ended = flow.ended || closes;
  if (flow.ended) {
    set_active(now, &flow, false);
  } else if (!flow.active && (flow.awaits_answer || acknowledges_more)) {
    set_active(now, &flow, true);
    schedule_quiet_check(now, key, &flow);
  }
  if (flow.active && !flow.awaits_answer &&
      !std::exchange(flow.answered_check_pending, true))
    answered_checks_.push_back({now + options_.answered_timeout, key});
}

void forwarding_core::time_request(time_us now,
                                   const segment& s,
                                   const forwarding_target& target,
                                   bool acknowledges_more,
                                   flow_state* flow) {
  // The first segment after the opening acknowledges the handshake.
  const bool answers = flow->answered && acknowledges_more;
  if (answers && flow->request_started != 0) {
    const time_us took = now - std::exchange(flow->request_started, 0);
    const double ratio =
        loads_.add(now, target.entry.service, s.destination, took);
    placement_.on_request_answered(now, target, ratio);
    set_in_flight(now, flow, nullptr);
    adapt_admission(now, target.entry.service, true);
  }
  const bool closes = s.flags.finishes || s.flags.resets;
  if (s.data_bytes != 0 && flow->request_started == 0 && !flow->ended) {
    flow->request_started = now;
    schedule_request_check(now, key_of(s));
    if (options_.admission.enabled)
      set_in_flight(now, flow, &*services_.insert(target.entry.service).first);
  } else if (closes) {
    end_request(now, key_of(s), flow);
  }
}

void forwarding_core::end_request(time_us now,
                                  const flow_key& key,
                                  flow_state* flow) {
  set_in_flight(now, flow, nullptr);
  const time_us started = std::exchange(flow->request_started, 0);
  const time_us usual = loads_.usual(key.service);
  const forwarding_target* target = table_->target_of(flow->token);
  if (started == 0 || usual == 0 || target == nullptr)
    return;
  // A caller that gives up early says nothing about the target.
  const double ratio =
      static_cast<double>(now - started) / static_cast<double>(usual);
  placement_.on_request_answered(now, *target, std::max(ratio, 1.0));
}

void forwarding_core::record_answer(time_us now,
                                    const flow_key& key,
                                    const forwarding_target& target,
                                    time_us alive_at) {
  if (placement_.ends_silence(target.token, alive_at))
    add_event(now, forwarding_event_kind::target_recovered, key, target.token);
  placement_.on_answer(now, target, alive_at);
}

void forwarding_core::set_active(time_us now, flow_state* flow, bool active) {
  if (flow->active == active)
    return;
  flow->active = active;
  const forwarding_target* target = table_->target_of(flow->token);
  if (target == nullptr)
    return;  // The counts of a removed target were removed with it.
  if (active)
    placement_.on_flow_resumed(now, *target);
  else
    placement_.on_flow_ended(now, *target);
}

void forwarding_core::count_unanswered(time_us now,
                                       const flow_key& key,
                                       flow_state* flow,
                                       bool repeated) {
  if (flow->answered)
    return;
  const forwarding_target* target = table_->target_of(flow->token);
  if (flow->counted_unanswered) {
    if (repeated && std::exchange(flow->report_withheld, false) &&
        target != nullptr)
      placement_.report_silence(now, *target, flow->opened);
    return;
  }
  flow->counted_unanswered = true;
  ++counters_.unanswered;
  const bool may_be_reset = !repeated && target != nullptr && learns_answers();
  flow->report_withheld = may_be_reset && may_be_full(now, *target);
  counters_.reports_withheld += flow->report_withheld ? 1 : 0;
  set_in_flight(now, flow, nullptr);
  if (may_be_reset) {
    loads_.add_reset(now, target->entry.service);
    adapt_admission(now, target->entry.service, false);
  }
  if (target != nullptr) {
    placement_.on_unanswered(now, *target, flow->opened,
                             !flow->report_withheld);
  }
  counters_.suspicions += placement_.failures(flow->token) == 1 ? 1 : 0;
  add_event(now, forwarding_event_kind::opening_unanswered, key, flow->token);
}

bool forwarding_core::may_be_full(time_us now,
                                  const forwarding_target& target) const {
  // A full target resets openings, which a balancer does not see. Reports of
  // it made all balancers avoid the target, and the others filled up in turn.
  // Reports protect targets that restarted without a new entry; under load,
  // each balancer detects these by itself.
  return options_.detect_full_targets &&
         (!placement_.restarts_may_be_unseen() ||
          loads_.load(now, target.entry.service) != service_load::normal);
}

void forwarding_core::end_flow(time_us now, const flow_key& key) {
  const auto it = flows_.find(key);
  if (it == flows_.end())
    return;
  set_active(now, &it->second, false);
  set_in_flight(now, &it->second, nullptr);
  flows_.erase(it);
}

void forwarding_core::for_each_flow(
    const std::function<void(const flow_key&, const flow_state&)>& visit)
    const {
  for (const auto& [key, flow] : flows_)
    visit(key, flow);
}

}  // namespace turmeric
