/** @file directory_core_era.cpp Eras of the registry: which answers and peers'
 * states are used, and what is read again. */
#include <algorithm>

#include "directory_core_internal.h"
#include "turmeric/coordination/directory_core_base.h"

namespace turmeric {

registry_version directory_core::version_of(const registry_reply& reply,
                                            const kind_sync& sync) const {
  const uint64_t known = sync.replica.summary().era;
  if (reply.era != 0)
    return {reply.era, reply.revision};
  return {known != 0 ? known : era_.current(), reply.revision};
}

bool directory_core::registry_works() const {
  return std::any_of(syncs_.begin(), syncs_.end(), [](const kind_sync& sync) {
    return watches_registry(sync.role) && !sync.last_call_failed &&
           !sync.must_list && sync.replica.loaded();
  });
}

bool directory_core::accept_era(time_us now,
                                directory_kind kind,
                                const registry_reply& reply,
                                actions* out) {
  kind_sync& sync = sync_of(kind);
  // A call without an answer names no era.
  if (reply.status == registry_status::unreachable)
    return true;
  if (reply.era == 0 && era_.current() != 0 && !era_missing_logged_) {
    era_missing_logged_ = true;
    out->push_back(
        directory_log_line{"answer of the registry names no era",
                           {{"kind", std::string(name_of(kind))},
                            {"era", std::to_string(era_.current())}}});
  }
  const uint64_t before = era_.current();
  const era_verdict verdict = era_.on_answer(now, reply.era, sync.call_started);
  if (verdict == era_verdict::current)
    return true;
  if (verdict == era_verdict::outdated) {
    registry_reply outdated;
    outdated.status = registry_status::outdated;
    on_call_failed(now, kind, outdated, out);
    return false;
  }
  out->push_back(directory_log_line{verdict == era_verdict::newer
                                        ? "registry was restored from a copy"
                                        : "era of the registry was wrong",
                                    {{"era_before", std::to_string(before)},
                                     {"era", std::to_string(reply.era)},
                                     {"kind", std::string(name_of(kind))}}});
  // The first page of a list already shows the new era.
  const bool usable = reply.status == registry_status::ok &&
                      sync.op == registry_op::list && sync.listed.empty();
  list_all_again(now, kind, usable, verdict == era_verdict::disproved, out);
  return usable;
}

void directory_core::list_all_again(time_us now,
                                    directory_kind answered,
                                    bool answer_usable,
                                    bool distrusted,
                                    actions* out) {
  for (const directory_kind kind : call_order) {
    kind_sync& sync = sync_of(kind);
    sync.must_list = true;
    sync.catch_up = false;
    sync.listed.clear();
    if (distrusted)
      sync.replica.distrust_era();
    // A balancer that starts may still wait for its peers.
    const bool idle = !sync.replica.loaded() && sync.call_id == 0;
    if (kind == answered ? !answer_usable : !idle)
      start_call(now, kind, out);
  }
}

void directory_core::check_era(time_us now,
                               const std::string& cause,
                               actions* out) {
  if (last_era_check_ != 0 &&
      now - last_era_check_ < options_.era_check_interval)
    return;
  last_era_check_ = now;
  out->push_back(directory_log_line{
      "checking the era of the registry",
      {{"cause", cause}, {"era", std::to_string(era_.current())}}});
  start_catch_up(now, directory_kind::withdrawals, out);
}

peer_hello directory_core::comparable_hello(peer_hello hello) const {
  const bool names_era = std::any_of(
      hello.summaries.begin(), hello.summaries.end(),
      [](const directory_summary& summary) { return summary.era != 0; });
  if (names_era || !era_.changed())
    return hello;
  hello.summaries = {};
  hello.watched_kinds = hello.relayed_kinds = 0;
  return hello;
}

void directory_core::compare_era(time_us now,
                                 const peer_hello& hello,
                                 actions* out) {
  uint64_t era = 0;
  for (const auto& summary : hello.summaries)
    era = std::max(era, summary.era);
  if (era == 0 || era_.current() == 0)
    return;
  if (!era_.accepts_from_peer(now, era, registry_works())) {
    check_era(now, "a peer names a higher one", out);
    return;
  }
  if (registry_works() || hello.watched_kinds == 0)
    return;
  if (era >= era_.current()) {
    era_doubted_since_ = 0;
    return;
  }
  if (era_doubted_since_ == 0)
    era_doubted_since_ = now;
  if (now - era_doubted_since_ < options_.era_doubt_time)
    return;
  check_era(now, "watching balancers name a lower one", out);
}

void directory_core::pull_era(time_us now,
                              directory_kind kind,
                              uint64_t era,
                              actions* out) {
  kind_sync& sync = sync_of(kind);
  // A balancer that reaches the registry lists the kind there.
  if (!era_.accepts_from_peer(now, era, registry_works()) ||
      (sync.must_list && sync.call_id != 0) || pull_pending(now, sync))
    return;
  const known_peer* peer = choose_pull_peer(now, kind);
  if (peer == nullptr)
    return;
  sync.last_pull = now;
  ++sync.pulls;
  peer_hello hello = make_hello(now);
  hello.requested_kinds = 1U << static_cast<uint32_t>(kind);
  out->push_back(send_peer_message{peer->hello.address, std::move(hello)});
}

}  // namespace turmeric
