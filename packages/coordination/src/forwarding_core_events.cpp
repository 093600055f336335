/** @file forwarding_core_events.cpp Events of flows and targets for the log. */
#include "turmeric/coordination/forwarding_core_base.h"

namespace turmeric {
namespace {

constexpr std::array<std::string_view,
                     static_cast<size_t>(forwarding_reason::end)>
    reason_names = {"opened",       "repeated", "moved",      "continued",
                    "no_table",     "no_route", "no_target",  "unknown_token",
                    "not_a_caller", "paused",   "superseded", "waiting",
                    "overloaded"};

constexpr std::array<std::string_view,
                     static_cast<size_t>(forwarding_event_kind::end)>
    event_names = {"flow placed",          "flow refused",
                   "segment dropped",      "flow answered",
                   "flow ended",           "target left an opening unanswered",
                   "target answers again", "target reported by a peer",
                   "service load changed"};
/** Most events kept until they are taken for the log. Events beyond it are
 * dropped and counted in `events_lost`; the other counters include them. */
constexpr size_t max_events = 64;

}  // namespace

std::string_view name_of(forwarding_reason reason) {
  return reason_names[static_cast<size_t>(reason)];
}

std::string_view name_of(forwarding_event_kind kind) {
  return event_names[static_cast<size_t>(kind)];
}

bool forwarding_core::is_logged(const flow_key& key) const {
  return options_.log_one_in != 0 && hash_of(key) % options_.log_one_in == 0;
}

void forwarding_core::log_decision(time_us now,
                                   const segment& s,
                                   const forwarding_decision& decision,
                                   time_us waited) {
  const flow_key key = key_of(s);
  const bool opening = decision.action == forwarding_action::forward &&
                       decision.reason != forwarding_reason::continued;
  if (decision.action == forwarding_action::hold) {
    return;  // Logged with its outcome.
  }
  if (decision.action == forwarding_action::reset) {
    add_event(now, forwarding_event_kind::refused, key, 0, &decision, waited);
  } else if (decision.action == forwarding_action::drop) {
    add_event(now, forwarding_event_kind::dropped, key, s.token, &decision);
  } else if (opening) {
    counters_.other_zone +=
        decision.target->entry.zone != options_.placing.zone ? 1 : 0;
    // Retransmitted openings are rare and indicate failures, so all are logged.
    if (is_logged(key) || decision.reason != forwarding_reason::opened) {
      add_event(now, forwarding_event_kind::placed, key, decision.target->token,
                &decision, waited);
    }
  }
}

void forwarding_core::add_event(time_us now,
                                forwarding_event_kind kind,
                                const flow_key& key,
                                flow_token token,
                                const forwarding_decision* decision,
                                time_us waited) {
  if (events_.size() >= max_events) {
    ++counters_.events_lost;
    return;
  }
  forwarding_event event;
  event.kind = kind;
  event.flow = key;
  event.token = token;
  event.waited = waited;
  event.table_age = table_ == nullptr ? 0 : now - table_since_;
  if (decision != nullptr) {
    event.reason = decision->reason;
    event.candidates = decision->choice.candidates;
    event.cost = decision->choice.cost;
  }
  const auto flow = flows_.find(key);
  if (flow != flows_.end())
    event.since_opening = now - flow->second.opened;
  const forwarding_target* target =
      table_ == nullptr ? nullptr : table_->target_of(token);
  if (target != nullptr) {
    event.target = target->entry.name;
    event.zone = target->entry.zone;
    event.failures = placement_.failures(token);
    event.reported = placement_.reported_failures(token);
    event.active_flows = placement_.active_flows(token);
  }
  events_.push_back(std::move(event));
}

void forwarding_core::add_load_event(time_us now,
                                     const std::string& service,
                                     service_load load) {
  if (events_.size() >= max_events) {
    ++counters_.events_lost;
    return;
  }
  forwarding_event event;
  event.kind = forwarding_event_kind::load_changed;
  event.service = service;
  event.load = load;
  event.delayed_share = loads_.delayed_share(now, service);
  event.table_age = now - table_since_;
  events_.push_back(std::move(event));
}

}  // namespace turmeric
