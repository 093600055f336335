/** @file platform_client.cpp The platform's object API through cpp-httplib. */
#include "turmeric/transport/platform_client_func.h"

#include <httplib.h>

#include "turmeric/state/json_func.h"
#include "turmeric/state/service_type.h"

namespace turmeric {
namespace {

/** Extra time for the reply, as a watch may end later than its own timeout. */
constexpr time_us reply_margin = us_per_s;
constexpr time_us connect_timeout = 500 * us_per_ms;

}  // namespace

std::string platform_call_to_json(const platform_call& call) {
  Json::Value v;
  v["name"] = call.name;
  v["version"] = Json::UInt64(call.version);
  v["value"] = call.value;
  v["timeout_ms"] = Json::Int64(call.timeout / us_per_ms);
  return json_text(v);
}

bool platform_call_from_json(const std::string& text, platform_call* out) {
  Json::Value v;
  const bool valid = json_parse(text, &v) && v.isObject() &&
                     v["name"].isString() && v["version"].isUInt64() &&
                     v["value"].isString() && v["timeout_ms"].isInt64();
  if (!valid)
    return false;
  out->name = v["name"].asString();
  out->version = v["version"].asUInt64();
  out->value = v["value"].asString();
  out->timeout = v["timeout_ms"].asInt64() * us_per_ms;
  return true;
}

std::string platform_reply_to_json(const platform_reply& reply) {
  Json::Value v;
  v["status"] = std::string(name_of(reply.status));
  v["objects"] = Json::arrayValue;
  for (const auto& object : reply.objects) {
    Json::Value o;
    o["name"] = object.name;
    o["version"] = Json::UInt64(object.version);
    o["value"] = object.value;
    v["objects"].append(o);
  }
  return json_text(v);
}

platform_reply platform_reply_from_json(const std::string& text) {
  platform_reply reply;
  Json::Value v;
  if (!json_parse(text, &v) || !v.isObject() || !v["objects"].isArray())
    return reply;
  for (const auto& o : v["objects"]) {
    if (!o.isObject() || !o["version"].isUInt64())
      return reply;
    reply.objects.push_back(
        {o["name"].asString(), o["version"].asUInt64(), o["value"].asString()});
  }
  const std::string status = v["status"].asString();
  for (int i = 0; i < static_cast<int>(platform_status::end); ++i) {
    const auto candidate = static_cast<platform_status>(i);
    if (name_of(candidate) == status)
      reply.status = candidate;
  }
  return reply;
}

platform_reply call_platform(endpoint platform, const platform_call& call) {
  const std::string address = to_text(platform);
  httplib::Client client("http://" + address);
  client.set_connection_timeout(0, connect_timeout);
  const time_us read_timeout = call.timeout + reply_margin;
  client.set_read_timeout(read_timeout / us_per_s, read_timeout % us_per_s);
  const std::string path = "/v1/" + std::string(name_of(call.op));
  const auto response = client.Post(path.c_str(), platform_call_to_json(call),
                                    "application/json");
  platform_reply reply;
  if (response && response->status == 200)
    reply = platform_reply_from_json(response->body);
  reply.id = call.id;
  return reply;
}

}  // namespace turmeric
