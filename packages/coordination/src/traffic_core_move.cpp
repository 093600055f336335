/** @file traffic_core_move.cpp Handover of targets between balancers, and
 * cancellation of running requests whose deadline has passed. */
#include "traffic_core_internal.h"

namespace turmeric {

void traffic_core::refuse_waiting(time_us now,
                                  target_gate* gate,
                                  result_code code,
                                  actions* out) {
  for (const uint64_t serial : gate->waiting_serials()) {
    gate->remove(serial);
    const auto it = attempts_.find(serial);
    if (it != attempts_.end())
      finish(now, &it->second, code, us_per_ms, "", out);
  }
}

void traffic_core::release_moved_targets(time_us now, actions* out) {
  for (auto it = gates_.begin(); it != gates_.end();) {
    target_gate& gate = it->second;
    const auto place = table_->index->targets.find(it->first);
    const bool gone = place == table_->index->targets.end() ||
                      withdrawn(*place->second.target);
    const bool moved =
        !gone && table_->home_of(*place->second.target) != self_.id;
    if (gone)
      refuse_waiting(now, &gate, result_code::refused_target_gone, out);
    if (moved) {
      refuse_waiting(now, &gate, result_code::refused_moved, out);
      send_release(now, it->first, gate, out);
    }
    const bool unused = (gone || moved) && gate.own_running() == 0;
    it = unused ? gates_.erase(it) : std::next(it);
  }
}

void traffic_core::send_release(time_us now,
                                target_id target,
                                const target_gate& gate,
                                actions* out) {
  const auto place = table_->index->targets.find(target);
  if (place == table_->index->targets.end())
    return;
  const member_id home = table_->home_of(*place->second.target);
  if (home == self_.id || !home.valid())
    return;
  // The count includes requests that an earlier home may still run there.
  home_release release{place->second.service->id, target, gate.running(now), 0};
  forward(std::move(release), table_->find_member(home), out);
}

void traffic_core::on(time_us now, home_release m, actions*) {
  const indexed_target* place = table_->index->find(m.service, m.target);
  if (place == nullptr || table_->home_of(*place->target) != self_.id)
    return;
  target_gate& gate = gate_for(now, m.target, place->service->slots);
  gate.assume_running(m.running, now + options_.take_over_wait);
}

void traffic_core::cancel_overdue(time_us now, actions* out) {
  for (const uint64_t serial : running_) {
    attempt& a = attempts_.at(serial);
    if (a.cancelled || now < a.deadline)
      continue;
    a.cancelled = true;
    const indexed_target* place =
        table_->index->find(a.service, a.own_permit.target);
    if (place != nullptr && is_eligible(*place->target)) {
      out->emplace_back(cancel_work{serial, place->target->address, a.request});
    }
  }
}

}  // namespace turmeric
