/** @file emu_types.cpp Name tables of the emulator. */
#include "emu_types.h"

namespace turmeric::tests {
namespace {

constexpr std::array<std::string_view, static_cast<size_t>(emu_invariant::end)>
    rule_names = {"service-isolation", "open-flow",  "draining",   "withdrawal",
                  "configuration",     "no-regress", "cold-start", "service"};
constexpr std::array<std::string_view, static_cast<size_t>(emu_disruption::end)>
    trouble_names = {
        "balancer-kill", "balancer-stop",  "balancer-freeze", "balancer-cut",
        "kill-all",      "zone-cut",       "zone-pair-cut",   "store-down",
        "store-silent",  "store-refuses",  "store-forgets",   "target-crash",
        "target-reset",  "target-restart", "target-replace",  "target-drain",
        "withdraw",      "configure",      "overwrite",       "store-restore",
        "lossy-link",    "lossy-zone",     "target-slow",     "balancer-slow",
        "target-silent"};
constexpr std::array<std::string_view,
                     static_cast<size_t>(emu_injected_fault::end)>
    plant_names = {"none",
                   "ignore-draining",
                   "ignore-withdrawals",
                   "ignore-configuration",
                   "cold-as-warm",
                   "guess-tokens",
                   "reset-open-flows",
                   "wrong-service",
                   "old-configuration",
                   "ignore-era",
                   "reset-stalled-flows"};

}  // namespace

std::string_view name_of(emu_invariant invariant) {
  return rule_names[static_cast<size_t>(invariant)];
}

std::string_view name_of(emu_disruption disruption) {
  return trouble_names[static_cast<size_t>(disruption)];
}

std::string_view name_of(emu_injected_fault fault) {
  return plant_names[static_cast<size_t>(fault)];
}

}  // namespace turmeric::tests
