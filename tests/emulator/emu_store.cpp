/** @file emu_store.cpp Objects, change history and watches. */
#include "emu_store.h"

#include <algorithm>

namespace turmeric::tests {

uint64_t emu_store::put(directory_kind kind,
                        const std::string& name,
                        directory_value value) {
  auto& objects = objects_[static_cast<size_t>(kind)];
  if (auto* target = std::get_if<target_entry>(&value)) {
    const auto it = objects.find(name);
    const bool known = it != objects.end() && it->second.value != nullptr;
    target->created = known ? std::get<target_entry>(*it->second.value).created
                            : revision_ + 1;
  }
  directory_change change;
  change.name = name;
  change.value = std::make_shared<const directory_value>(std::move(value));
  record_change(kind, std::move(change));
  return revision_;
}

void emu_store::put_unreadable(directory_kind kind, const std::string& name) {
  directory_change change;
  change.name = name;
  change.read_error = "spoilt";
  record_change(kind, std::move(change));
}

uint64_t emu_store::remove(directory_kind kind, const std::string& name) {
  if (!has(kind, name))
    return 0;
  directory_change change;
  change.name = name;
  change.removed = true;
  record_change(kind, std::move(change));
  return revision_;
}

bool emu_store::has(directory_kind kind, const std::string& name) const {
  return objects_[static_cast<size_t>(kind)].count(name) != 0;
}

void emu_store::record_change(directory_kind kind, directory_change change) {
  change.revision = ++revision_;
  auto& objects = objects_[static_cast<size_t>(kind)];
  if (change.removed)
    objects.erase(change.name);
  else
    objects[change.name] = change;
  history_.emplace_back(kind, std::move(change));
  std::list<pending_watch> due;
  for (auto it = watches_.begin(); it != watches_.end();) {
    const auto next = std::next(it);
    if (it->call.kind == kind)
      due.splice(due.end(), watches_, it);
    it = next;
  }
  for (const auto& watch : due)
    watch.on_reply(changes_since(watch.call));
}

void emu_store::take_copy(uint64_t id) {
  copies_[id] = {revision_, objects_};
}

void emu_store::restore_copy(uint64_t id) {
  const copy& from = copies_.at(id);
  ++era_;
  revision_ = from.revision;
  objects_ = from.objects;
  history_.erase(std::remove_if(history_.begin(), history_.end(),
                                [this](const auto& change) {
                                  return change.second.revision > revision_;
                                }),
                 history_.end());
  dropped_up_to_ = std::min(dropped_up_to_, revision_);
  watches_.clear();
}

const directory_value* emu_store::find(directory_kind kind,
                                       const std::string& name) const {
  const auto& objects = objects_[static_cast<size_t>(kind)];
  const auto it = objects.find(name);
  return it == objects.end() ? nullptr : it->second.value.get();
}

std::vector<std::string> emu_store::names(directory_kind kind) const {
  std::vector<std::string> out;
  for (const auto& [name, object] : objects_[static_cast<size_t>(kind)])
    out.push_back(name);
  return out;
}

registry_reply emu_store::list(const registry_call& call) const {
  registry_reply reply;
  reply.id = call.id;
  reply.era = era_;
  reply.status = registry_status::ok;
  reply.revision = revision_;
  const auto& objects = objects_[static_cast<size_t>(call.kind)];
  auto it =
      call.after.empty() ? objects.begin() : objects.upper_bound(call.after);
  for (; it != objects.end() && reply.changes.size() < page_size; ++it)
    reply.changes.push_back(it->second);
  reply.has_more = it != objects.end();
  return reply;
}

registry_reply emu_store::changes_since(const registry_call& call) const {
  registry_reply reply;
  reply.id = call.id;
  reply.era = era_;
  reply.revision = revision_;
  reply.status = call.revision < dropped_up_to_ || call.revision > revision_
                     ? registry_status::history_gone
                     : registry_status::ok;
  if (reply.status != registry_status::ok)
    return reply;
  for (const auto& [kind, change] : history_) {
    if (kind == call.kind && change.revision > call.revision)
      reply.changes.push_back(change);
  }
  return reply;
}

void emu_store::call(const registry_call& call, const reply_handler& done) {
  if (call.op == registry_op::list) {
    done(list(call));
    return;
  }
  const registry_reply now = changes_since(call);
  if (now.status != registry_status::ok || !now.changes.empty()) {
    done(now);
    return;
  }
  const uint64_t watch_id = ++last_watch_id_;
  watches_.push_back({watch_id, call, done});
  clock_->after(call.wait, [this, watch_id] {
    for (auto it = watches_.begin(); it != watches_.end(); ++it) {
      if (it->watch_id != watch_id)
        continue;
      const pending_watch watch = *it;
      watches_.erase(it);
      watch.on_reply(changes_since(watch.call));
      return;
    }
  });
}

void emu_store::drop_history() {
  dropped_up_to_ = revision_;
  history_.clear();
  watches_.clear();
}

}  // namespace turmeric::tests
