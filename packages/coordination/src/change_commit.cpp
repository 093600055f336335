/** @file change_commit.cpp State machine that commits one change. */
#include "turmeric/coordination/change_commit_base.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>

#include "turmeric/state/config_key_func.h"

namespace turmeric {

std::string scope_of(const std::string& key) {
  const config_key parsed = parse_key(key);
  if (parsed.kind != key_kind::service)
    return key;
  return make_key(key_kind::service,
                  parsed.name.substr(0, parsed.name.find('/')));
}

change_commit::change_commit(commit_options options,
                             revision base,
                             std::string author,
                             std::vector<config_entry> entries,
                             random_source random)
    : options_(options), random_(std::move(random)) {
  change_.number = base + 1;
  change_.change_id = random_();
  change_.author = std::move(author);
  change_.entries = std::move(entries);
}

commit_step change_commit::start() {
  return create();
}

commit_step change_commit::create() {
  reading_back_ = false;
  commit_step step;
  step.call.emplace();
  step.call->op = platform_op::create;
  step.call->name = change_log_object_name(change_.number);
  step.call->value = to_json(change_);
  step.call->timeout = options_.call_timeout;
  return step;
}

commit_step change_commit::read_back() {
  reading_back_ = true;
  commit_step step;
  step.call.emplace();
  step.call->op = platform_op::get;
  step.call->name = change_log_object_name(change_.number);
  step.call->timeout = options_.call_timeout;
  return step;
}

commit_step change_commit::on_unanswered(bool reading_back) {
  ++unanswered_calls_;
  if (!reading_back)
    may_be_committed_ = true;
  commit_step step;
  if (unanswered_calls_ >= options_.max_unanswered_calls) {
    const auto code = may_be_committed_ ? result_code::commit_unknown
                                        : result_code::platform_unavailable;
    step.outcome.emplace(fail(
        code, fmt::format(
                  "commit of change {:x} as number {}: platform left {} calls "
                  "unanswered",
                  change_.change_id, change_.number, unanswered_calls_)));
    return step;
  }
  // An unanswered create may have taken effect: read the object back first.
  step = read_back();
  const time_us backoff =
      std::min(options_.backoff_min << unanswered_calls_, options_.backoff_max);
  step.delay = options_.backoff_min +
               static_cast<time_us>(random_() % static_cast<uint64_t>(backoff));
  return step;
}

commit_step change_commit::on_reply(const platform_reply& reply) {
  if (reply.status == platform_status::unavailable)
    return on_unanswered(reading_back_);
  return reading_back_ ? on_read_back(reply) : on_created(reply);
}

commit_step change_commit::on_created(const platform_reply& reply) {
  if (reply.status != platform_status::ok)
    return read_back();
  commit_step step;
  step.outcome.emplace(change_.number);
  return step;
}

commit_step change_commit::on_read_back(const platform_reply& reply) {
  if (reply.status == platform_status::not_found || reply.objects.empty())
    return create();
  commit_step step;
  auto existing = change_from_json(reply.objects.front().value);
  if (!existing) {
    step.outcome.emplace(boost::outcome_v2::failure(existing.error()));
    return step;
  }
  const config_change& committed = existing.value();
  if (committed.change_id == change_.change_id) {
    step.outcome.emplace(change_.number);
    return step;
  }
  if (committed.format > config_format) {
    step.outcome.emplace(
        fail(result_code::format_too_new,
             "the change log contains a change in a format newer than "
             "this program supports"));
    return step;
  }
  std::set<std::string> scopes;
  for (const auto& entry : change_.entries)
    scopes.insert(scope_of(entry.key));
  for (const auto& entry : committed.entries) {
    if (scopes.count(scope_of(entry.key)) == 0)
      continue;
    step.outcome.emplace(
        fail(result_code::conflict,
             fmt::format("{} is set by change {} of {} and by this change of "
                         "{}; plan this change again",
                         entry.key, committed.number, committed.author,
                         change_.author)));
    return step;
  }
  // Another change has this number, so an unanswered create of this change can
  // no longer take effect.
  may_be_committed_ = false;
  ++change_.number;
  return create();
}

}  // namespace turmeric
