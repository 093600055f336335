/** @file config_type.h Configuration entries and changes. */
#ifndef TURMERIC_STATE_CONFIG_TYPE_H_
#define TURMERIC_STATE_CONFIG_TYPE_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace turmeric {

/** Number of a change in the single total order of changes. 0 is the empty
 * configuration before the first change. */
using revision = uint64_t;

/** Configuration format that this program writes, and the newest one that it
 * can read. */
constexpr uint32_t config_format = 1;

/** One key with its newest value. An empty value is a tombstone: the key was
 * removed. */
struct config_entry {
  std::string key;
  std::string value;
  revision changed_revision = 0;  ///< Revision that set the value.
};

/** Entries that one operator committed in one step. */
struct config_change {
  uint32_t format = config_format;
  revision number = 0;
  uint64_t change_id = 0;  ///< Random; identifies the change in the log
                           ///< after the reply to its commit was lost.
  std::string author;
  std::vector<config_entry> entries;
};

/** Entries changed after revision `from`, up to and including `to`; applied
 * completely or not at all. */
struct config_delta {
  uint32_t format = config_format;  ///< Newest format among the changes.
  revision from = 0;
  revision to = 0;
  std::vector<config_entry> entries;
};

}  // namespace turmeric

#endif  // TURMERIC_STATE_CONFIG_TYPE_H_
