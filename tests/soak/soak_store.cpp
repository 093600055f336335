/** @file soak_store.cpp A store stand-in with moods. */
#include <arpa/inet.h>
#include <fmt/format.h>
#include <poll.h>
#include <sys/socket.h>

#include <chrono>
#include <cstdlib>

#include "soak_site.h"

namespace turmeric::tests {
namespace {

constexpr auto slow_answer = std::chrono::milliseconds(250);
constexpr int poll_ms = 100;

/** @return The value of a query's parameter, or 0. */
uint64_t parameter(const std::string& target, const std::string& name) {
  const size_t at = target.find(name + "=");
  return at == std::string::npos
             ? 0
             : std::strtoull(target.c_str() + at + name.size() + 1, nullptr,
                             10);
}

std::string kind_of(const std::string& target) {
  constexpr std::string_view prefix = "/v1/objects/";
  if (target.rfind(prefix, 0) != 0)
    return "";
  return target.substr(prefix.size(), target.find('?') == std::string::npos
                                          ? std::string::npos
                                          : target.find('?') - prefix.size());
}

}  // namespace

soak_store::soak_store() : listener_(socket(AF_INET, SOCK_STREAM, 0)) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(address);
  const bool bound =
      bind(listener_.get(), reinterpret_cast<sockaddr*>(&address), size) == 0 &&
      listen(listener_.get(), 64) == 0 &&
      getsockname(listener_.get(), reinterpret_cast<sockaddr*>(&address),
                  &size) == 0;
  if (!bound) {
    fmt::print(stderr, "soak: cannot listen on loopback\n");
    std::exit(3);
  }
  port_ = ntohs(address.sin_port);
  acceptor_ = std::thread([this] { accept(); });
}

soak_store::~soak_store() {
  stopping_ = true;
  changed_.notify_all();
  acceptor_.join();
  for (auto& session : sessions_)
    session.join();
}

void soak_store::accept() {
  pollfd waiting{listener_.get(), POLLIN, 0};
  while (!stopping_) {
    if (poll(&waiting, 1, poll_ms) != 1)
      continue;
    const int fd = ::accept(listener_.get(), nullptr, nullptr);
    if (fd >= 0)
      sessions_.emplace_back([this, fd] { serve(fd); });
  }
}

void soak_store::serve(int fd) {
  const file_descriptor owner(fd);
  std::string in;
  char buffer[4096];
  pollfd waiting{fd, POLLIN, 0};
  while (!stopping_) {
    const size_t end = in.find("\r\n\r\n");
    if (end == std::string::npos) {
      if (poll(&waiting, 1, poll_ms) != 1)
        continue;
      const ssize_t got = recv(fd, buffer, sizeof(buffer), 0);
      if (got <= 0)
        return;
      in.append(buffer, static_cast<size_t>(got));
      continue;
    }
    const std::string line = in.substr(0, in.find("\r\n"));
    in.erase(0, end + 4);
    const size_t start = line.find(' ') + 1;
    int status = 200;
    const std::string body =
        answer(line.substr(start, line.rfind(' ') - start), &status);
    if (status == 0)
      continue;  // Silent: nothing comes on this connection any more.
    const std::string out = fmt::format(
        "HTTP/1.1 {} x\r\nContent-Type: application/json\r\n"
        "Content-Length: {}\r\n\r\n{}",
        status, body.size(), body);
    if (::send(fd, out.data(), out.size(), MSG_NOSIGNAL) < 0)
      return;
  }
}

std::string soak_store::answer(const std::string& target, int* status) {
  std::unique_lock<std::mutex> lock(mutex_);
  const uint64_t mood_changes = mood_changes_;
  if (mood_ == store_mood::slow) {
    lock.unlock();
    std::this_thread::sleep_for(slow_answer);
    lock.lock();
  }
  if (mood_ == store_mood::silent || mood_ == store_mood::refuses) {
    *status = mood_ == store_mood::silent ? 0 : 503;
    return "{}";
  }
  const std::string kind = kind_of(target);
  const uint64_t from = parameter(target, "watch");
  if (from == 0)
    return list(kind);
  if (from < oldest_) {
    *status = 410;
    return "{}";
  }
  const auto limit = std::chrono::steady_clock::now() +
                     std::chrono::milliseconds(parameter(target, "wait_ms"));
  while (true) {
    std::string events;
    for (const auto& c : history_) {
      if (c.kind == kind && c.revision > from)
        events += (events.empty() ? "" : ",") + c.json;
    }
    const bool over = std::chrono::steady_clock::now() >= limit || stopping_;
    if (!events.empty() || over) {
      return fmt::format(R"({{"events":[{}],"store_revision":{}}})", events,
                         revision_);
    }
    changed_.wait_until(lock, limit);
    if (mood_changes != mood_changes_) {
      *status = 0;
      return "";
    }
  }
}

std::string soak_store::object(const std::string& kind,
                               const std::string& name) const {
  const entry& e = entries_.at(kind).at(name);
  return fmt::format(
      R"({{"meta":{{"name":"{}","revision":{},"created_rev":{}}},"spec":{}}})",
      name, e.revision, e.created, e.spec);
}

std::string soak_store::list(const std::string& kind) const {
  std::string items;
  const auto it = entries_.find(kind);
  if (it != entries_.end()) {
    for (const auto& [name, e] : it->second)
      items += (items.empty() ? "" : ",") + object(kind, name);
  }
  return fmt::format(R"({{"items":[{}],"has_more":false,"store_revision":{}}})",
                     items, revision_);
}

void soak_store::put(const std::string& kind,
                     const std::string& name,
                     const std::string& spec) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto known = entries_[kind].find(name);
  const uint64_t created =
      known == entries_[kind].end() ? revision_ + 1 : known->second.created;
  entries_[kind][name] = {created, ++revision_, spec};
  history_.push_back(
      {revision_, kind,
       fmt::format(R"({{"deleted":false,"object":{}}})", object(kind, name))});
  changed_.notify_all();
}

void soak_store::remove(const std::string& kind, const std::string& name) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (entries_[kind].erase(name) == 0)
    return;
  ++revision_;
  history_.push_back(
      {revision_, kind,
       fmt::format(R"({{"deleted":true,"object":{{"meta":{{"name":"{}",)"
                   R"("revision":{},"created_rev":1}},"spec":null}}}})",
                   name, revision_)});
  changed_.notify_all();
}

void soak_store::set_mood(store_mood mood) {
  const std::lock_guard<std::mutex> lock(mutex_);
  mood_ = mood;
  ++mood_changes_;
  changed_.notify_all();
}

void soak_store::forget() {
  const std::lock_guard<std::mutex> lock(mutex_);
  oldest_ = revision_;
  history_.clear();
  ++mood_changes_;
  changed_.notify_all();
}

}  // namespace turmeric::tests
