/** @file soak_store.cpp Stand-in of the registry, with faults. */
#include <arpa/inet.h>
#include <fmt/format.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>

#include "soak_site.h"
#include "turmeric/transport/clock_func.h"

namespace turmeric::tests {
namespace {

constexpr auto slow_response_delay = std::chrono::milliseconds(250);
/** Longest wait of a thread until it finds that the registry stops. */
constexpr int max_poll_ms = 100;

/** @return The number that parameter @p name of the query has; 0 if it is not
 * there. */
uint64_t query_parameter(const std::string& path_and_query,
                         const std::string& name) {
  const size_t at = path_and_query.find(name + "=");
  return at == std::string::npos
             ? 0
             : std::strtoull(path_and_query.c_str() + at + name.size() + 1,
                             nullptr, 10);
}

/** @return The kind of objects that a path names; empty if it names none. */
std::string kind_of(const std::string& path_and_query) {
  constexpr std::string_view prefix = "/v1/objects/";
  if (path_and_query.rfind(prefix, 0) != 0)
    return "";
  return path_and_query.substr(prefix.size(),
                               path_and_query.find('?') == std::string::npos
                                   ? std::string::npos
                                   : path_and_query.find('?') - prefix.size());
}

}  // namespace

soak_store::soak_store()
    : listener_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
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
    fmt::print(
        stderr,
        "soak: cannot listen for registry calls on a TCP port of 127.0.0.1\n");
    std::exit(3);
  }
  port_ = ntohs(address.sin_port);
  accept_thread_ = std::thread([this] { accept_connections(); });
}

soak_store::~soak_store() {
  stopping_ = true;
  changed_.notify_all();
  accept_thread_.join();
  for (auto& connection_thread : connection_threads_)
    connection_thread.join();
}

void soak_store::accept_connections() {
  pollfd polled{listener_.get(), POLLIN, 0};
  while (!stopping_) {
    if (poll(&polled, 1, max_poll_ms) != 1)
      continue;
    const int fd = accept4(listener_.get(), nullptr, nullptr, SOCK_CLOEXEC);
    if (fd >= 0)
      connection_threads_.emplace_back([this, fd] { serve_connection(fd); });
  }
}

void soak_store::serve_connection(int fd) {
  const file_descriptor owner(fd);
  std::string received;
  char buffer[4096];
  pollfd polled{fd, POLLIN, 0};
  while (!stopping_) {
    const size_t header_end = received.find("\r\n\r\n");
    if (header_end == std::string::npos) {
      if (poll(&polled, 1, max_poll_ms) != 1)
        continue;
      const ssize_t received_bytes = recv(fd, buffer, sizeof(buffer), 0);
      if (received_bytes <= 0)
        return;
      received.append(buffer, static_cast<size_t>(received_bytes));
      continue;
    }
    const std::string line = received.substr(0, received.find("\r\n"));
    received.erase(0, header_end + 4);
    const size_t start = line.find(' ') + 1;
    int status = 200;
    uint64_t era = 0;
    const std::string body = handle_request(
        line.substr(start, line.rfind(' ') - start), &status, &era);
    if (status == 0)
      continue;  // No response: the client's timeout ends the call.
    const std::string response = fmt::format(
        "HTTP/1.1 {} x\r\nContent-Type: application/json\r\n"
        "Store-Era: {}\r\nContent-Length: {}\r\n\r\n{}",
        status, era, body.size(), body);
    if (::send(fd, response.data(), response.size(), MSG_NOSIGNAL) < 0)
      return;
  }
}

std::string soak_store::handle_request(const std::string& path_and_query,
                                       int* status,
                                       uint64_t* era) {
  std::unique_lock<std::mutex> lock(mutex_);
  *era = era_;
  const uint64_t generation = watch_generation_;
  if (fault_ == registry_fault::slow) {
    lock.unlock();
    std::this_thread::sleep_for(slow_response_delay);
    lock.lock();
  }
  if (fault_ == registry_fault::silent || fault_ == registry_fault::refusing) {
    *status = fault_ == registry_fault::silent ? 0 : 503;
    return "{}";
  }
  const std::string kind = kind_of(path_and_query);
  const uint64_t from_revision = query_parameter(path_and_query, "watch");
  if (from_revision == 0)
    return list_json(kind);
  if (from_revision < history_start_ || from_revision > revision_) {
    *status = 410;
    return "{}";
  }
  const auto wait_end =
      std::chrono::steady_clock::now() +
      std::chrono::milliseconds(query_parameter(path_and_query, "wait_ms"));
  while (true) {
    std::string events;
    for (const auto& c : history_) {
      if (c.kind == kind && c.revision > from_revision)
        events += (events.empty() ? "" : ",") + c.json;
    }
    const bool wait_over =
        std::chrono::steady_clock::now() >= wait_end || stopping_;
    if (!events.empty() || wait_over) {
      return fmt::format(R"({{"events":[{}],"store_revision":{}}})", events,
                         revision_);
    }
    changed_.wait_until(lock, wait_end);
    if (generation != watch_generation_) {
      *status = 0;
      return "";
    }
  }
}

std::string soak_store::object_json(const std::string& kind,
                                    const std::string& name) const {
  const entry& e = entries_.at(kind).at(name);
  return fmt::format(
      R"({{"meta":{{"name":"{}","revision":{},"created_rev":{}}},"spec":{}}})",
      name, e.revision, e.created_revision, e.spec);
}

std::string soak_store::list_json(const std::string& kind) const {
  std::string items;
  const auto it = entries_.find(kind);
  if (it != entries_.end()) {
    for (const auto& [name, e] : it->second)
      items += (items.empty() ? "" : ",") + object_json(kind, name);
  }
  return fmt::format(R"({{"items":[{}],"has_more":false,"store_revision":{}}})",
                     items, revision_);
}

void soak_store::put(const std::string& kind,
                     const std::string& name,
                     const std::string& spec) {
  const std::lock_guard<std::mutex> lock(mutex_);
  keep_past_state();
  const auto existing = entries_[kind].find(name);
  const uint64_t created_revision = existing == entries_[kind].end()
                                        ? revision_ + 1
                                        : existing->second.created_revision;
  entries_[kind][name] = {created_revision, ++revision_, spec};
  history_.push_back({revision_, kind,
                      fmt::format(R"({{"deleted":false,"object":{}}})",
                                  object_json(kind, name))});
  changed_.notify_all();
}

void soak_store::remove(const std::string& kind, const std::string& name) {
  const std::lock_guard<std::mutex> lock(mutex_);
  keep_past_state();
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

void soak_store::keep_past_state() {
  past_states_.push_back({boot_now(), revision_, entries_});
}

void soak_store::restore_copy(time_us age) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const time_us copied_at = boot_now() - age;
  const auto copy = std::find_if(
      past_states_.begin(), past_states_.end(),
      [&](const past_state& s) { return s.replaced_at > copied_at; });
  if (copy != past_states_.end()) {
    revision_ = copy->revision;
    entries_ = copy->entries;
    past_states_.erase(copy, past_states_.end());
  }
  history_.erase(std::remove_if(history_.begin(), history_.end(),
                                [&](const watch_event& e) {
                                  return e.revision > revision_;
                                }),
                 history_.end());
  ++era_;
  ++watch_generation_;
  changed_.notify_all();
}

void soak_store::set_fault(registry_fault fault) {
  const std::lock_guard<std::mutex> lock(mutex_);
  fault_ = fault;
  ++watch_generation_;
  changed_.notify_all();
}

void soak_store::discard_history() {
  const std::lock_guard<std::mutex> lock(mutex_);
  history_start_ = revision_;
  history_.clear();
  ++watch_generation_;
  changed_.notify_all();
}

}  // namespace turmeric::tests
