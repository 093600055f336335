/** @file config_state_base.h The configuration at one revision. */
#ifndef TURMERIC_STATE_CONFIG_STATE_BASE_H_
#define TURMERIC_STATE_CONFIG_STATE_BASE_H_

#include "turmeric/state/config_type.h"
#include "turmeric/state/error_type.h"

namespace turmeric {

/** Newest value of every key, as of a revision that only grows. */
class config_state {
 public:
  /** @return The revision of the last change applied. */
  revision current_revision() const { return revision_; }

  /** @return All entries, tombstones included, by key. */
  const std::map<std::string, config_entry>& entries() const {
    return entries_;
  }

  /** @return The newest format among the changes applied. */
  uint32_t format() const { return format_; }

  /** Tests whether @p c can follow the current revision.
   * @return `conflict` for a gap, `format_too_new` for an unknown format. */
  result<void> check_applicable(const config_change& c) const;

  /** Applies the next change.
   * @pre test(c) has a value. */
  void apply(const config_change& c);

  /** Applies all entries between two revisions at once; an older or equal
   * delta changes nothing.
   * @return `conflict` if the delta starts after the current revision. */
  result<void> apply(const config_delta& delta);

  /** @return What changed after @p from, up to the current revision. */
  config_delta delta_since(revision from) const;

  /** @return The value of @p key, or an empty string. */
  std::string value_of(const std::string& key) const;

 private:
  revision revision_ = 0;
  uint32_t format_ = 1;
  std::map<std::string, config_entry> entries_;
};

}  // namespace turmeric

#endif  // TURMERIC_STATE_CONFIG_STATE_BASE_H_
