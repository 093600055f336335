/** @file config_type.h Configuration entries and changes. */
#ifndef TURMERIC_STATE_CONFIG_TYPE_H_
#define TURMERIC_STATE_CONFIG_TYPE_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace turmeric {

/** Number of a change in the one total order; 0 is the empty start. */
using revision = uint64_t;

/** Format that this program writes and the newest that it reads. */
constexpr uint32_t config_format = 1;

/** One key with its newest value. Empty values are tombstones. */
struct config_entry {
  std::string key;
  std::string value;
  revision changed_revision = 0;
};

/** What one operator committed as one step. */
struct config_change {
  uint32_t format = config_format;
  revision number = 0;
  uint64_t change_id = 0;  ///< Random; settles lost answers.
  std::string author;
  std::vector<config_entry> entries;
};

/** Entries changed in (from, to]; applied whole or not at all. */
struct config_delta {
  uint32_t format = config_format;  ///< Newest format among the changes.
  revision from = 0;
  revision to = 0;
  std::vector<config_entry> entries;
};

}  // namespace turmeric

#endif  // TURMERIC_STATE_CONFIG_TYPE_H_
