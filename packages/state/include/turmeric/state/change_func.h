/** @file change_func.h JSON form of changes and snapshots. */
#ifndef TURMERIC_STATE_CHANGE_FUNC_H_
#define TURMERIC_STATE_CHANGE_FUNC_H_

#include <string>
#include <vector>

#include "turmeric/state/config_state_base.h"

namespace turmeric {

/** @return The value of the object that stores @p c in the change log. */
std::string to_json(const config_change& c);

/** Parses the value of an object of the change log. The entries of a change in
 * a format newer than `config_format` are left out.
 * @return `declaration_invalid` if it is not a change. */
result<config_change> change_from_json(const std::string& text);

/** Splits a state into snapshot parts of at most @p max_bytes each. An entry
 * that does not fit is a part of its own, which is larger.
 * @return JSON arrays of entries. */
std::vector<std::string> snapshot_parts(const config_state& state,
                                        size_t max_bytes);

/** Parses one snapshot part.
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

/** Parses a snapshot index.
 * @return `declaration_invalid` if it is not one, `format_too_new` if the
 * snapshot's format is newer than `config_format`. */
result<snapshot_index> snapshot_index_from_json(const std::string& text);

}  // namespace turmeric

#endif  // TURMERIC_STATE_CHANGE_FUNC_H_
