/** @file emu_recovery.h How fast service comes back after a trouble. */
#ifndef TURMERIC_TESTS_EMULATOR_EMU_RECOVERY_H_
#define TURMERIC_TESTS_EMULATOR_EMU_RECOVERY_H_

#include "emu_types.h"

namespace turmeric::tests {

/** What callers saw of one trouble. */
struct emu_recovery {
  /** Least share of the requests of half a second that were served in time,
   * from the trouble's begin until it was over and made good. */
  double min_share = 1.0;
  /** Time from the trouble's end until nine tenths of the earlier share were
   * served in time again, for half a second; -1 if that never came. */
  time_us recovery_time = 0;
};

/** Works it out from the tenths of a run with one trouble. */
emu_recovery recovery_of(const emu_report& report, const emu_event& event);

/** Plays each trouble alone and prints a Markdown table.
 * @param runs Seeds for each trouble.
 * @return Whether service came back within two seconds each time. */
bool print_recoveries(uint64_t seed, uint64_t runs);

}  // namespace turmeric::tests

#endif  // TURMERIC_TESTS_EMULATOR_EMU_RECOVERY_H_
