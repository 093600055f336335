/** @file directory_replica.cpp Applies lists and changes to a replica. */
#include "turmeric/coordination/directory_replica_base.h"

#include <algorithm>
#include <set>

#include "restored_value_internal.h"

namespace turmeric {
namespace {

uint64_t last_change_revision(const replica_entry& entry) {
  return entry.registered ? entry.revision : entry.removed_revision;
}

}  // namespace

void directory_replica::track(const std::string& name,
                              const replica_entry& entry) {
  by_revision_.emplace(last_change_revision(entry), name);
  if (entry.usable())
    summary_.digest ^= hash_pair(hash_name(name), entry.revision);
}

void directory_replica::untrack(const std::string& name,
                                const replica_entry& entry) {
  by_revision_.erase({last_change_revision(entry), name});
  if (entry.usable())
    summary_.digest ^= hash_pair(hash_name(name), entry.revision);
}

std::vector<std::string> directory_replica::changed_since(
    uint64_t revision) const {
  std::vector<std::string> out;
  for (auto it = by_revision_.lower_bound({revision + 1, ""});
       it != by_revision_.end(); ++it)
    out.push_back(it->second);
  return out;
}

void directory_replica::put(time_us now,
                            const directory_change& change,
                            bool restored,
                            std::vector<replica_change>* out) {
  if (change.removed) {
    remove(now, change.name, change.revision, out);
    return;
  }
  const auto it = entries_.find(change.name);
  if (!restored && it != entries_.end() && it->second.registered &&
      it->second.revision >= change.revision)
    return;
  if (it != entries_.end())
    untrack(change.name, it->second);
  replica_entry& entry = entries_[change.name];
  entry.revision = change.revision;
  entry.era = summary_.era;
  entry.registered = true;
  entry.lost_in_restore = false;
  entry.read_error = change.read_error;
  entry.unread_parts = change.unread_parts;
  if (change.value != nullptr)
    entry.value = merged_value(entry.value, change.value, restored);
  track(change.name, entry);
  out->push_back({change.name, change.revision, false, change.read_error,
                  change.unread_parts});
}

void directory_replica::remove(time_us now,
                               const std::string& name,
                               uint64_t revision,
                               std::vector<replica_change>* out) {
  const auto it = entries_.find(name);
  if (it == entries_.end() || !it->second.registered ||
      it->second.revision > revision)
    return;
  untrack(name, it->second);
  it->second.registered = false;
  it->second.removed_at = now;
  it->second.removed_revision = revision;
  it->second.lost_in_restore = false;
  track(name, it->second);
  out->push_back({name, revision, true, "", {}});
}

void directory_replica::advance(registry_version version) {
  if (summary_.revision == 0)
    complete_since_ = version.revision;
  summary_.revision = version.revision;
}

void directory_replica::restamp_removed(uint64_t revision) {
  for (auto& [name, entry] : entries_) {
    if (entry.registered)
      continue;
    untrack(name, entry);
    entry.removed_revision = revision;
    track(name, entry);
  }
}

std::vector<replica_change> directory_replica::apply(
    time_us now,
    registry_version version,
    const std::vector<directory_change>& changes) {
  std::vector<replica_change> out;
  if (in_different_eras(version, summary_.version()) ||
      !is_newer(version, summary_.version()))
    return out;
  if (version.era != 0)
    summary_.era = version.era;
  for (const auto& change : changes)
    put(now, change, false, &out);
  advance(version);
  return out;
}

std::vector<replica_change> directory_replica::replace(
    time_us now,
    registry_version version,
    const std::vector<directory_change>& all) {
  std::vector<replica_change> out;
  const bool restored = in_different_eras(version, summary_.version());
  if (!is_newer(version, summary_.version()) && !(restored && era_distrusted_))
    return out;
  era_distrusted_ = false;
  if (version.era != 0)
    summary_.era = version.era;
  std::set<std::string> listed_names;
  for (const auto& change : all) {
    listed_names.insert(change.name);
    put(now, change, restored, &out);
  }
  for (auto& [name, entry] : entries_) {
    if (!entry.registered || listed_names.count(name) != 0)
      continue;
    // Its revision of the old era may be above the one of its removal.
    if (restored) {
      untrack(name, entry);
      entry.revision = std::min(entry.revision, version.revision);
      track(name, entry);
    }
    remove(now, name, version.revision, &out);
    entry.lost_in_restore = restored;
  }
  if (restored) {
    restamp_removed(version.revision);
    complete_since_ = version.revision;
  }
  advance(version);
  return out;
}

void directory_replica::forget_removed(time_us now) {
  for (auto it = entries_.begin(); it != entries_.end();) {
    const replica_entry& entry = it->second;
    if (entry.registered || now - entry.removed_at < removed_retention_) {
      ++it;
      continue;
    }
    complete_since_ = std::max(complete_since_, entry.removed_revision);
    untrack(it->first, entry);
    it = entries_.erase(it);
  }
}

}  // namespace turmeric
