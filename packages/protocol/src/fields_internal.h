/** @file fields_internal.h Field order of messages on the wire.
 *
 * New fields are only added at the end: a reader of an older version ignores
 * the fields that it does not support.
 */
#ifndef TURMERIC_PROTOCOL_FIELDS_INTERNAL_H_
#define TURMERIC_PROTOCOL_FIELDS_INTERNAL_H_

#include <msgpack.hpp>
#include <tuple>
#include <type_traits>

#include "turmeric/state/member_type.h"
#include "turmeric/state/message_type.h"
#include "turmeric/state/peer_message_type.h"

namespace turmeric {

// Defines fields(m), which ties the fields of a const or mutable message in the
// order of the wire.
#define TURMERIC_FIELDS(type, ...)                                             \
  template <                                                                   \
      typename M,                                                              \
      std::enable_if_t<std::is_same_v<std::remove_const_t<M>, type>, int> = 0> \
  auto fields(M& m) {                                                          \
    return std::tie(__VA_ARGS__);                                              \
  }

TURMERIC_FIELDS(endpoint, m.ip, m.port)
TURMERIC_FIELDS(permit,
                m.zone,
                m.home,
                m.incarnation,
                m.serial,
                m.nonce,
                m.target,
                m.lifetime_ms)
TURMERIC_FIELDS(permit_request,
                m.service,
                m.flow,
                m.request,
                m.previous,
                m.reply_to,
                m.hops,
                m.reassignable)
TURMERIC_FIELDS(permit_grant, m.service, m.flow, m.request, m.granted)
TURMERIC_FIELDS(run_request,
                m.service,
                m.flow,
                m.request,
                m.granted_permit,
                m.repeatable,
                m.priority,
                m.deadline_ms,
                m.body,
                m.missing_parts,
                m.reply_to,
                m.hops)
TURMERIC_FIELDS(answer_part,
                m.service,
                m.request,
                m.serial,
                m.nonce,
                m.code,
                m.retry_after_ms,
                m.part,
                m.parts,
                m.checksum,
                m.body,
                m.next)
TURMERIC_FIELDS(cancel_request,
                m.service,
                m.request,
                m.granted_permit,
                m.reply_to,
                m.hops)
TURMERIC_FIELDS(home_release, m.service, m.target, m.running, m.hops)
TURMERIC_FIELDS(datagram,
                m.service,
                m.flow,
                m.opens,
                m.payload,
                m.reply_to,
                m.hops)
TURMERIC_FIELDS(flow_query,
                m.service,
                m.inner,
                m.requester,
                m.no_further_query,
                m.receiver_decides,
                m.hops)
TURMERIC_FIELDS(flow_hint,
                m.service,
                m.flow,
                m.target,
                m.placed_at_opening,
                m.moving,
                m.in_force)
TURMERIC_FIELDS(flow_records,
                m.service,
                m.flows,
                m.targets,
                m.placed_at_opening,
                m.for_receiver,
                m.hops)
TURMERIC_FIELDS(moving_buckets, m.service, m.buckets, m.oldest_targets, m.hops)
TURMERIC_FIELDS(moving_buckets_request, m.requester)
TURMERIC_FIELDS(moving_buckets_reply, m.in_force, m.services)
TURMERIC_FIELDS(request_pending, m.service, m.request, m.serial, m.nonce)
TURMERIC_FIELDS(load_report, m.service, m.targets, m.loads)
TURMERIC_FIELDS(config_entry, m.key, m.value, m.changed_revision)
TURMERIC_FIELDS(config_delta, m.format, m.from, m.to, m.entries)
TURMERIC_FIELDS(member_record,
                m.id,
                m.name,
                m.zone,
                m.incarnation,
                m.refutations,
                m.state,
                m.gossip,
                m.peer)
TURMERIC_FIELDS(gossip_message,
                m.kind,
                m.from,
                m.sequence,
                m.subject,
                m.held_revision,
                m.updates,
                m.delta,
                m.fragment,
                m.fragments)
TURMERIC_FIELDS(directory_summary, m.revision, m.digest, m.era)
TURMERIC_FIELDS(target_entry,
                m.name,
                m.number,
                m.service,
                m.zone,
                m.address,
                m.slots,
                m.draining,
                m.started_unix_ms,
                m.cold_until,
                m.created)
TURMERIC_FIELDS(weighted_service, m.service, m.weight)
TURMERIC_FIELDS(route_entry,
                m.name,
                m.address,
                m.kind,
                m.timeout,
                m.latency_objective,
                m.priority,
                m.services)
TURMERIC_FIELDS(service_entry, m.name, m.max_flows, m.cold_per_s)
TURMERIC_FIELDS(routing_entry, m.version, m.routes, m.services, m.idle_timeout)
TURMERIC_FIELDS(peer_hello,
                m.name,
                m.zone,
                m.address,
                m.incarnation,
                m.sequence,
                m.leaving,
                m.summaries,
                m.peers,
                m.watched_kinds,
                m.requested_kinds,
                m.requested_if_small,
                m.relayed_kinds,
                m.features,
                m.release)
TURMERIC_FIELDS(routing_patch,
                m.base_digest,
                m.base_era,
                m.base_version,
                m.version,
                m.changed,
                m.positions,
                m.removed,
                m.services,
                m.idle_timeout)
TURMERIC_FIELDS(target_report,
                m.token,
                m.observation,
                m.age,
                m.remaining,
                m.failures)
// An earlier version sends a fifth field, which must not get another meaning.
TURMERIC_FIELDS(peer_reports, m.address, m.incarnation, m.sequence, m.reports)
TURMERIC_FIELDS(peer_fragment, m.message, m.index, m.count, m.bytes)
TURMERIC_FIELDS(peer_directory_delta,
                m.to_incarnation,
                m.kind,
                m.from_revision,
                m.revision,
                m.names,
                m.revisions,
                m.removed_names,
                m.removed_revisions,
                m.targets,
                m.routings,
                m.era,
                m.routing_patches)

#undef TURMERIC_FIELDS

/** Whether a type is a message whose fields are listed above. */
template <typename T, typename = void>
struct has_fields : std::false_type {};
template <typename T>
struct has_fields<T, std::void_t<decltype(fields(std::declval<T&>()))>>
    : std::true_type {};

}  // namespace turmeric

namespace msgpack {
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS) {
  namespace adaptor {

  template <typename Tag>
  struct pack<turmeric::strong_id<Tag>> {
    template <typename Stream>
    packer<Stream>& operator()(packer<Stream>& o,
                               const turmeric::strong_id<Tag>& id) const {
      return o.pack_uint64(id.value);
    }
  };

  template <typename Tag>
  struct convert<turmeric::strong_id<Tag>> {
    msgpack::object const& operator()(msgpack::object const& o,
                                      turmeric::strong_id<Tag>& id) const {
      id.value = o.as<uint64_t>();
      return o;
    }
  };

  template <typename E>
  struct pack<E, std::enable_if_t<std::is_enum_v<E>>> {
    template <typename Stream>
    packer<Stream>& operator()(packer<Stream>& o, const E& value) const {
      return o.pack_uint64(static_cast<uint64_t>(value));
    }
  };

  template <typename E>
  struct convert<E, std::enable_if_t<std::is_enum_v<E>>> {
    msgpack::object const& operator()(msgpack::object const& o,
                                      E& value) const {
      const auto number = o.as<uint64_t>();
      if (number < static_cast<uint64_t>(E::end)) {
        value = static_cast<E>(number);
        return o;
      }
      // A newer peer may know further kinds of routes; one of them must not
      // cost the whole configuration.
      if constexpr (std::is_same_v<E, turmeric::route_kind>)
        value = turmeric::route_kind::unsafe;
      else
        throw type_error();
      return o;
    }
  };

  template <typename M>
  struct pack<M, std::enable_if_t<turmeric::has_fields<M>::value>> {
    template <typename Stream>
    packer<Stream>& operator()(packer<Stream>& o, const M& m) const {
      std::apply(
          [&](const auto&... field) {
            o.pack_array(sizeof...(field));
            (o.pack(field), ...);
          },
          turmeric::fields(m));
      return o;
    }
  };

  template <typename M>
  struct convert<M, std::enable_if_t<turmeric::has_fields<M>::value>> {
    msgpack::object const& operator()(msgpack::object const& o, M& m) const {
      if (o.type != type::ARRAY)
        throw type_error();
      std::apply(
          [&](auto&... field) {
            uint32_t i = 0;
            // Fields that an older sender did not write keep their defaults.
            ((i < o.via.array.size ? (void)o.via.array.ptr[i].convert(field)
                                   : void(),
              ++i),
             ...);
          },
          turmeric::fields(m));
      return o;
    }
  };

  }  // namespace adaptor
}
}  // namespace msgpack

#endif  // TURMERIC_PROTOCOL_FIELDS_INTERNAL_H_
