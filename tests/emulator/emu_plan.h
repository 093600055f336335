/** @file emu_plan.h Runs that are generated from a seed. */
#ifndef TURMERIC_TESTS_EMULATOR_EMU_PLAN_H_
#define TURMERIC_TESTS_EMULATOR_EMU_PLAN_H_

#include "emu_types.h"

namespace turmeric::tests {

/** @return A run of up to @p troubles disruptions at random times; the same
 * seed always gives the same run. */
emu_options random_run(uint64_t seed, size_t troubles);

/** @return A run with @p trouble as its only disruption. */
emu_options single_disruption_run(uint64_t seed, emu_disruption trouble);

/** @return The rule that @p plant breaks. */
emu_invariant invariant_broken_by(emu_injected_fault plant);

/** @return A run in which the rule of @p plant is tried. */
emu_options injected_fault_run(uint64_t seed, emu_injected_fault plant);

}  // namespace turmeric::tests

#endif  // TURMERIC_TESTS_EMULATOR_EMU_PLAN_H_
