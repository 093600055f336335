/** @file plan.cpp Rendering of accounts and comparison with the state. */
#include <fmt/format.h>

#include <algorithm>
#include <set>

#include "turmeric/coordination/declaration_func.h"
#include "turmeric/state/config_key_func.h"

namespace turmeric {
namespace {

error error_at_line(const account_declaration& account,
                    int line,
                    std::string message) {
  return {result_code::declaration_invalid, std::move(message), account.file,
          line};
}

std::string summary(const service_config& service) {
  return fmt::format("{} targets, {} slots each", service.targets.size(),
                     service.slots);
}

/** Adds a change of @p key to @p value to the plan; "" removes the entry. */
void add_entry(change_plan* plan,
               char sign,
               std::string key,
               std::string value,
               std::string detail) {
  plan->lines.push_back({sign, key, std::move(detail)});
  plan->entries.push_back({std::move(key), std::move(value), 0});
}

/** Refuses to remove targets that may still have flows: those that are neither
 * drained nor in a withdrawn zone. Plans the removal of the drain flags of the
 * removed targets. */
result<void> check_removed_targets(const config_state& state,
                                   const std::string& old_value,
                                   const service_config* after,
                                   change_plan* plan) {
  auto before = service_from_json(old_value);
  if (!before)
    return boost::outcome_v2::success();
  std::set<target_id> kept;
  if (after != nullptr) {
    for (const auto& target : after->targets)
      kept.insert(target.id);
  }
  for (const auto& target : before.value().targets) {
    if (kept.count(target.id) > 0)
      continue;
    const std::string drain = make_key(key_kind::target_drain, target.name);
    const std::string zone = make_key(key_kind::zone_out, target.zone_name);
    const bool drained = !state.value_of(drain).empty();
    if (!drained && state.value_of(zone).empty()) {
      return fail(result_code::declaration_invalid,
                  fmt::format("target {} is not drained; drain it before "
                              "removing it",
                              target.name));
    }
    if (drained)
      add_entry(plan, '-', drain, "", "target removed");
  }
  return boost::outcome_v2::success();
}

}  // namespace

result<std::vector<service_config>> render(
    const std::map<std::string, template_declaration>& templates,
    const account_declaration& account) {
  const auto found = templates.find(account.template_name);
  if (found == templates.end()) {
    return fail(result_code::template_missing,
                fmt::format("unknown template '{}'", account.template_name),
                account.file, account.template_line);
  }
  std::map<std::string, service_config> services;
  std::set<std::string> names;
  for (const auto& target : account.targets) {
    const auto template_service = found->second.services.find(target.service);
    if (template_service == found->second.services.end()) {
      return boost::outcome_v2::failure(
          error_at_line(account, target.line,
                        fmt::format("template '{}' has no service '{}'",
                                    account.template_name, target.service)));
    }
    const bool zone_allowed =
        std::find(account.zones.begin(), account.zones.end(), target.zone) !=
        account.zones.end();
    if (!zone_allowed) {
      return boost::outcome_v2::failure(error_at_line(
          account, target.line,
          fmt::format("availability zone '{}' is not in account.zones",
                      target.zone)));
    }
    service_config& service = services[target.service];
    service.account = account.name;
    service.name = target.service;
    service.id = id_of<service_id>(full_name(service));
    service.slots = account.capacity > 0 ? account.capacity
                                         : template_service->second.slots;
    service.objective = template_service->second.objective;
    target_config config;
    config.name = full_name(service) + "/" + target.name;
    config.id = id_of<target_id>(config.name);
    config.zone_name = target.zone;
    config.zone = id_of<zone_id>(target.zone);
    config.address = target.address;
    if (!names.insert(config.name).second) {
      return boost::outcome_v2::failure(error_at_line(
          account, target.line,
          fmt::format("target '{}' is declared twice", target.name)));
    }
    service.targets.push_back(std::move(config));
  }
  std::vector<service_config> out;
  for (auto& [name, service] : services)
    out.push_back(std::move(service));
  return out;
}

result<change_plan> plan_account(const config_state& state,
                                 const std::string& account,
                                 const std::vector<service_config>& services) {
  change_plan plan;
  plan.base = state.current_revision();
  std::set<std::string> kept;
  for (const auto& service : services) {
    const std::string key = make_key(key_kind::service, full_name(service));
    const std::string value = to_json(service);
    const std::string before = state.value_of(key);
    kept.insert(key);
    if (value.size() > max_entry_bytes) {
      return fail(
          result_code::change_too_large,
          fmt::format("service {} takes {} bytes, the limit is {} bytes",
                      full_name(service), value.size(), max_entry_bytes));
    }
    auto checked = check_removed_targets(state, before, &service, &plan);
    if (!checked)
      return boost::outcome_v2::failure(checked.error());
    if (before != value)
      add_entry(&plan, before.empty() ? '+' : '~', key, value,
                summary(service));
  }
  const std::string prefix = make_key(key_kind::service, account + "/");
  for (const auto& [key, entry] : state.entries()) {
    const bool in_account = key.rfind(prefix, 0) == 0 && !entry.value.empty();
    if (!in_account || kept.count(key) > 0)
      continue;
    auto checked = check_removed_targets(state, entry.value, nullptr, &plan);
    if (!checked)
      return boost::outcome_v2::failure(checked.error());
    add_entry(&plan, '-', key, "", "service removed");
  }
  return plan;
}

change_plan plan_flag(const config_state& state,
                      const std::string& key,
                      bool set) {
  change_plan plan;
  plan.base = state.current_revision();
  const bool is_set = !state.value_of(key).empty();
  if (is_set == set)
    return plan;
  add_entry(&plan, set ? '+' : '-', key, set ? "1" : "",
            set ? "set" : "cleared");
  return plan;
}

}  // namespace turmeric
