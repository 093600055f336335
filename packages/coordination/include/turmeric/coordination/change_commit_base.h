/** @file change_commit_base.h Committing one change to the platform's log.
 *
 * A change is committed by creating the log object with the next number. If
 * the reply is lost, the object is read back and its change id compared. If
 * another operator has taken that number, the commit is retried with the next
 * one when the two changes set keys of different scopes, and fails with a
 * conflict otherwise.
 */
#ifndef TURMERIC_COORDINATION_CHANGE_COMMIT_BASE_H_
#define TURMERIC_COORDINATION_CHANGE_COMMIT_BASE_H_

#include <optional>
#include <string>

#include "turmeric/state/change_func.h"
#include "turmeric/state/platform_type.h"

namespace turmeric {

struct commit_options {
  /** Calls without a reply, in total, after which the commit fails. */
  int max_unanswered_calls = 8;
  time_us call_timeout = us_per_s;
  time_us backoff_min = 100 * us_per_ms;
  time_us backoff_max = 2 * us_per_s;
};

/** Next step of a commit. Exactly one of `call` and `outcome` is set. */
struct commit_step {
  std::optional<platform_call> call;
  time_us delay = 0;  ///< Wait before the call.
  /** End of the commit: the number of the committed change, or an error:
   * `conflict`, `format_too_new`, `platform_unavailable` (not committed),
   * `commit_unknown` (may have been committed) or `declaration_invalid` (the
   * log object is not a change). */
  std::optional<result<revision>> outcome;
};

/** State machine that commits one change. Does no I/O. */
class change_commit {
 public:
  /** @param base Revision that the change was planned on.
   * @param author Operator named in the log and in conflict errors.
   * @param entries Keys and values to set. */
  change_commit(commit_options options,
                revision base,
                std::string author,
                std::vector<config_entry> entries,
                random_source random);

  commit_step start();

  /** Handles the reply to the last call, or its timeout. */
  commit_step on_reply(const platform_reply& reply);

  /** @return The change, with the revision that it would get or has got. */
  const config_change& proposed_change() const { return change_; }

 private:
  commit_step create();
  commit_step read_back();
  commit_step on_unanswered(bool reading_back);
  commit_step on_created(const platform_reply& reply);
  commit_step on_read_back(const platform_reply& reply);

  commit_options options_;
  config_change change_;
  random_source random_;
  bool reading_back_ = false;
  bool may_be_committed_ = false;
  int unanswered_calls_ = 0;
};

/** @return The scope of @p key: the client account of a service, else the key
 * itself. Concurrent changes within one scope conflict. */
std::string scope_of(const std::string& key);

}  // namespace turmeric

#endif  // TURMERIC_COORDINATION_CHANGE_COMMIT_BASE_H_
