/** @file operator_io_func.h Blocking access of the operators' command to the
 * platform: reading the state, committing changes, writing snapshots. */
#ifndef TURMERIC_COORDINATION_OPERATOR_IO_FUNC_H_
#define TURMERIC_COORDINATION_OPERATOR_IO_FUNC_H_

#include <functional>
#include <string>

#include "turmeric/coordination/change_commit_base.h"

namespace turmeric {

/** Callbacks for I/O, time and random numbers. */
struct operator_hooks {
  /** Makes a platform call and waits for its end. */
  std::function<platform_reply(const platform_call&)> call;
  std::function<void(time_us)> sleep;  ///< Waits between retries.
  random_source random;                ///< For change ids and jitter.
};

/** Reads the last snapshot and the changes after it.
 * @return The newest state, or an error: `platform_unavailable`,
 * `format_too_new`, `declaration_invalid` for a malformed object, or `conflict`
 * for a gap in the log. */
result<config_state> read_state(const operator_hooks& hooks);

/** Commits a change that was planned on revision @p base.
 * @return Its number; for the errors see commit_step::outcome. */
result<revision> commit(const operator_hooks& hooks,
                        revision base,
                        const std::string& author,
                        std::vector<config_entry> entries);

/** Number of changes after which an operator writes a new snapshot. */
constexpr revision changes_per_snapshot = 64;

/** Writes a snapshot unless the platform has one of the same or a newer
 * revision. The index is written last, so that readers never see an incomplete
 * snapshot. */
result<void> write_snapshot(const operator_hooks& hooks,
                            const config_state& state);

}  // namespace turmeric

#endif  // TURMERIC_COORDINATION_OPERATOR_IO_FUNC_H_
