/** @file admin_json.cpp Status and metrics of a balancer as JSON. */
#include "admin_json.h"

#include "turmeric/state/service_type.h"

namespace turmeric {

Json::Value status_to_json(const control_status& status) {
  Json::Value v;
  v["name"] = status.name;
  v["known"] = Json::UInt64(status.held_revision);
  v["in_force"] = Json::UInt64(status.in_force);
  v["reads_format"] = status.supported_format;
  v["blocked_by_format"] = status.blocked_by_format;
  v["ms_since_platform"] =
      status.since_platform_reply < 0
          ? Json::Value(-1)
          : Json::Int64(status.since_platform_reply / us_per_ms);
  v["members"] = Json::arrayValue;
  for (const auto& member : status.members) {
    Json::Value m;
    m["name"] = member.name;
    m["state"] = std::string(name_of(member.state));
    m["peer"] = to_text(member.peer);
    v["members"].append(m);
  }
  return v;
}

namespace {

/** @return The counts of each slice with the slice's age, a number of slices
 * before the current one. */
Json::Value series_to_json(const slice_series& series, time_us now) {
  Json::Value out = Json::arrayValue;
  for (const auto& [key, slice] : series.all()) {
    Json::Value s;
    s["service"] = Json::UInt64(key.service.value);
    s["zone"] = Json::UInt64(key.zone.value);
    s["age"] = Json::Int64(now / series.length() - key.slice);
    s["answered"] = Json::UInt64(slice.answered);
    s["refused"] = Json::UInt64(slice.refused);
    s["unknown"] = Json::UInt64(slice.unknown);
    s["interactive"] = Json::UInt64(slice.interactive);
    s["in_time"] = Json::UInt64(slice.in_time);
    s["broken_flows"] = Json::UInt64(slice.broken_flows);
    out.append(s);
  }
  return out;
}

/** @return Names, objectives and targets of the services, so that a report can
 * be made without a call to the platform. */
Json::Value services_to_json(const route_table& table) {
  Json::Value out = Json::arrayValue;
  for (const auto& [id, service] : table.index->services) {
    Json::Value s;
    s["id"] = Json::UInt64(id.value);
    s["account"] = service->account;
    s["name"] = service->name;
    s["availability"] = service->objective.availability;
    s["latency_ms"] = service->objective.latency_ms;
    s["latency_share"] = service->objective.latency_share;
    s["targets"] = Json::arrayValue;
    for (const auto& target : service->targets) {
      Json::Value t;
      t["id"] = Json::UInt64(target.id.value);
      t["name"] = target.name;
      t["zone"] = target.zone_name;
      t["zone_id"] = Json::UInt64(target.zone.value);
      t["zone_out"] = table.index->withdrawn_zones.count(target.zone) > 0;
      s["targets"].append(t);
    }
    out.append(s);
  }
  return out;
}

}  // namespace

Json::Value metrics_to_json(const traffic_metrics& metrics,
                            const route_table* table,
                            time_us now,
                            time_us uptime) {
  Json::Value v;
  v["uptime_s"] = Json::Int64(uptime / us_per_s);
  v["packets_in"] = Json::UInt64(metrics.packets_in());
  v["packets_forwarded"] = Json::UInt64(metrics.packets_forwarded());
  for (const auto& [code, count] : metrics.codes())
    v["codes"][std::string(row_of(code).name)] = Json::UInt64(count);
  v["latency_bins"] = Json::arrayValue;
  for (const auto& bin : boost::histogram::indexed(metrics.latency())) {
    if (*bin == 0.0)
      continue;
    Json::Value b;
    b["below_ms"] = bin.bin().upper();
    b["count"] = Json::UInt64(static_cast<uint64_t>(*bin));
    v["latency_bins"].append(b);
  }
  v["fine"] = series_to_json(metrics.fine(), now);
  v["coarse"] = series_to_json(metrics.coarse(), now);
  v["starts"] = Json::arrayValue;
  for (const auto& [target, count] : metrics.starts()) {
    Json::Value t;
    t["target"] = Json::UInt64(target.value);
    t["count"] = Json::UInt64(count);
    v["starts"].append(t);
  }
  v["services"] = Json::arrayValue;
  if (table != nullptr)
    v["services"] = services_to_json(*table);
  return v;
}

}  // namespace turmeric
