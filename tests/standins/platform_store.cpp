/** @file platform_store.cpp The platform's object API in memory. */
#include "platform_store.h"

namespace turmeric::tests {
namespace {

constexpr size_t max_value_bytes = 1 << 20;
constexpr size_t max_objects_per_reply = 256;

}  // namespace

platform_reply platform_store::execute(const platform_call& call,
                                       uint64_t random) {
  platform_reply reply;
  reply.id = call.id;
  if (faults.down)
    return reply;
  reply = apply(call);
  reply.id = call.id;
  const bool is_write =
      call.op == platform_op::create || call.op == platform_op::update;
  if (is_write && random % 100 < faults.lost_reply_percent) {
    reply.status = platform_status::unavailable;
    reply.objects.clear();
  }
  return reply;
}

platform_reply platform_store::apply(const platform_call& call) {
  platform_reply reply;
  reply.status = platform_status::ok;
  const auto it = objects_.find(call.name);
  const bool found = it != objects_.end();
  switch (call.op) {
    case platform_op::get:
      if (found)
        reply.objects.push_back(it->second);
      else
        reply.status = platform_status::not_found;
      break;
    case platform_op::list:
      for (auto object = objects_.lower_bound(call.name);
           object != objects_.end(); ++object) {
        const bool has_prefix = object->first.rfind(call.name, 0) == 0;
        if (!has_prefix || reply.objects.size() >= max_objects_per_reply)
          break;
        reply.objects.push_back(object->second);
      }
      break;
    case platform_op::create:
    case platform_op::update:
      if (call.value.size() > max_value_bytes) {
        reply.status = platform_status::mismatch;
      } else if (call.op == platform_op::create && found) {
        reply.status = platform_status::exists;
      } else if (call.op == platform_op::update &&
                 (!found || it->second.version != call.version)) {
        reply.status = platform_status::mismatch;
      } else {
        const uint64_t version = found ? it->second.version + 1 : 1;
        objects_[call.name] = {call.name, version, call.value};
      }
      break;
    case platform_op::watch:
      return watch(call);
    case platform_op::end:
      break;
  }
  return reply;
}

platform_reply platform_store::watch(const platform_call& call) const {
  platform_reply reply;
  reply.status = platform_status::ok;
  const std::string prefix = call.name.substr(0, call.name.find('/') + 1);
  const std::string first_kept_name =
      change_log_object_name(faults.compacted_before);
  if (faults.compacted_before > 0 && call.name < first_kept_name) {
    reply.status = platform_status::gone;
    return reply;
  }
  for (auto object = objects_.upper_bound(call.name); object != objects_.end();
       ++object) {
    const bool has_prefix = object->first.rfind(prefix, 0) == 0;
    if (!has_prefix || reply.objects.size() >= max_objects_per_reply)
      break;
    reply.objects.push_back(object->second);
  }
  return reply;
}

}  // namespace turmeric::tests
