/** @file operator_io_func.h Straight-line work of the operators' command on
 * the platform: reading the state, committing, writing snapshots. */
#ifndef TURMERIC_COORDINATION_OPERATOR_IO_FUNC_H_
#define TURMERIC_COORDINATION_OPERATOR_IO_FUNC_H_

#include <functional>
#include <string>

#include "turmeric/coordination/change_commit_base.h"

namespace turmeric {

/** Access to the outside. */
struct operator_hooks {
  std::function<platform_reply(const platform_call&)> call;
  std::function<void(time_us)> sleep;
  random_source random;
};

/** Reads the newest state: the last snapshot and the changes after it.
 * @return `platform_unavailable` or `format_too_new`. */
result<config_state> read_state(const operator_hooks& hooks);

/** Commits a change; see change_commit for the errors. */
result<revision> commit(const operator_hooks& hooks,
                        revision base,
                        const std::string& author,
                        std::vector<config_entry> entries);

/** Changes between two snapshots. */
constexpr revision changes_per_snapshot = 64;

/** Writes a snapshot unless a newer one is there. Parts go first, the index
 * last, so that readers never see half of one. */
result<void> write_snapshot(const operator_hooks& hooks,
                            const config_state& state);

}  // namespace turmeric

#endif  // TURMERIC_COORDINATION_OPERATOR_IO_FUNC_H_
