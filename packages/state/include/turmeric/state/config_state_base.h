/** @file config_state_base.h The configuration at one revision. */
#ifndef TURMERIC_STATE_CONFIG_STATE_BASE_H_
#define TURMERIC_STATE_CONFIG_STATE_BASE_H_

#include "turmeric/state/config_type.h"
#include "turmeric/state/error_type.h"

namespace turmeric {

/** Newest value of every key at the current revision, which never decreases. */
class config_state {
 public:
  /** @return The revision of the last applied change; 0 before the first. */
  revision current_revision() const { return revision_; }

  /** @return All entries by key, including tombstones. */
  const std::map<std::string, config_entry>& entries() const {
    return entries_;
  }

  /** @return The newest format of the applied changes. */
  uint32_t format() const { return format_; }

  /** Checks whether @p c can be applied next.
   * @return `conflict` if @p c is not numbered one above the current revision,
   * `format_too_new` if its format is newer than `config_format`. */
  result<void> check_applicable(const config_change& c) const;

  /** Applies the next change.
   * @pre check_applicable(c) has a value. */
  void apply(const config_change& c);

  /** Applies all entries of a delta at once. A delta that ends at or before the
   * current revision changes nothing.
   * @return `conflict` if the delta starts after the current revision, so that
   * changes between them would be missing. */
  result<void> apply(const config_delta& delta);

  /** @return The entries changed after @p from, up to the current revision. */
  config_delta delta_since(revision from) const;

  /** @return The value of @p key, or an empty string if the key is absent or
   * removed. */
  std::string value_of(const std::string& key) const;

 private:
  revision revision_ = 0;
  uint32_t format_ = 1;
  std::map<std::string, config_entry> entries_;
};

}  // namespace turmeric

#endif  // TURMERIC_STATE_CONFIG_STATE_BASE_H_
