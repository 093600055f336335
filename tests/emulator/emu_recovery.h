/** @file emu_recovery.h Time to recover service after a disruption. */
#ifndef TURMERIC_TESTS_EMULATOR_EMU_RECOVERY_H_
#define TURMERIC_TESTS_EMULATOR_EMU_RECOVERY_H_

#include "emu_types.h"

namespace turmeric::tests {

/** Effect of one disruption on callers. */
struct emu_recovery {
  /** Least share of the requests of half a second that were served in time,
   * from the disruption's start until service had recovered. */
  double min_share = 1.0;
  /** Time from the disruption's end until nine tenths of the earlier share were
   * served in time again, for half a second; -1 if that never came. */
  time_us recovery_time = 0;
};

/** Computes the recovery from a run with one disruption. */
emu_recovery recovery_of(const emu_report& report, const emu_event& event);

/** Runs each disruption alone and prints a Markdown table.
 * @param runs Number of seeds for each disruption.
 * @param overload_control See emu_options.
 * @return Whether service recovered within two seconds each time. */
bool print_recoveries(uint64_t seed, uint64_t runs, bool overload_control);

}  // namespace turmeric::tests

#endif  // TURMERIC_TESTS_EMULATOR_EMU_RECOVERY_H_
