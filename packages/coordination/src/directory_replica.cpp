/** @file directory_replica.cpp Applies lists and changes to a replica. */
#include "turmeric/coordination/directory_replica_base.h"

#include <algorithm>
#include <set>

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
                            std::vector<replica_change>* out) {
  if (change.removed) {
    remove(now, change.name, change.revision, out);
    return;
  }
  const auto it = entries_.find(change.name);
  if (it != entries_.end() && it->second.registered &&
      it->second.revision >= change.revision)
    return;
  if (it != entries_.end())
    untrack(change.name, it->second);
  replica_entry& entry = entries_[change.name];
  entry.revision = change.revision;
  entry.registered = true;
  entry.read_error = change.read_error;
  entry.unread_parts = change.unread_parts;
  if (change.value != nullptr)
    entry.value = change.value;
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
  track(name, it->second);
  out->push_back({name, revision, true, "", {}});
}

void directory_replica::advance(uint64_t revision) {
  if (summary_.revision == 0)
    complete_since_ = revision;
  summary_.revision = revision;
}

std::vector<replica_change> directory_replica::apply(
    time_us now,
    uint64_t revision,
    const std::vector<directory_change>& changes) {
  std::vector<replica_change> out;
  if (revision <= summary_.revision)
    return out;
  for (const auto& change : changes)
    put(now, change, &out);
  advance(revision);
  return out;
}

std::vector<replica_change> directory_replica::replace(
    time_us now,
    uint64_t revision,
    const std::vector<directory_change>& all) {
  std::vector<replica_change> out;
  if (revision <= summary_.revision)
    return out;
  std::set<std::string> listed_names;
  for (const auto& change : all) {
    listed_names.insert(change.name);
    put(now, change, &out);
  }
  for (const auto& [name, entry] : entries_) {
    if (entry.registered && listed_names.count(name) == 0)
      remove(now, name, revision, &out);
  }
  advance(revision);
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
