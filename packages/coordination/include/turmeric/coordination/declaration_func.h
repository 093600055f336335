/** @file declaration_func.h Operators' declarations and their rendering.
 *
 * Templates and client accounts are INI files that operators can keep under
 * version control. The result of rendering depends on these files only.
 */
#ifndef TURMERIC_COORDINATION_DECLARATION_FUNC_H_
#define TURMERIC_COORDINATION_DECLARATION_FUNC_H_

#include <map>
#include <string>
#include <vector>

#include "turmeric/state/config_state_base.h"
#include "turmeric/state/service_type.h"

namespace turmeric {

/** A service section of a template. */
struct service_template {
  std::string name;
  uint32_t slots = 2;
  service_objective objective;
};

/** A parsed template file. */
struct template_declaration {
  std::string name;
  std::map<std::string, service_template> services;
};

/** A target line of a client account. */
struct target_declaration {
  std::string service;
  std::string name;
  std::string zone;
  endpoint address;
  int line = 0;
};

/** A parsed client account file. */
struct account_declaration {
  std::string file;
  std::string name;
  std::string template_name;
  int template_line = 0;
  std::vector<std::string> zones;
  uint32_t capacity = 0;  ///< Slots of each target; 0: as in the template.
  std::vector<target_declaration> targets;
};

/** Parses a template; @p origin is its file name in errors.
 * @return The template, or `declaration_invalid` with file and line. */
result<template_declaration> parse_template(const std::string& text,
                                            const std::string& origin);

/** Parses a client account; parameters and errors as of parse_template(). */
result<account_declaration> parse_account(const std::string& text,
                                          const std::string& origin);

/** Fills in an account's services and targets from its template.
 * @return The services, or `template_missing` or `declaration_invalid` with
 * file and line. */
result<std::vector<service_config>> render(
    const std::map<std::string, template_declaration>& templates,
    const account_declaration& account);

/** One change of a plan, as printed for operators. */
struct plan_line {
  char sign = '~';  ///< '+' new, '-' removed, '~' changed.
  std::string key;
  std::string detail;
};

/** The changes that `apply` would commit. */
struct change_plan {
  revision base = 0;  ///< Revision of the state that was compared.
  std::vector<config_entry> entries;
  std::vector<plan_line> lines;
};

/** Plans the changes from the state to the rendered services of one account.
 * @return `declaration_invalid` if the plan would remove a target that is
 * neither drained nor in a withdrawn zone, since that would break its flows;
 * `change_too_large` if a service exceeds max_entry_bytes. */
result<change_plan> plan_account(const config_state& state,
                                 const std::string& account,
                                 const std::vector<service_config>& services);

/** Plans a change of one flag, such as a withdrawn zone.
 * @param set True to set the flag, false to clear it.
 * @return The plan; empty if the flag is already in that state. */
change_plan plan_flag(const config_state& state,
                      const std::string& key,
                      bool set);

/** Largest value of one entry, in bytes; such an entry fits a datagram. */
constexpr size_t max_entry_bytes = 32 * 1024;

}  // namespace turmeric

#endif  // TURMERIC_COORDINATION_DECLARATION_FUNC_H_
