/** @file restored_value.cpp Merges a known value with one of a restored
 * registry. */
#include <algorithm>

#include "restored_value_internal.h"

namespace turmeric {
namespace {

/** @return Whether both entries are of the same process of the target. */
bool same_process(const target_entry& a, const target_entry& b) {
  if (a.started_unix_ms != 0 && b.started_unix_ms != 0)
    return a.started_unix_ms == b.started_unix_ms;
  return a.created == b.created;
}

std::shared_ptr<const directory_value> merged_target(
    const std::shared_ptr<const directory_value>& known_value,
    const std::shared_ptr<const directory_value>& restored_value) {
  const auto& known = std::get<target_entry>(*known_value);
  const auto& restored = std::get<target_entry>(*restored_value);
  if (!same_process(known, restored)) {
    const bool restored_is_older =
        restored.started_unix_ms != 0 &&
        restored.started_unix_ms < known.started_unix_ms;
    return restored_is_older ? known_value : restored_value;
  }
  // The copy may be older than the drain or the cold start. A target that
  // counts as cold for too long loses less than one that does so too shortly.
  target_entry merged = restored;
  merged.draining = known.draining || restored.draining;
  merged.cold_until = std::max(known.cold_until, restored.cold_until);
  return std::make_shared<const directory_value>(std::move(merged));
}

}  // namespace

std::shared_ptr<const directory_value> merged_value(
    const std::shared_ptr<const directory_value>& known,
    const std::shared_ptr<const directory_value>& next,
    bool restored) {
  if (known == nullptr || known->index() != next->index())
    return next;
  if (const auto* routing = std::get_if<routing_entry>(next.get())) {
    const bool lower =
        routing->version < std::get<routing_entry>(*known).version;
    return lower ? known : next;
  }
  if (restored && std::holds_alternative<target_entry>(*next))
    return merged_target(known, next);
  return next;
}

}  // namespace turmeric
