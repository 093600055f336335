/** @file operator_io.cpp Access of the operators' command to the platform. */
#include "turmeric/coordination/operator_io_func.h"

#include <fmt/format.h>

#include <algorithm>

namespace turmeric {
namespace {

constexpr int max_attempts = 6;
constexpr time_us backoff_min = 100 * us_per_ms;
constexpr time_us backoff_max = 2 * us_per_s;
/** Half of the platform's limit of one megabyte per value. */
constexpr size_t snapshot_part_bytes = 512 * 1024;

/** Repeats an idempotent call until it is answered, at most max_attempts times.
 * @return The reply, or `platform_unavailable`. */
result<platform_reply> call_with_retry(const operator_hooks& hooks,
                                       platform_call c) {
  for (int i = 0; i < max_attempts; ++i) {
    platform_reply reply = hooks.call(c);
    if (reply.status != platform_status::unavailable)
      return reply;
    const time_us backoff = std::min(backoff_min << i, backoff_max);
    hooks.sleep(
        backoff_min +
        static_cast<time_us>(hooks.random() % static_cast<uint64_t>(backoff)));
  }
  return fail(result_code::platform_unavailable,
              fmt::format("platform did not answer {} {} in {} calls",
                          name_of(c.op), c.name, max_attempts));
}

platform_call get_call(std::string name) {
  platform_call c;
  c.op = platform_op::get;
  c.name = std::move(name);
  return c;
}

result<snapshot_index> read_index(const operator_hooks& hooks) {
  auto reply =
      call_with_retry(hooks, get_call(std::string(snapshot_index_name)));
  if (!reply)
    return boost::outcome_v2::failure(reply.error());
  if (reply.value().objects.empty())
    return snapshot_index{};
  return snapshot_index_from_json(reply.value().objects.front().value);
}

result<config_state> read_snapshot(const operator_hooks& hooks) {
  auto index = read_index(hooks);
  if (!index)
    return boost::outcome_v2::failure(index.error());
  config_delta full_delta{
      index.value().format, 0, index.value().at_revision, {}};
  for (const auto& part : index.value().parts) {
    auto reply = call_with_retry(hooks, get_call(part));
    if (!reply)
      return boost::outcome_v2::failure(reply.error());
    const auto& objects = reply.value().objects;
    auto entries = entries_from_json(objects.empty() ? "" : objects[0].value);
    if (!entries)
      return boost::outcome_v2::failure(entries.error());
    for (auto& entry : entries.value())
      full_delta.entries.push_back(std::move(entry));
  }
  config_state state;
  auto applied = state.apply(full_delta);
  if (!applied)
    return boost::outcome_v2::failure(applied.error());
  return state;
}

/** Reads the log and applies the changes after the revision of @p state. */
result<void> read_log(const operator_hooks& hooks, config_state* state) {
  while (true) {
    platform_call c;
    c.op = platform_op::watch;
    c.name = change_log_object_name(state->current_revision());
    c.timeout = 0;
    auto reply = call_with_retry(hooks, c);
    if (!reply)
      return boost::outcome_v2::failure(reply.error());
    if (reply.value().objects.empty())
      return boost::outcome_v2::success();
    for (const auto& object : reply.value().objects) {
      auto parsed = change_from_json(object.value);
      if (!parsed)
        return boost::outcome_v2::failure(parsed.error());
      auto applicable = state->check_applicable(parsed.value());
      if (!applicable)
        return applicable;
      state->apply(parsed.value());
    }
  }
}

}  // namespace

result<config_state> read_state(const operator_hooks& hooks) {
  auto state = read_snapshot(hooks);
  if (!state)
    return state;
  auto log_read = read_log(hooks, &state.value());
  if (!log_read)
    return boost::outcome_v2::failure(log_read.error());
  return state;
}

result<revision> commit(const operator_hooks& hooks,
                        revision base,
                        const std::string& author,
                        std::vector<config_entry> entries) {
  change_commit state_machine({}, base, author, std::move(entries),
                              hooks.random);
  commit_step step = state_machine.start();
  while (!step.outcome) {
    if (step.delay > 0)
      hooks.sleep(step.delay);
    step = state_machine.on_reply(hooks.call(*step.call));
  }
  return *step.outcome;
}

result<void> write_snapshot(const operator_hooks& hooks,
                            const config_state& state) {
  snapshot_index index;
  index.format = state.format();
  index.at_revision = state.current_revision();
  const auto parts = snapshot_parts(state, snapshot_part_bytes);
  for (size_t i = 0; i < parts.size(); ++i) {
    platform_call c;
    c.op = platform_op::create;
    c.name = fmt::format("snapshot/{:016}/{}", index.at_revision, i);
    c.value = parts[i];
    // If the part exists already, its content is the same, as it was made from
    // the same revision.
    auto reply = call_with_retry(hooks, c);
    if (!reply)
      return boost::outcome_v2::failure(reply.error());
    index.parts.push_back(c.name);
  }
  auto index_reply =
      call_with_retry(hooks, get_call(std::string(snapshot_index_name)));
  if (!index_reply)
    return boost::outcome_v2::failure(index_reply.error());
  const auto& objects = index_reply.value().objects;
  platform_call c;
  c.op = objects.empty() ? platform_op::create : platform_op::update;
  c.name = std::string(snapshot_index_name);
  c.value = to_json(index);
  if (!objects.empty()) {
    auto old = snapshot_index_from_json(objects.front().value);
    if (!old)
      return boost::outcome_v2::failure(old.error());
    if (old.value().at_revision >= index.at_revision)
      return boost::outcome_v2::success();
    c.version = objects.front().version;
  }
  // If another operator updated the index in the meantime, this write fails and
  // the index of that operator remains, which names a complete snapshot, too.
  auto written = call_with_retry(hooks, c);
  if (!written)
    return boost::outcome_v2::failure(written.error());
  return boost::outcome_v2::success();
}

}  // namespace turmeric
