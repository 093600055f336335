/** @file forwarder_pages.cpp HTTP pages for monitoring and operators. */
#include "forwarder_pages.h"

#include <fmt/format.h>

#include "turmeric/state/json_func.h"
#include "turmeric/state/log_func.h"
#include "turmeric/state/metric_type.h"
#include "turmeric/state/release_type.h"
#include "turmeric/state/service_type.h"

namespace turmeric {
namespace {

/** An answer to an opening that takes longer than this is counted as slow: it
 * usually takes a few milliseconds, and callers retransmit after 200 ms. */
constexpr double slow_answer_ms = 100.0;

std::vector<metric_label> labels_of(const target_snapshot& target) {
  return {{"target", target.name},
          {"zone", target.zone},
          {"service", target.service}};
}

void add_counters(const traffic_snapshot& snapshot, metric_writer* out) {
  const forwarding_counters& c = snapshot.counters;
  uint64_t placed = 0;
  for (size_t i = 0; i < c.reasons.size(); ++i) {
    const auto reason = static_cast<forwarding_reason>(i);
    out->add(metric::decisions, static_cast<double>(c.reasons[i]),
             {{"reason", std::string(name_of(reason))}});
    if (reason == forwarding_reason::opened ||
        reason == forwarding_reason::moved)
      placed += c.reasons[i];
  }
  out->add(metric::placed, static_cast<double>(placed - c.other_zone),
           {{"placement", "own_zone"}});
  out->add(metric::placed, static_cast<double>(c.other_zone),
           {{"placement", "other_zone"}});
  out->add(metric::unanswered, static_cast<double>(c.unanswered));
  out->add(metric::doubts, static_cast<double>(c.suspicions));
  out->add(metric::reports, static_cast<double>(c.reports));
  out->add(metric::requests_lost, static_cast<double>(c.requests_lost));
  out->add(metric::silence_withheld, static_cast<double>(c.reports_withheld));
  out->add(metric::malformed, static_cast<double>(c.malformed));
  out->add(metric::flows, static_cast<double>(snapshot.flow_count));
}

void add_targets(const traffic_snapshot& snapshot, metric_writer* out) {
  for (const auto& t : snapshot.targets)
    out->add(metric::in_hand, t.active_flows, labels_of(t));
  for (const auto& t : snapshot.targets)
    out->add(metric::target_open, t.accepts_new_flows ? 1 : 0, labels_of(t));
  for (const auto& t : snapshot.targets)
    out->add(metric::target_failures, t.failures, labels_of(t));
  for (const auto& t : snapshot.targets)
    out->add(metric::target_weight, t.weight, labels_of(t));
}

void add_services(const traffic_snapshot& snapshot, metric_writer* out) {
  for (const auto& s : snapshot.services) {
    out->add(metric::service_load, static_cast<double>(s.load),
             {{"service", s.name}});
  }
  for (const auto& s : snapshot.services) {
    out->add(metric::admission_limit, s.admission.limit, {{"service", s.name}});
  }
  for (const auto& s : snapshot.services) {
    out->add(metric::openings_waiting, static_cast<double>(s.admission.waiting),
             {{"service", s.name}});
  }
}

void add_answer_times(const traffic_snapshot& snapshot, metric_writer* out) {
  double sum = 0;
  const auto& axis = snapshot.answer_times.axis(0);
  for (int i = -1; i < axis.size(); ++i) {
    sum += snapshot.answer_times.at(i);
    out->add(metric::answer_time, sum,
             {{"le", fmt::format("{:.3g}", axis.value(i + 1))}}, "_bucket");
  }
  sum += snapshot.answer_times.at(axis.size());
  out->add(metric::answer_time, sum, {{"le", "+Inf"}}, "_bucket");
  out->add(metric::answer_time, sum, {}, "_count");
}

/** @return Counts of openings and of their answers, from which the burn rate of
 * the error budget is computed. */
Json::Value flow_counts_json(const traffic_snapshot& snapshot) {
  const auto count_of = [&](forwarding_reason r) {
    return static_cast<Json::UInt64>(
        snapshot.counters.reasons[static_cast<size_t>(r)]);
  };
  Json::Value v;
  v["opened"] = count_of(forwarding_reason::opened);
  v["refused"] = count_of(forwarding_reason::no_target);
  v["unanswered"] = static_cast<Json::UInt64>(snapshot.counters.unanswered);
  double answered = 0;
  double slow = 0;
  const auto& axis = snapshot.answer_times.axis(0);
  for (int i = -1; i <= axis.size(); ++i) {
    answered += snapshot.answer_times.at(i);
    slow +=
        axis.value(i + 1) > slow_answer_ms ? snapshot.answer_times.at(i) : 0;
  }
  v["answered"] = static_cast<Json::UInt64>(answered);
  v["slow"] = static_cast<Json::UInt64>(slow);
  return v;
}

Json::Value target_json(const target_snapshot& t) {
  Json::Value v;
  v["name"] = t.name;
  v["zone"] = t.zone;
  v["service"] = t.service;
  v["address"] = to_text(t.address);
  v["token"] = fmt::format("{:08x}", t.token);
  v["open"] = t.accepts_new_flows;
  v["draining"] = t.draining;
  v["cold_left_ms"] = static_cast<Json::Int64>(t.cold_remaining / us_per_ms);
  v["in_hand"] = t.active_flows;
  v["failures"] = t.failures;
  v["reported"] = t.reported_failures;
  v["weight"] = t.weight;
  return v;
}

Json::Value service_json(const service_snapshot& s) {
  Json::Value v;
  v["name"] = s.name;
  v["load"] = std::string(name_of(s.load));
  v["limit"] = s.admission.limit;
  v["in_flight"] = s.admission.in_flight;
  v["waiting"] = static_cast<Json::UInt64>(s.admission.waiting);
  return v;
}

}  // namespace

std::string metrics_text(const forwarder_status& status,
                         const traffic_snapshot& snapshot) {
  metric_writer out;
  add_counters(snapshot, &out);
  add_targets(snapshot, &out);
  add_services(snapshot, &out);
  add_answer_times(snapshot, &out);
  out.add(metric::table_age,
          static_cast<double>(snapshot.table_age) / us_per_s);
  for (size_t i = 0; i < directory_kinds; ++i) {
    out.add(metric::revision, static_cast<double>(snapshot.revisions[i]),
            {{"kind", std::string(name_of(static_cast<directory_kind>(i)))}});
  }
  out.add(metric::registry_era, static_cast<double>(status.registry_era));
  for (size_t i = 0; i < directory_kinds; ++i) {
    out.add(metric::unread, static_cast<double>(status.unread[i]),
            {{"kind", std::string(name_of(static_cast<directory_kind>(i)))}});
  }
  for (const auto& [key, count] : status.registry_calls) {
    out.add(
        metric::calls, static_cast<double>(count),
        {{"kind", std::string(name_of(std::get<directory_kind>(key)))},
         {"cause", std::string(name_of(std::get<registry_call_cause>(key)))},
         {"status", std::string(name_of(std::get<registry_status>(key)))}});
  }
  out.add(metric::peers, static_cast<double>(status.peer_count));
  out.add(metric::release, own_release);
  for (const auto& [release, count] : status.peer_releases) {
    out.add(metric::peers_by_release, static_cast<double>(count),
            {{"release", std::to_string(release)}});
  }
  out.add(metric::silent_zones,
          static_cast<double>(status.silent_zones.size()));
  out.add(metric::ready, status.ready ? 1 : 0);
  out.add(metric::uptime, static_cast<double>(status.uptime) / us_per_s);
  out.add(metric::log_lost, static_cast<double>(log_lines_lost()),
          {{"cause", "reader"}});
  out.add(metric::log_lost, static_cast<double>(snapshot.counters.events_lost),
          {{"cause", "volume"}});
  out.add(metric::log_bytes, static_cast<double>(log_bytes_written()));
  return out.text();
}

std::string status_json(const forwarder_status& status,
                        const traffic_snapshot& snapshot) {
  Json::Value v;
  v["name"] = status.name;
  v["zone"] = status.zone;
  v["ready"] = status.ready;
  v["stopping"] = status.stopping;
  v["uptime_s"] = static_cast<double>(status.uptime) / us_per_s;
  v["peers"] = static_cast<Json::UInt64>(status.peer_count);
  v["release"] = own_release;
  v["peers_by_release"] = Json::objectValue;
  for (const auto& [release, count] : status.peer_releases) {
    v["peers_by_release"][std::to_string(release)] =
        static_cast<Json::UInt64>(count);
  }
  v["silent_zones"] = Json::arrayValue;
  for (const auto& zone : status.silent_zones)
    v["silent_zones"].append(zone);
  v["routing_version"] = static_cast<Json::UInt64>(snapshot.routing_version);
  v["registry_era"] = static_cast<Json::UInt64>(status.registry_era);
  v["table_age_ms"] = static_cast<Json::Int64>(snapshot.table_age / us_per_ms);
  for (size_t i = 0; i < directory_kinds; ++i) {
    v["revisions"][std::string(name_of(static_cast<directory_kind>(i)))] =
        static_cast<Json::UInt64>(snapshot.revisions[i]);
  }
  v["targets"] = static_cast<Json::UInt64>(snapshot.targets.size());
  v["flows"] = static_cast<Json::UInt64>(snapshot.flow_count);
  v["counts"] = flow_counts_json(snapshot);
  v["services"] = Json::arrayValue;
  for (const auto& s : snapshot.services)
    v["services"].append(service_json(s));
  return json_text(v);
}

std::string targets_json(const traffic_snapshot& snapshot) {
  Json::Value v = Json::arrayValue;
  for (const auto& t : snapshot.targets)
    v.append(target_json(t));
  return json_text(v);
}

std::string flows_json(const traffic_snapshot& snapshot, endpoint caller) {
  Json::Value v = Json::arrayValue;
  for (const auto& f : snapshot.flow_list) {
    if (f.key.caller.ip != caller.ip ||
        (caller.port != 0 && f.key.caller.port != caller.port))
      continue;
    Json::Value flow;
    flow["caller"] = to_text(f.key.caller);
    flow["route"] = to_text(f.key.service);
    flow["target"] = f.target;
    flow["answered"] = f.answered;
    flow["ended"] = f.ended;
    flow["quiet_ms"] = static_cast<Json::Int64>(f.idle_time / us_per_ms);
    v.append(flow);
  }
  return json_text(v);
}

}  // namespace turmeric
