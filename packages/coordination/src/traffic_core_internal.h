/** @file traffic_core_internal.h Forwarding of any message type. */
#ifndef TURMERIC_COORDINATION_TRAFFIC_CORE_INTERNAL_H_
#define TURMERIC_COORDINATION_TRAFFIC_CORE_INTERNAL_H_

#include "turmeric/coordination/traffic_core_base.h"

namespace turmeric {

template <typename Message>
void traffic_core::forward(Message m, const member_record* to, actions* out) {
  if (to == nullptr || to->id == self_.id) {
    count(result_code::no_route);
    return;
  }
  if (m.hops >= options_.max_hops) {
    count(result_code::hop_limit);
    return;
  }
  ++m.hops;
  metrics_.count_packet_forwarded();
  out->emplace_back(send_packet{to->peer, packet(std::move(m)), true});
}

template <typename Message>
bool traffic_core::forward_to_issuer(time_us, Message* m, actions* out) {
  const permit& right = m->right;
  const bool mine =
      right.home == self_.id && right.incarnation == self_.incarnation;
  if (mine)
    return false;
  const member_record* issuer = table_->find_member(right.home);
  if (issuer == nullptr && right.zone != self_.zone)
    issuer = table_->contact_in(right.zone, right.home.value);
  const bool exact = issuer != nullptr && issuer->id == right.home;
  // A record of an earlier incarnation says nothing about this one.
  const bool died = exact && issuer->incarnation == right.incarnation &&
                    issuer->state == member_state::dead;
  const bool replaced = exact && issuer->incarnation > right.incarnation;
  const bool own_past =
      right.home == self_.id && right.incarnation < self_.incarnation;
  const bool ended = died || replaced || own_past;
  // A balancer that started does not know all members; another one may.
  if (issuer == nullptr)
    issuer = table_->any_peer(random_());
  if (!ended) {
    forward(std::move(*m), issuer, out);
    return true;
  }
  // The incarnation that alone could run it is gone: it may have run once,
  // and it cannot run any more.
  if constexpr (std::is_same_v<Message, run_request>)
    answer_unknown(*m, out);
  return true;
}

}  // namespace turmeric

#endif  // TURMERIC_COORDINATION_TRAFFIC_CORE_INTERNAL_H_
