/** @file forwarding_table.cpp Builds the forwarding snapshot. */
#include "turmeric/coordination/forwarding_table_base.h"

#include <algorithm>

namespace turmeric {

flow_token token_of(const std::string& name) {
  const uint64_t hash = hash_name(name);
  const auto token = static_cast<flow_token>(hash ^ (hash >> 32));
  return token == 0 ? 1 : token;  // 0 means no target.
}

forwarding_table::forwarding_table(const table_input& input)
    : revisions_(input.revisions) {
  for (const auto& source : input.targets)
    add_target(source, input.withdrawn_zones);
  if (input.routing != nullptr)
    add_routing(std::get<routing_entry>(*input.routing));
  index_eligible();
}

void forwarding_table::add_target(const target_input& source,
                                  const std::set<std::string>& withdrawn) {
  forwarding_target candidate;
  candidate.entry = source.entry;
  candidate.token = token_of(source.entry.name);
  const bool ineligible =
      source.entry.draining || withdrawn.count(source.entry.zone) != 0;
  candidate.eligible_until = ineligible ? 0 : source.eligible_until;
  const auto [it, added] = targets_.try_emplace(candidate.token, candidate);
  if (added) {
    registered_[candidate.token] = source.registered;
    return;
  }
  // Two names share a token, so their packets could not be distinguished. Only
  // one of the targets is kept. A registered target is preferred, then an older
  // one, so that the result does not depend on the order of the input.
  const auto rank = [](bool registered, const target_entry& e) {
    return std::make_tuple(!registered, e.created, std::cref(e.name));
  };
  if (rank(source.registered, source.entry) <
      rank(registered_[candidate.token], it->second.entry)) {
    it->second = candidate;
    registered_[candidate.token] = source.registered;
  }
}

void forwarding_table::add_routing(const routing_entry& routing) {
  routing_version_ = routing.version;
  idle_timeout_ = routing.idle_timeout;
  for (const auto& route : routing.routes) {
    routes_[route.address] = route;
    for (const auto& weighted : route.services) {
      const auto [it, added] =
          priorities_.try_emplace(weighted.service, route.priority);
      it->second = std::min(it->second, route.priority);
    }
  }
  std::unordered_map<std::string, double> cold_rates;
  for (const auto& service : routing.services)
    cold_rates[service.name] = service.cold_per_s;
  for (auto& [token, target] : targets_) {
    const auto it = cold_rates.find(target.entry.service);
    if (it != cold_rates.end())
      target.cold_per_s = it->second;
  }
}

void forwarding_table::index_eligible() {
  for (const auto& [token, target] : targets_) {
    if (target.eligible_until != 0)
      eligible_[target.entry.service].push_back(&target);
  }
  for (auto& [service, targets] : eligible_) {
    std::sort(targets.begin(), targets.end(),
              [](const auto* a, const auto* b) { return a->token < b->token; });
  }
}

const forwarding_target* forwarding_table::target_of(flow_token token) const {
  const auto it = targets_.find(token);
  return it == targets_.end() ? nullptr : &it->second;
}

const route_entry* forwarding_table::route_at(const endpoint& address) const {
  const auto it = routes_.find(address);
  return it == routes_.end() ? nullptr : &it->second;
}

uint32_t forwarding_table::highest_priority(const std::string& service) const {
  const auto it = priorities_.find(service);
  return it == priorities_.end() ? UINT32_MAX : it->second;
}

const std::vector<const forwarding_target*>& forwarding_table::eligible_targets(
    const std::string& service) const {
  static const std::vector<const forwarding_target*> none;
  const auto it = eligible_.find(service);
  return it == eligible_.end() ? none : it->second;
}

}  // namespace turmeric
