/** @file change_commit_base.h Committing one change to the platform's log.
 *
 * Creating the log object of the next number is the commit. A lost answer is
 * settled by reading the object back and comparing the change id. A change
 * that another operator committed first either commutes, if it touches other
 * scopes, or ends this one with a conflict.
 */
#ifndef TURMERIC_COORDINATION_CHANGE_COMMIT_BASE_H_
#define TURMERIC_COORDINATION_CHANGE_COMMIT_BASE_H_

#include <optional>
#include <string>

#include "turmeric/state/change_func.h"
#include "turmeric/state/platform_type.h"

namespace turmeric {

/** Retry policy of a commit. */
struct commit_options {
  int max_failures = 8;  ///< Unanswered calls before giving up.
  time_us call_timeout = us_per_s;
  time_us backoff_min = 100 * us_per_ms;
  time_us backoff_max = 2 * us_per_s;
};

/** What to do next. Exactly one of `call` and `done` is set. */
struct commit_step {
  std::optional<platform_call> call;
  time_us delay = 0;  ///< Wait before the call.
  std::optional<result<revision>> outcome;
};

/** The state machine of one commit. */
class change_commit {
 public:
  /** @param base Revision that the change was planned on.
   * @param entries Keys and values to set. */
  change_commit(commit_options options,
                revision base,
                std::string author,
                std::vector<config_entry> entries,
                random_source random);

  /** @return The first call. */
  commit_step start();

  /** Handles the end of the last call. */
  commit_step on_reply(const platform_reply& reply);

  /** @return The change as it will stand, or stands, in the log. */
  const change& planned() const { return change_; }

 private:
  commit_step create();
  commit_step read_back();
  commit_step failed(bool reading);
  commit_step on_created(const platform_reply& reply);
  commit_step on_read(const platform_reply& reply);

  commit_options options_;
  change change_;
  random_source random_;
  bool reading_ = false;
  bool maybe_committed_ = false;
  int failures_ = 0;
};

/** @return The scope of a key; changes of one scope never commute. */
std::string scope_of(const std::string& key);

}  // namespace turmeric

#endif  // TURMERIC_COORDINATION_CHANGE_COMMIT_BASE_H_
