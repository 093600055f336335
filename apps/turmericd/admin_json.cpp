/** @file admin_json.cpp JSON views of a balancer. */
#include "admin_json.h"

#include "turmeric/state/service_type.h"

namespace turmeric {

Json::Value status_to_json(const control_status& status) {
  Json::Value v;
  v["name"] = status.name;
  v["known"] = Json::UInt64(status.known);
  v["in_force"] = Json::UInt64(status.in_force);
  v["reads_format"] = status.reads_format;
  v["blocked_by_format"] = status.blocked_by_format;
  v["ms_since_platform"] = status.since_platform < 0
                               ? Json::Value(-1)
                               : Json::Int64(status.since_platform / us_per_ms);
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

Json::Value metrics_to_json(const traffic_metrics& metrics, time_us now) {
  Json::Value v;
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
  v["slices"] = Json::arrayValue;
  for (const auto& [key, slice] : metrics.slices()) {
    Json::Value s;
    s["service"] = Json::UInt64(key.service.value);
    s["zone"] = Json::UInt64(key.zone.value);
    s["age"] = Json::Int64(now / slice_length - key.slice);
    s["answered"] = Json::UInt64(slice.answered);
    s["refused"] = Json::UInt64(slice.refused);
    s["unknown"] = Json::UInt64(slice.unknown);
    s["interactive"] = Json::UInt64(slice.interactive);
    s["in_time"] = Json::UInt64(slice.in_time);
    s["broken_flows"] = Json::UInt64(slice.broken_flows);
    v["slices"].append(s);
  }
  return v;
}

}  // namespace turmeric
