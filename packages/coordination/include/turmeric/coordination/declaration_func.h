/** @file declaration_func.h Operators' declarations and their rendering.
 *
 * Templates and client accounts are INI files fit for version control.
 * Rendering is a pure function of the files.
 */
#ifndef TURMERIC_COORDINATION_DECLARATION_FUNC_H_
#define TURMERIC_COORDINATION_DECLARATION_FUNC_H_

#include <map>
#include <string>
#include <vector>

#include "turmeric/state/config_state_base.h"
#include "turmeric/state/service_type.h"

namespace turmeric {

/** A service as a template describes it. */
struct service_template {
  std::string name;
  uint32_t slots = 2;
  service_objective objective;
};

/** A template file. */
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

/** A client account file. */
struct account_declaration {
  std::string file;
  std::string name;
  std::string template_name;
  int template_line = 0;
  std::vector<std::string> zones;
  uint32_t capacity = 0;  ///< Slots of every target; 0 for the template's.
  std::vector<target_declaration> targets;
};

/** Parses a template; @p origin names it in errors.
 * @return `declaration_invalid` with file and line. */
result<template_declaration> parse_template(const std::string& text,
                                            const std::string& origin);

/** Parses a client account; as parse_template(). */
result<account_declaration> parse_account(const std::string& text,
                                          const std::string& origin);

/** Renders an account by its template.
 * @return The services, or `template_missing` or `declaration_invalid` with
 * file and line. */
result<std::vector<service_config>> render(
    const std::map<std::string, template_declaration>& templates,
    const account_declaration& account);

/** One planned step, for people to read. */
struct plan_line {
  char sign = '~';  ///< '+' new, '-' removed, '~' changed.
  std::string key;
  std::string detail;
};

/** What `apply` would commit. */
struct change_plan {
  revision base = 0;
  std::vector<config_entry> entries;
  std::vector<plan_line> lines;
};

/** Compares rendered services of one account with the state.
 * @return `declaration_invalid` if a target would vanish that is not drained,
 * since that would break its flows. */
result<change_plan> plan_account(const config_state& state,
                                 const std::string& account,
                                 const std::vector<service_config>& services);

/** Plans one flag, such as a withdrawn zone.
 * @param set Whether the flag is set or cleared. */
change_plan plan_flag(const config_state& state,
                      const std::string& key,
                      bool set);

/** Largest value of one entry, in bytes, so that it fits a datagram. */
constexpr size_t max_entry_bytes = 32 * 1024;

}  // namespace turmeric

#endif  // TURMERIC_COORDINATION_DECLARATION_FUNC_H_
