/** @file config_state.cpp Applying changes to the configuration. */
#include "turmeric/state/config_state_base.h"

#include <fmt/format.h>

#include <algorithm>

namespace turmeric {

result<void> config_state::check_applicable(const config_change& c) const {
  if (c.format > config_format) {
    return fail(
        result_code::format_too_new,
        fmt::format("change {} has format {}, this program supports up to {}",
                    c.number, c.format, config_format));
  }
  if (c.number != revision_ + 1) {
    return fail(result_code::conflict,
                fmt::format("change {} does not directly follow revision {}",
                            c.number, revision_));
  }
  return boost::outcome_v2::success();
}

void config_state::apply(const config_change& c) {
  for (const auto& entry : c.entries) {
    config_entry stamped = entry;
    stamped.changed_revision = c.number;
    entries_[entry.key] = std::move(stamped);
  }
  revision_ = c.number;
  format_ = std::max(format_, c.format);
}

result<void> config_state::apply(const config_delta& delta) {
  if (delta.to <= revision_)
    return boost::outcome_v2::success();
  if (delta.from > revision_) {
    return fail(
        result_code::conflict,
        fmt::format("delta starts after revision {}, state is at revision {}",
                    delta.from, revision_));
  }
  for (const auto& entry : delta.entries) {
    auto& held = entries_[entry.key];
    if (held.changed_revision < entry.changed_revision)
      held = entry;
  }
  revision_ = delta.to;
  format_ = std::max(format_, delta.format);
  return boost::outcome_v2::success();
}

config_delta config_state::delta_since(revision from) const {
  config_delta delta{format_, from, revision_, {}};
  for (const auto& [key, entry] : entries_) {
    if (entry.changed_revision > from)
      delta.entries.push_back(entry);
  }
  return delta;
}

std::string config_state::value_of(const std::string& key) const {
  const auto it = entries_.find(key);
  return it == entries_.end() ? std::string() : it->second.value;
}

}  // namespace turmeric
