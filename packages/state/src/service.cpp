/** @file service.cpp JSON form of services, text form of addresses. */
#include <fmt/format.h>
#include <json/json.h>

#include <cstdio>

#include "turmeric/state/json_func.h"
#include "turmeric/state/service_type.h"

namespace turmeric {
namespace {

constexpr int max_octet = 255;
constexpr int max_port = 65535;

Json::Value target_to_json(const target_config& target) {
  Json::Value v;
  v["name"] = target.name;
  v["zone"] = target.zone_name;
  v["address"] = to_text(target.address);
  return v;
}

result<target_config> target_from_json(const Json::Value& v) {
  target_config target;
  target.name = v["name"].asString();
  target.id = id_of<target_id>(target.name);
  target.zone_name = v["zone"].asString();
  target.zone = id_of<zone_id>(target.zone_name);
  auto address = parse_endpoint(v["address"].asString());
  if (!address)
    return boost::outcome_v2::failure(address.error());
  target.address = address.value();
  return target;
}

}  // namespace

std::string full_name(const service_config& service) {
  return service.account + "/" + service.name;
}

std::string to_json(const service_config& service) {
  Json::Value v;
  v["account"] = service.account;
  v["name"] = service.name;
  v["slots"] = service.slots;
  v["availability"] = service.objective.availability;
  v["latency_ms"] = service.objective.latency_ms;
  v["latency_share"] = service.objective.latency_share;
  v["targets"] = Json::arrayValue;
  for (const auto& target : service.targets)
    v["targets"].append(target_to_json(target));
  return json_text(v);
}

result<service_config> service_from_json(const std::string& text) {
  Json::Value v;
  if (!json_parse(text, &v) || !v.isObject() || !v["targets"].isArray())
    return fail(result_code::declaration_invalid,
                "not the JSON form of a service: " + text);
  service_config service;
  service.account = v["account"].asString();
  service.name = v["name"].asString();
  service.id = id_of<service_id>(full_name(service));
  service.slots = v["slots"].asUInt();
  service.objective.availability = v["availability"].asDouble();
  service.objective.latency_ms = v["latency_ms"].asUInt();
  service.objective.latency_share = v["latency_share"].asDouble();
  for (const auto& t : v["targets"]) {
    auto target = target_from_json(t);
    if (!target)
      return boost::outcome_v2::failure(target.error());
    service.targets.push_back(target.value());
  }
  return service;
}

result<endpoint> parse_endpoint(const std::string& text) {
  int a = 0, b = 0, c = 0, d = 0, port = 0, consumed = 0;
  const int matched = std::sscanf(text.c_str(), "%d.%d.%d.%d:%d%n", &a, &b, &c,
                                  &d, &port, &consumed);
  bool valid = matched == 5 && consumed == static_cast<int>(text.size());
  for (const int octet : {a, b, c, d})
    valid = valid && octet >= 0 && octet <= max_octet;
  valid = valid && port >= 0 && port <= max_port;
  if (!valid) {
    return fail(result_code::declaration_invalid,
                fmt::format("'{}' is not an address, expected IP:PORT", text));
  }
  const auto ip = (static_cast<uint32_t>(a) << 24) |
                  (static_cast<uint32_t>(b) << 16) |
                  (static_cast<uint32_t>(c) << 8) | static_cast<uint32_t>(d);
  return endpoint{ip, static_cast<uint16_t>(port)};
}

std::string to_text(const endpoint& e) {
  return fmt::format("{}.{}.{}.{}:{}", e.ip >> 24, (e.ip >> 16) & 255,
                     (e.ip >> 8) & 255, e.ip & 255, e.port);
}

}  // namespace turmeric
