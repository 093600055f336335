/** @file platform_type.h Calls to the platform's object API. */
#ifndef TURMERIC_STATE_PLATFORM_TYPE_H_
#define TURMERIC_STATE_PLATFORM_TYPE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "turmeric/state/time_type.h"

namespace turmeric {

/** Operations of the object API. */
enum class platform_op : uint8_t {
  get,
  list,    ///< Returns all objects whose name starts with `name`.
  create,  ///< Fails with `exists` if the object exists already.
  update,  ///< Fails with `mismatch` unless the object's version is `version`.
  watch,   ///< Waits for objects after `name` that have its prefix.
  end
};

/** Outcome of a call. */
enum class platform_status : uint8_t {
  ok,
  not_found,
  exists,
  mismatch,
  gone,         ///< The platform no longer keeps the start of the watch.
  unavailable,  ///< No answer; the call may have taken effect.
  end
};

/** @return The name of @p op, as used in the API. */
std::string_view name_of(platform_op op);

/** @return The name of @p status, as used in the API. */
std::string_view name_of(platform_status status);

/** A stored object. */
struct platform_object {
  std::string name;
  uint64_t version = 0;
  std::string value;
};

/** A call to the object API. */
struct platform_call {
  uint64_t id = 0;
  platform_op op = platform_op::get;
  std::string name;
  uint64_t version = 0;
  std::string value;
  time_us timeout = us_per_s;
};

/** Result of a call. */
struct platform_reply {
  uint64_t id = 0;
  platform_status status = platform_status::unavailable;
  std::vector<platform_object> objects;
};

/** @return The name of the object that holds change @p number of the change
 * log. The names sort in the order of the numbers. */
std::string change_log_object_name(uint64_t number);

/** Prefix of the names of all objects of the change log. */
constexpr std::string_view change_log_prefix = "log/";

/** Name of the object that lists the parts of the newest snapshot. */
constexpr std::string_view snapshot_index_name = "snapshot/index";

}  // namespace turmeric

#endif  // TURMERIC_STATE_PLATFORM_TYPE_H_
