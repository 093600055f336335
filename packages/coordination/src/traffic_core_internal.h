/** @file traffic_core_internal.h Forwarding templates for all message types. */
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
  const permit& used_permit = m->granted_permit;
  const bool issued_here = used_permit.home == self_.id &&
                           used_permit.incarnation == self_.incarnation;
  if (issued_here)
    return false;
  const member_record* issuer = table_->find_member(used_permit.home);
  if (issuer == nullptr && used_permit.zone != self_.zone)
    issuer = table_->member_in_zone(used_permit.zone, used_permit.home.value);
  const bool is_issuer = issuer != nullptr && issuer->id == used_permit.home;
  // A dead record of an earlier incarnation does not show that this one ended.
  const bool died = is_issuer &&
                    issuer->incarnation == used_permit.incarnation &&
                    issuer->state == member_state::dead;
  const bool restarted =
      is_issuer && issuer->incarnation > used_permit.incarnation;
  const bool own_earlier_incarnation =
      used_permit.home == self_.id &&
      used_permit.incarnation < self_.incarnation;
  const bool ended = died || restarted || own_earlier_incarnation;
  // A recently started balancer may not have the issuer's record yet, so it
  // forwards to any peer.
  if (issuer == nullptr)
    issuer = table_->any_peer(random_());
  if (!ended) {
    forward(std::move(*m), issuer, out);
    return true;
  }
  // Only the issuing incarnation could run the request, and it has ended. The
  // request may have run before; it cannot run any more.
  if constexpr (std::is_same_v<Message, run_request>)
    send_unknown_outcome(*m, out);
  return true;
}

}  // namespace turmeric

#endif  // TURMERIC_COORDINATION_TRAFFIC_CORE_INTERNAL_H_
