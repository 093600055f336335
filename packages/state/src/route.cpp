/** @file route.cpp Building and reading of routing snapshots. */
#include <string_view>

#include "turmeric/state/config_key_func.h"
#include "turmeric/state/route_base.h"

namespace turmeric {

const target_place* service_index::find(service_id service,
                                        target_id id) const {
  const auto it = targets.find(id);
  if (it == targets.end() || it->second.service->id != service)
    return nullptr;
  return &it->second;
}

bool service_index::reachable(const target_config& target) const {
  return zones_out.count(target.zone) == 0;
}

bool service_index::takes_new_flows(const target_config& target) const {
  return reachable(target) && draining.count(target.id) == 0;
}

void index_builder::add_service(const config_entry& entry,
                                service_index* index) {
  auto& cached = cache_[entry.key];
  if (!cached.service || cached.changed != entry.changed) {
    auto parsed = service_from_json(entry.value);
    if (!parsed)
      return;
    cached.changed = entry.changed;
    cached.service =
        std::make_shared<const service_config>(std::move(parsed.value()));
  }
  index->services[cached.service->id] = cached.service;
  for (const auto& target : cached.service->targets)
    index->targets[target.id] = target_place{cached.service, &target};
}

std::shared_ptr<const service_index> index_builder::build(
    const config_state& state) {
  auto index = std::make_shared<service_index>();
  index->in_force = state.current();
  for (const auto& [key, entry] : state.entries()) {
    if (entry.value.empty())
      continue;
    const config_key parsed = parse_key(key);
    switch (parsed.kind) {
      case key_kind::service:
        add_service(entry, index.get());
        break;
      case key_kind::zone_out:
        index->zones_out.insert(id_of<zone_id>(parsed.name));
        break;
      case key_kind::target_drain:
        index->draining.insert(id_of<target_id>(parsed.name));
        break;
      case key_kind::instance_drain:
        index->leaving.insert(id_of<member_id>(parsed.name));
        break;
      case key_kind::end:
        break;
    }
  }
  return index;
}

member_id route_table::home_of(const target_config& target) const {
  member_id best;
  uint64_t best_score = 0;
  for (const auto& member : members) {
    const bool usable = member.state == member_state::live ||
                        member.state == member_state::suspect;
    if (member.zone != target.zone || !usable)
      continue;
    const uint64_t score = hash_pair(target.id.value, member.id.value);
    if (!best.valid() || score > best_score) {
      best = member.id;
      best_score = score;
    }
  }
  return best;
}

const member_record* route_table::find_member(member_id id) const {
  for (const auto& member : members) {
    if (member.id == id)
      return &member;
  }
  return nullptr;
}

const member_record* route_table::contact_in(zone_id zone,
                                             uint64_t key) const {
  const member_record* best = nullptr;
  uint64_t best_score = 0;
  for (const auto& member : members) {
    if (member.zone != zone || member.state == member_state::dead)
      continue;
    const uint64_t score = hash_pair(key, member.id.value);
    if (best == nullptr || score > best_score) {
      best = &member;
      best_score = score;
    }
  }
  return best;
}

const target_config* choose_target(const service_index& index,
                                   const service_config& service,
                                   flow_id flow) {
  const target_config* best = nullptr;
  uint64_t best_score = 0;
  for (const auto& target : service.targets) {
    if (!index.takes_new_flows(target))
      continue;
    const uint64_t score = hash_pair(flow.value, target.id.value);
    if (best == nullptr || score > best_score) {
      best = &target;
      best_score = score;
    }
  }
  return best;
}

}  // namespace turmeric
