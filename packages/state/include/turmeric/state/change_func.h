/** @file change_func.h JSON form of changes and snapshots. */
#ifndef TURMERIC_STATE_CHANGE_FUNC_H_
#define TURMERIC_STATE_CHANGE_FUNC_H_

#include <string>
#include <vector>

#include "turmeric/state/config_state_base.h"

namespace turmeric {

/** @return The value of the change-log object that stores @p c. */
std::string to_json(const config_change& c);

/** Parses the value of a change-log object. Does not parse the entries of a
 * change in a format newer than `config_format`, which
 * config_state::check_applicable() rejects.
 * @return `declaration_invalid` if it is not a change. */
result<config_change> change_from_json(const std::string& text);

/** Splits a state into parts of at most @p max_bytes each; a larger entry is a
 * larger part of its own.
 * @return JSON arrays of entries. */
std::vector<std::string> snapshot_parts(const config_state& state,
                                        size_t max_bytes);

/** Parses a snapshot part.
 * @return `declaration_invalid` if it is not a JSON array of entries. */
result<std::vector<config_entry>> entries_from_json(const std::string& text);

/** Lists the objects that hold the parts of a snapshot. */
struct snapshot_index {
  uint32_t format = config_format;
  revision at_revision = 0;        ///< Of the state in the snapshot.
  std::vector<std::string> parts;  ///< Names of the objects.
};

/** @return The value of the snapshot index object. */
std::string to_json(const snapshot_index& index);

/** @return `declaration_invalid` if @p text is not a snapshot index,
 * `format_too_new` if its format is newer than `config_format`. */
result<snapshot_index> snapshot_index_from_json(const std::string& text);

}  // namespace turmeric

#endif  // TURMERIC_STATE_CHANGE_FUNC_H_
