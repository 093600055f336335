/** @file emu_plan.h Runs that are generated from a seed. */
#ifndef TURMERIC_TESTS_EMULATOR_EMU_PLAN_H_
#define TURMERIC_TESTS_EMULATOR_EMU_PLAN_H_

#include "emu_types.h"

namespace turmeric::tests {

/** @return A run of up to @p max_disruptions disruptions at random times; the
 * same seed always gives the same run. */
emu_options random_run(uint64_t seed, size_t max_disruptions);

/** @return @p options with @p restores more times at which the store returns
 * from an older copy, drawn from the seed. */
emu_options with_restores(emu_options options, size_t restores);

/** @return @p options with @p streams long flows and a few of the disruptions
 * that must not be taken for the loss of a target, drawn from the seed. */
emu_options with_streams(emu_options options, size_t streams);

/** @return A fleet of 67 balancers with long flows, in which many balancers are
 * restarted one after the other, some are affected by @p disruption and some
 * targets are slow, drawn from the seed. */
emu_options large_fleet_run(uint64_t seed, emu_disruption disruption);

/** @return A run with @p disruption as its only disruption. */
emu_options single_disruption_run(uint64_t seed, emu_disruption disruption);

/** @return The invariant that @p fault violates. */
emu_invariant invariant_broken_by(emu_injected_fault fault);

/** @return A run with events that make @p fault violate its invariant. */
emu_options injected_fault_run(uint64_t seed, emu_injected_fault fault);

}  // namespace turmeric::tests

#endif  // TURMERIC_TESTS_EMULATOR_EMU_PLAN_H_
