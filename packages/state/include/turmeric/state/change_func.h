/** @file change_func.h JSON form of changes and snapshots. */
#ifndef TURMERIC_STATE_CHANGE_FUNC_H_
#define TURMERIC_STATE_CHANGE_FUNC_H_

#include <string>
#include <vector>

#include "turmeric/state/config_state_base.h"

namespace turmeric {

/** @return The value of the log object of @p c. */
std::string to_json(const config_change& c);

/** Reads a log object's value.
 * @return `declaration_invalid` if it is not a change. */
result<config_change> change_from_json(const std::string& text);

/** Splits a state into snapshot parts below @p max_bytes each.
 * @return JSON arrays of entries. */
std::vector<std::string> snapshot_parts(const config_state& state,
                                        size_t max_bytes);

/** Reads one snapshot part.
 * @return `declaration_invalid` if it is not one. */
result<std::vector<config_entry>> entries_from_json(const std::string& text);

/** Names the parts of a snapshot. */
struct snapshot_index {
  uint32_t format = config_format;
  revision at_revision = 0;
  std::vector<std::string> parts;
};

/** @return The value of the snapshot index object. */
std::string to_json(const snapshot_index& index);

/** Reads a snapshot index.
 * @return `declaration_invalid`, or `format_too_new`. */
result<snapshot_index> snapshot_index_from_json(const std::string& text);

}  // namespace turmeric

#endif  // TURMERIC_STATE_CHANGE_FUNC_H_
