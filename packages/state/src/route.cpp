/** @file route.cpp Construction of and look-ups in routing snapshots. */
#include <algorithm>
#include <string_view>

#include "turmeric/state/config_key_func.h"
#include "turmeric/state/route_base.h"

namespace turmeric {
namespace {

/** Buckets of each service. The number is fixed, so that a flow stays in its
 * bucket when targets are added or removed. */
constexpr size_t bucket_count = 512;

}  // namespace

const indexed_target* service_index::find(service_id service,
                                          target_id id) const {
  const auto it = targets.find(id);
  if (it == targets.end() || it->second.service->id != service)
    return nullptr;
  return &it->second;
}

bool service_index::accepts_traffic(const target_config& target) const {
  return withdrawn_zones.count(target.zone) == 0;
}

bool service_index::accepts_new_flows(const target_config& target) const {
  return accepts_traffic(target) && draining.count(target.id) == 0;
}

void index_builder::add_service(const config_entry& entry,
                                service_index* index) {
  auto& cached = cache_[entry.key];
  if (!cached.service || cached.changed != entry.changed_revision) {
    auto parsed = service_from_json(entry.value);
    if (!parsed)
      return;
    cached.changed = entry.changed_revision;
    cached.service =
        std::make_shared<const service_config>(std::move(parsed.value()));
    cached.buckets.reset();
  }
  index->services[cached.service->id] = cached.service;
  for (const auto& target : cached.service->targets)
    index->targets[target.id] = indexed_target{cached.service, &target};
}

void index_builder::add_buckets(service_index* index) {
  for (auto& [key, cached] : cache_) {
    if (!cached.service || index->services.count(cached.service->id) == 0)
      continue;
    std::vector<const target_config*> eligible;
    for (const auto& target : cached.service->targets) {
      if (index->accepts_new_flows(target))
        eligible.push_back(&target);
    }
    if (!cached.buckets || cached.eligible != eligible) {
      cached.buckets = std::make_shared<const bucket_table>(
          make_buckets(*cached.service, eligible));
      cached.eligible = std::move(eligible);
    }
    index->buckets[cached.service->id] = cached.buckets;
  }
}

std::shared_ptr<const service_index> index_builder::build(
    const config_state& state) {
  auto index = std::make_shared<service_index>();
  index->in_force = state.current_revision();
  for (const auto& [key, entry] : state.entries()) {
    const config_key parsed = parse_key(key);
    if (parsed.kind == key_kind::zone_out)
      index->zone_changed[id_of<zone_id>(parsed.name)] = entry.changed_revision;
    if (parsed.kind == key_kind::target_drain)
      index->drain_changed[id_of<target_id>(parsed.name)] =
          entry.changed_revision;
    if (entry.value.empty())
      continue;
    switch (parsed.kind) {
      case key_kind::service:
        add_service(entry, index.get());
        break;
      case key_kind::zone_out:
        index->withdrawn_zones.insert(id_of<zone_id>(parsed.name));
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
  add_buckets(index.get());
  return index;
}

bucket_table make_buckets(const service_config& service,
                          const std::vector<const target_config*>& eligible) {
  bucket_table table;
  table.targets.resize(bucket_count);
  if (eligible.empty())
    return table;
  const size_t max_per_target =
      (bucket_count + eligible.size() - 1) / eligible.size();
  std::vector<size_t> assigned(eligible.size(), 0);
  for (size_t bucket = 0; bucket < bucket_count; ++bucket) {
    const uint64_t seed = hash_pair(service.id.value, bucket);
    size_t best = eligible.size();
    uint64_t best_score = 0;
    for (size_t i = 0; i < eligible.size(); ++i) {
      const uint64_t score = hash_pair(seed, eligible[i]->id.value);
      const bool better = best == eligible.size() || score > best_score;
      if (assigned[i] < max_per_target && better) {
        best = i;
        best_score = score;
      }
    }
    table.targets[bucket] = eligible[best]->id;
    ++assigned[best];
  }
  return table;
}

const member_record* route_table::owner_in_zone(uint64_t key,
                                                size_t rank) const {
  const member_record* best = nullptr;
  uint64_t previous_score = 0;
  for (size_t i = 0; i <= rank; ++i) {
    const member_record* next = nullptr;
    uint64_t next_score = 0;
    for (const auto& member : members) {
      const bool usable = member.zone == self.zone && is_usable(member);
      const uint64_t score = hash_pair(key, member.id.value);
      const bool ranks_below = i == 0 || score < previous_score;
      if (usable && ranks_below && (next == nullptr || score > next_score)) {
        next = &member;
        next_score = score;
      }
    }
    if (next == nullptr)
      return nullptr;
    best = next;
    previous_score = next_score;
  }
  return best;
}

member_id route_table::home_of(const target_config& target) const {
  member_id best;
  uint64_t best_score = 0;
  for (const auto& member : members) {
    if (member.zone != target.zone || !is_usable(member))
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

namespace {

/** @return The member with the highest rendezvous hashing score for @p key of
 * those that @p accepts selects, or null. */
template <typename Filter>
const member_record* best_member(const std::vector<member_record>& members,
                                 uint64_t key,
                                 const Filter& accepts) {
  const member_record* best = nullptr;
  uint64_t best_score = 0;
  for (const auto& member : members) {
    if (!accepts(member))
      continue;
    const uint64_t score = hash_pair(key, member.id.value);
    if (best == nullptr || score > best_score) {
      best = &member;
      best_score = score;
    }
  }
  return best;
}

}  // namespace

const member_record* route_table::member_in_zone(zone_id zone,
                                                 uint64_t key) const {
  const member_record* usable = usable_member_in_zone(zone, key);
  if (usable != nullptr)
    return usable;
  return best_member(members, key, [&](const member_record& m) {
    return m.zone == zone && m.state != member_state::dead;
  });
}

const member_record* route_table::any_peer(uint64_t key) const {
  return best_member(members, key, [&](const member_record& m) {
    return m.id != self.id && is_usable(m);
  });
}

const member_record* route_table::usable_member_in_zone(zone_id zone,
                                                        uint64_t key) const {
  return best_member(members, key, [&](const member_record& m) {
    return m.zone == zone && is_usable(m);
  });
}

std::vector<zone_id> route_table::zones_ranked_by(uint64_t key) const {
  std::vector<std::pair<uint64_t, zone_id>> scored;
  for (const auto& member : members) {
    if (!is_usable(member))
      continue;
    const std::pair entry(hash_pair(key, member.zone.value), member.zone);
    if (std::find(scored.begin(), scored.end(), entry) == scored.end())
      scored.push_back(entry);
  }
  std::sort(scored.begin(), scored.end(),
            [](const auto& a, const auto& b) { return a.first > b.first; });
  std::vector<zone_id> zones;
  for (const auto& [score, zone] : scored)
    zones.push_back(zone);
  return zones;
}

const target_config* choose_target(
    const service_config& service,
    flow_id flow,
    const std::function<bool(const target_config&)>& eligible) {
  const target_config* best = nullptr;
  uint64_t best_score = 0;
  for (const auto& target : service.targets) {
    if (!eligible(target))
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
