/** @file routing_history.cpp Computes and applies routing patches. */
#include "turmeric/coordination/routing_history_base.h"

#include <algorithm>
#include <unordered_map>
#include <unordered_set>
#include <utility>

namespace turmeric {

std::optional<routing_patch> make_patch(const routing_entry& base,
                                        const routing_entry& next) {
  routing_patch patch;
  patch.base_version = base.version;
  patch.version = next.version;
  patch.services = next.services;
  patch.idle_timeout = next.idle_timeout;
  std::unordered_map<std::string, const route_entry*> base_routes;
  for (const auto& route : base.routes)
    base_routes[route.name] = &route;
  std::unordered_set<std::string> next_names;
  for (size_t i = 0; i < next.routes.size(); ++i) {
    const route_entry& route = next.routes[i];
    next_names.insert(route.name);
    const auto it = base_routes.find(route.name);
    if (it != base_routes.end() && *it->second == route)
      continue;
    patch.changed.push_back(route);
    patch.positions.push_back(static_cast<uint32_t>(i));
  }
  for (const auto& route : base.routes) {
    if (next_names.count(route.name) == 0)
      patch.removed.push_back(route.name);
  }
  const auto result = apply_patch(base, patch);
  if (!result.has_value() || *result != next)
    return std::nullopt;
  return patch;
}

std::optional<routing_entry> apply_patch(const routing_entry& base,
                                         const routing_patch& patch) {
  std::unordered_set<std::string> replaced(patch.removed.begin(),
                                           patch.removed.end());
  for (const auto& route : patch.changed)
    replaced.insert(route.name);
  std::vector<const route_entry*> kept;
  for (const auto& route : base.routes) {
    if (replaced.count(route.name) == 0)
      kept.push_back(&route);
  }
  if (patch.positions.size() != patch.changed.size())
    return std::nullopt;
  routing_entry out;
  out.version = patch.version;
  out.services = patch.services;
  out.idle_timeout = patch.idle_timeout;
  size_t next_kept = 0;
  for (size_t i = 0; i < patch.changed.size(); ++i) {
    while (out.routes.size() < patch.positions[i]) {
      if (next_kept == kept.size())
        return std::nullopt;
      out.routes.push_back(*kept[next_kept++]);
    }
    // Equal or decreasing positions.
    if (out.routes.size() != patch.positions[i])
      return std::nullopt;
    out.routes.push_back(patch.changed[i]);
  }
  for (; next_kept < kept.size(); ++next_kept)
    out.routes.push_back(*kept[next_kept]);
  return out;
}

void routing_history::add(const directory_summary& replica,
                          std::shared_ptr<const directory_value> value) {
  if (std::exchange(era_, replica.era) != replica.era)
    versions_.clear();
  for (auto& old : versions_) {
    old.compared = false;
    old.patch.reset();
  }
  versions_.push_back({replica.digest, std::move(value), false, std::nullopt});
  if (versions_.size() > capacity_)
    versions_.pop_front();
}

const routing_patch* routing_history::patch_from(uint64_t digest) {
  const auto base = std::find_if(
      versions_.begin(), versions_.end(),
      [digest](const version& old) { return old.digest == digest; });
  if (base == versions_.end())
    return nullptr;
  if (!std::exchange(base->compared, true)) {
    base->patch = make_patch(std::get<routing_entry>(*base->value),
                             std::get<routing_entry>(*versions_.back().value));
    if (base->patch.has_value()) {
      base->patch->base_digest = digest;
      base->patch->base_era = era_;
    }
  }
  return base->patch.has_value() ? &*base->patch : nullptr;
}

}  // namespace turmeric
