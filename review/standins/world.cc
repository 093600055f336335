// Stand-ins of everything around the balancers, in one process on loopback: the
// platform's store, endpoints, clients, the platform's routers and the
// operator. Starts the balancers with the command of deploy/system.toml and
// settings made from its template.
//
//   world --scenario NAME --trouble 0|1 --record FILE --tmp FOLDER
//
// Exit code: 0 if the rule held, 1 if it was broken, 2 if the case could not
// run. Only the standard library and POSIX are used.
#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cerrno>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <queue>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace {

using ms = double;  // Milliseconds since the start of the program.

ms clock_now() {
  timespec t{};
  clock_gettime(CLOCK_MONOTONIC, &t);
  return static_cast<double>(t.tv_sec) * 1e3 +
         static_cast<double>(t.tv_nsec) / 1e6;
}

const ms program_start = clock_now();

ms now() {
  return clock_now() - program_start;
}

volatile sig_atomic_t interrupted = 0;

// ---------------------------------------------------------------- record

FILE* record_file = nullptr;
std::mutex record_mutex;

void record(const char* format, ...) {
  const std::lock_guard<std::mutex> lock(record_mutex);
  fprintf(record_file, "%10.1f ", now());
  va_list args;
  va_start(args, format);
  vfprintf(record_file, format, args);
  va_end(args);
  fputc('\n', record_file);
}

[[noreturn]] void cannot_run(const std::string& why) {
  fprintf(stderr, "cannot run: %s\n", why.c_str());
  if (record_file != nullptr) {
    record("cannot run: %s", why.c_str());
    fclose(record_file);
  }
  _exit(2);
}

// ------------------------------------------------------------- addresses

// All addresses are 127.NET.GROUP.HOST; NET differs from run to run.
uint32_t net_byte = 0;

uint32_t loopback_address(uint32_t group, uint32_t host) {
  return 127u << 24 | net_byte << 16 | group << 8 | host;
}

std::string text_of(uint32_t ip) {
  return std::to_string(ip >> 24) + "." + std::to_string(ip >> 16 & 255) + "." +
         std::to_string(ip >> 8 & 255) + "." + std::to_string(ip & 255);
}

sockaddr_in address_of(uint32_t ip, uint16_t port) {
  sockaddr_in a{};
  a.sin_family = AF_INET;
  a.sin_addr.s_addr = htonl(ip);
  a.sin_port = htons(port);
  return a;
}

int bound_udp(uint32_t ip, uint16_t port) {
  const int fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int bytes = 1 << 20;
  setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
  const sockaddr_in a = address_of(ip, port);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&a), sizeof(a)) != 0)
    cannot_run("cannot bind UDP " + text_of(ip) + ":" + std::to_string(port));
  return fd;
}

// ----------------------------------------------------------------- store

// The platform's metadata store: lists, objects and watches over HTTP/1.1.
// Writers inside this program call put() and remove(), whose return is the
// store's answer.
class store {
 public:
  explicit store(uint32_t ip, uint16_t port) {
    listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in a = address_of(ip, port);
    if (bind(listener_, reinterpret_cast<const sockaddr*>(&a), sizeof(a)) !=
            0 ||
        listen(listener_, 128) != 0)
      cannot_run("cannot bind the store's port");
    std::thread([this] { accept_loop(); }).detach();
  }

  // @return The revision of the change.
  uint64_t put(const std::string& kind,
               const std::string& name,
               const std::string& spec) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto found = objects_[kind].find(name);
    if (found != objects_[kind].end() && found->second.spec == spec)
      return found->second.revision;  // Changes nothing, so no event.
    past_.push_back({now(), revision_, objects_});
    object& o = objects_[kind][name];
    o.spec = spec;
    o.revision = ++revision_;
    if (o.created == 0)
      o.created = revision_;
    events_.push_back({revision_, kind, event_json(name, o, false)});
    changed_.notify_all();
    return revision_;
  }

  void remove(const std::string& kind, const std::string& name) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto it = objects_[kind].find(name);
    if (it == objects_[kind].end())
      return;
    past_.push_back({now(), revision_, objects_});
    it->second.revision = ++revision_;
    events_.push_back({revision_, kind, event_json(name, it->second, true)});
    objects_[kind].erase(it);
    changed_.notify_all();
  }

  // Comes back from a copy that is @p age old, in the next era. Watches that
  // wait are cut off.
  void restore(ms age) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const ms copied = now() - age;
    while (!past_.empty() && past_.back().replaced > copied) {
      revision_ = past_.back().revision;
      objects_ = past_.back().objects;
      past_.pop_back();
    }
    while (!events_.empty() && events_.back().revision > revision_)
      events_.pop_back();
    ++era_;
    ++silences_;
    changed_.notify_all();
  }

  // While it is silent, calls get no answer, and neither do those that waited
  // when it fell silent. put() and remove() work: a writer that waits for the
  // store calls them later.
  void set_silent(bool silent) {
    const std::lock_guard<std::mutex> lock(mutex_);
    silent_ = silent;
    silences_ += silent ? 1 : 0;
    changed_.notify_all();
  }

  uint64_t calls() const { return calls_; }

 private:
  struct object {
    uint64_t created = 0;
    uint64_t revision = 0;
    std::string spec;
  };
  struct event {
    uint64_t revision;
    std::string kind;
    std::string json;
  };
  using object_map = std::map<std::string, std::map<std::string, object>>;
  // A state that a change replaced.
  struct past_state {
    ms replaced;
    uint64_t revision;
    object_map objects;
  };
  static constexpr size_t page_items = 500;

  static std::string object_json(const std::string& name, const object& o) {
    return "{\"meta\":{\"name\":\"" + name +
           "\",\"revision\":" + std::to_string(o.revision) +
           ",\"created_rev\":" + std::to_string(o.created) +
           ",\"finalizers\":[],\"deleting\":false},\"spec\":" + o.spec +
           ",\"status\":null}";
  }
  static std::string event_json(const std::string& name,
                                const object& o,
                                bool deleted) {
    return std::string("{\"deleted\":") + (deleted ? "true" : "false") +
           ",\"object\":" + object_json(name, o) + "}";
  }

  void accept_loop() {
    while (true) {
      const int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0)
        return;
      const int on = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      std::thread([this, fd] {
        serve(fd);
        close(fd);
      }).detach();
    }
  }

  void serve(int fd) {
    std::string received;
    char buffer[4096];
    while (true) {
      size_t end = received.find("\r\n\r\n");
      while (end == std::string::npos) {
        const ssize_t n = recv(fd, buffer, sizeof(buffer), 0);
        if (n <= 0)
          return;
        received.append(buffer, static_cast<size_t>(n));
        end = received.find("\r\n\r\n");
      }
      const std::string line = received.substr(0, received.find("\r\n"));
      received.erase(0, end + 4);
      const size_t path_start = line.find(' ') + 1;
      const std::string target =
          line.substr(path_start, line.rfind(' ') - path_start);
      ++calls_;
      usleep(4000);  // The store's usual time for an answer.
      int status = 200;
      uint64_t era = 0;
      const std::string body = line.rfind("GET ", 0) == 0
                                   ? answer(target, &status, &era)
                                   : (status = 405, "{}");
      if (status == 0) {
        // The connection stays open and returns nothing further.
        while (recv(fd, buffer, sizeof(buffer), 0) > 0) {
        }
        return;
      }
      const std::string response =
          "HTTP/1.1 " + std::to_string(status) +
          " x\r\nContent-Type: application/json\r\nStore-Era: " +
          std::to_string(era) +
          "\r\n"
          "Content-Length: " +
          std::to_string(body.size()) + "\r\n\r\n" + body;
      size_t sent = 0;
      while (sent < response.size()) {
        const ssize_t n = send(fd, response.data() + sent,
                               response.size() - sent, MSG_NOSIGNAL);
        if (n <= 0)
          return;
        sent += static_cast<size_t>(n);
      }
    }
  }

  static std::string parameter(const std::string& target,
                               const std::string& name) {
    const size_t query = target.find('?');
    if (query == std::string::npos)
      return "";
    std::istringstream parts(target.substr(query + 1));
    std::string part;
    while (std::getline(parts, part, '&')) {
      if (part.rfind(name + "=", 0) == 0)
        return decoded(part.substr(name.size() + 1));
    }
    return "";
  }

  static std::string decoded(const std::string& text) {
    std::string out;
    for (size_t i = 0; i < text.size(); ++i) {
      if (text[i] == '%' && i + 2 < text.size()) {
        out += static_cast<char>(
            std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16));
        i += 2;
      } else {
        out += text[i];
      }
    }
    return out;
  }

  // @param era Set to the era of the answer.
  // @return The body; status 0 stands for no answer.
  std::string answer(const std::string& target, int* status, uint64_t* era) {
    const std::string prefix = "/v1/objects/";
    if (target.rfind(prefix, 0) != 0) {
      *status = 404;
      return "{}";
    }
    const std::string path =
        target.substr(prefix.size(), target.find('?') - prefix.size());
    std::unique_lock<std::mutex> lock(mutex_);
    *era = era_;
    if (silent_) {
      *status = 0;
      return "";
    }
    const size_t slash = path.find('/');
    if (slash != std::string::npos) {
      const auto& kind = objects_[path.substr(0, slash)];
      const auto it = kind.find(decoded(path.substr(slash + 1)));
      if (it != kind.end())
        return object_json(it->first, it->second);
      *status = 404;
      return "{}";
    }
    const std::string watch = parameter(target, "watch");
    if (watch.empty())
      return list(path, parameter(target, "after"));
    const uint64_t from = std::strtoull(watch.c_str(), nullptr, 10);
    if (from > revision_) {
      *status = 410;
      return "{}";
    }
    const uint64_t silences = silences_;
    const std::string body = watched(
        path, from, std::atof(parameter(target, "wait_ms").c_str()), &lock);
    if (silences != silences_)
      *status = 0;
    return body;
  }

  std::string list(const std::string& kind, const std::string& after) {
    std::string items;
    size_t count = 0;
    bool more = false;
    const auto& objects = objects_[kind];
    for (auto it = after.empty() ? objects.begin() : objects.upper_bound(after);
         it != objects.end(); ++it) {
      if (count++ == page_items) {
        more = true;
        break;
      }
      items += (items.empty() ? "" : ",") + object_json(it->first, it->second);
    }
    return "{\"items\":[" + items +
           "],\"has_more\":" + (more ? "true" : "false") +
           ",\"store_revision\":" + std::to_string(revision_) + "}";
  }

  std::string watched(const std::string& kind,
                      uint64_t from,
                      double wait,
                      std::unique_lock<std::mutex>* lock) {
    const auto until = std::chrono::steady_clock::now() +
                       std::chrono::microseconds(
                           static_cast<int64_t>(std::min(wait, 30e3) * 1e3));
    const uint64_t silences = silences_;
    while (silences == silences_) {
      std::string out;
      for (const auto& e : events_) {
        if (e.kind == kind && e.revision > from)
          out += (out.empty() ? "" : ",") + e.json;
      }
      if (!out.empty() ||
          changed_.wait_until(*lock, until) == std::cv_status::timeout) {
        return "{\"events\":[" + out +
               "],\"store_revision\":" + std::to_string(revision_) + "}";
      }
    }
    return "";
  }

  int listener_ = -1;
  std::mutex mutex_;
  std::condition_variable changed_;
  bool silent_ = false;
  uint64_t silences_ = 0;
  uint64_t revision_ = 10;
  uint64_t era_ = 1;
  object_map objects_;
  std::vector<past_state> past_;
  std::vector<event> events_;
  std::atomic<uint64_t> calls_{0};
};

// --------------------------------------------------------------- packets

constexpr uint8_t syn = 128;
constexpr uint8_t ack = 2;
constexpr uint8_t fin = 4;
constexpr uint8_t rst = 8;
constexpr size_t head_bytes = 32;
constexpr size_t prefix_bytes = 8;

struct packet {
  uint8_t flags = 0;
  uint16_t sport = 0;
  uint16_t dport = 0;
  uint32_t dst = 0;
  uint32_t src = 0;
  uint32_t seq = 0;
  uint32_t acked = 0;
  uint32_t echo = 0;
  std::string data;
};

void put_number(std::string* out, size_t at, uint64_t value, size_t bytes) {
  for (size_t i = 0; i < bytes; ++i)
    (*out)[at + i] = static_cast<char>(value >> (8 * (bytes - 1 - i)));
}

uint64_t get_number(const char* data, size_t bytes) {
  uint64_t out = 0;
  for (size_t i = 0; i < bytes; ++i)
    out = out << 8 | static_cast<uint8_t>(data[i]);
  return out;
}

// The keyed sum of all fields but echo, pad and BOUNCED; never 0.
uint32_t sum_of(const std::string& raw) {
  uint32_t h = 0x5bd1e995u;
  for (size_t i = 4; i < raw.size(); ++i) {
    if (i == 5 || (i >= 28 && i < 32))
      continue;
    const uint8_t byte = static_cast<uint8_t>(raw[i]) & (i == 4 ? 0xdf : 0xff);
    h = (h ^ byte) * 16777619u;
  }
  return h == 0 ? 1 : h;
}

std::string encoded(const packet& p) {
  std::string raw(head_bytes, '\0');
  raw[4] = static_cast<char>(p.flags);
  put_number(&raw, 6, p.data.size(), 2);
  put_number(&raw, 8, p.sport, 2);
  put_number(&raw, 10, p.dport, 2);
  put_number(&raw, 12, p.dst, 4);
  put_number(&raw, 16, p.src, 4);
  put_number(&raw, 20, p.seq, 4);
  put_number(&raw, 24, p.acked, 4);
  put_number(&raw, 28, p.echo, 4);
  raw += p.data;
  put_number(&raw, 0, sum_of(raw), 4);
  return raw;
}

// @param sum_right Whether the sender's sum fits.
bool decode(const char* data, size_t size, packet* p, bool* sum_right) {
  if (size < head_bytes || get_number(data + 6, 2) != size - head_bytes)
    return false;
  p->flags = static_cast<uint8_t>(data[4]);
  p->sport = static_cast<uint16_t>(get_number(data + 8, 2));
  p->dport = static_cast<uint16_t>(get_number(data + 10, 2));
  p->dst = static_cast<uint32_t>(get_number(data + 12, 4));
  p->src = static_cast<uint32_t>(get_number(data + 16, 4));
  p->seq = static_cast<uint32_t>(get_number(data + 20, 4));
  p->acked = static_cast<uint32_t>(get_number(data + 24, 4));
  p->echo = static_cast<uint32_t>(get_number(data + 28, 4));
  p->data.assign(data + head_bytes, size - head_bytes);
  *sum_right = get_number(data, 4) == sum_of(std::string(data, size));
  return true;
}

// ------------------------------------------------------------ deployment

struct node {
  std::string name;
  std::string zone;
  uint32_t ip = 0;
  pid_t pid = -1;
  bool first_start = true;
  std::atomic<int> misses{2};  // Failed probes in a row.
  bool in_rotation() const { return misses < 2; }
};

struct endpoint_flow {
  uint32_t seq = 0;       // Of the next byte that the endpoint sends.
  uint32_t expected = 0;  // Of the next byte from the client.
  uint32_t echo = 0;
  bool open = false;   // The end of the handshake has arrived.
  bool taken = false;  // Its request has been queued or rejected.
  std::string answer;  // Empty until the request has run or was rejected.
  ms opening_sent = 0;
  ms opening_arrived = 0;
};

struct endpoint {
  std::string id;
  uint64_t number = 0;
  std::string service;
  std::string zone;
  uint32_t ip = 0;
  uint16_t port = 0;
  int fd = -1;
  bool alive = false;
  bool draining = false;
  ms drain_acked = 0;
  ms started = -1e9;
  bool starts_cold = false;
  uint64_t born = 0;
  std::map<uint64_t, endpoint_flow> flows;  // By source address and port.
  size_t busy = 0;                          // Slots in use.
  std::deque<packet> queue;                 // Requests that wait for a slot.
  size_t lifetime = 0;
  std::deque<std::pair<ms, ms>> cold_openings;  // (sent, arrived)
  size_t ran = 0;
};

struct client_flow {
  uint32_t ip = 0;
  uint16_t port = 0;
  std::string zone;
  uint32_t dst = 0;
  uint16_t dport = 0;
  uint32_t seq = 0;
  uint32_t echo = 0;
  uint32_t peer_next = 0;
  int copies = 0;
  bool open = false;
  bool done = false;
  ms opened = 0;
  ms copy_sent = 0;
  int request_copies = 0;
};

class world {
 public:
  world(std::string record_path, std::string tmp, bool trouble);
  ~world();

  // Deployment; called before run().
  void add_node(const std::string& zone);
  size_t add_endpoint(const std::string& service, const std::string& zone);
  void set_config(const std::string& json);
  void put_config(const std::string& json) {
    store_->put("config", "main", json);
  }
  void add_load(const std::string& zone, uint16_t port, double per_s);
  void start_nodes();

  // The scenario: actions at times since the start of traffic.
  void at(ms when, std::function<void()> action) {
    actions_.emplace(when, std::move(action));
  }
  ms traffic_time() const { return now() - traffic_start_; }
  void run(ms duration);

  void start_endpoint(size_t i, bool cold);
  void crash_endpoint(size_t i);
  void drain_endpoint(size_t i);
  void leave(size_t i);
  void set_store_silent(bool silent);
  void restore_store(ms age);

  void start_node(size_t i);
  void kill_node(size_t i, int signal);

  endpoint& at_endpoint(size_t i) { return *endpoints_[i]; }
  size_t endpoint_count() const { return endpoints_.size(); }
  size_t node_count() const { return nodes_.size(); }
  node& at_node(size_t i) { return *nodes_[i]; }
  store& platform() { return *store_; }
  std::mt19937_64& random() { return random_; }
  void violation(const std::string& text);
  size_t violations() const { return violations_; }
  size_t served() const { return served_; }
  size_t failed() const { return failed_; }
  size_t opened() const { return opened_; }
  bool trouble() const { return trouble_; }

  double cold_ms = 2000;
  double cold_bound = 5;  // cold_per_s x cold_overage + cold_slack
  double drain_ms = 3000;
  double work_ms = 22;
  double cold_slowness = 1.6;
  size_t slots = 2;
  size_t queue_places = 8;

 private:
  void write_settings(const node& n, const std::string& path) const;
  void probe_loop(node* n);
  std::string spec_of(const endpoint& e) const;
  void write_entry(size_t i);
  void open_flow(const std::string& zone, uint16_t port);
  void send_opening(client_flow* f);
  void send_request(client_flow* f);
  void send_to_node(const client_flow& f, const packet& p);
  void on_client_packet(const char* data, size_t size);
  void on_endpoint_packet(size_t index, const char* data, size_t size);
  void take_request(size_t index, const packet& p);
  void run_next(size_t index);
  void send_answer(endpoint* e, const packet& p);
  void send_from(endpoint* e, const packet& request, packet reply);
  void check_cold(endpoint* e, const endpoint_flow& f);
  void check_drain(endpoint* e, const endpoint_flow& f);
  void after(ms delay, std::function<void()> action) {
    timers_.emplace(now() + delay, std::move(action));
  }

  std::string tmp_;
  bool store_silent_ = false;
  bool trouble_;
  std::mt19937_64 random_{20261204};
  // Never deleted: its threads run until the program exits.
  store* store_ = nullptr;
  uint16_t base_port_ = 0;
  std::vector<std::unique_ptr<node>> nodes_;
  std::vector<std::unique_ptr<endpoint>> endpoints_;
  std::vector<std::pair<std::string, std::pair<uint32_t, int>>> clients_;
  std::map<uint64_t, client_flow> flows_;
  std::multimap<ms, std::function<void()>> timers_;
  std::multimap<ms, std::function<void()>> actions_;
  std::string run_command_;
  uint16_t next_port_ = 20000;
  ms traffic_start_ = 0;
  std::atomic<bool> stopping_{false};
  std::vector<std::thread> probes_;
  size_t violations_ = 0;
  size_t served_ = 0;
  size_t failed_ = 0;
  size_t opened_ = 0;
  size_t reset_ = 0;
};

constexpr uint32_t route_ip_group = 200;

uint16_t packets_port(uint16_t base) {
  return base;
}
uint16_t ready_port(uint16_t base) {
  return static_cast<uint16_t>(base + 1);
}
uint16_t control_port(uint16_t base) {
  return static_cast<uint16_t>(base + 2);
}
uint16_t internal_port(uint16_t base) {
  return static_cast<uint16_t>(base + 3);
}
uint16_t store_port(uint16_t base) {
  return static_cast<uint16_t>(base + 20);
}

bool port_free(uint32_t ip, uint16_t port) {
  const sockaddr_in a = address_of(ip, port);
  bool out = true;
  for (const int type : {SOCK_DGRAM, SOCK_STREAM}) {
    const int fd = socket(AF_INET, type, 0);
    out =
        out && bind(fd, reinterpret_cast<const sockaddr*>(&a), sizeof(a)) == 0;
    close(fd);
  }
  return out;
}

world::world(std::string record_path, std::string tmp, bool trouble)
    : tmp_(std::move(tmp)), trouble_(trouble) {
  record_file = fopen(record_path.c_str(), "w");
  if (record_file == nullptr)
    cannot_run("cannot write " + record_path);
  const auto pid = static_cast<uint32_t>(getpid());
  net_byte = 16 + pid % 200;
  for (uint16_t base = static_cast<uint16_t>(21000 + pid * 37 % 8000);;
       base = static_cast<uint16_t>(base + 40)) {
    bool free = true;
    for (uint16_t i = 0; i < 24; ++i)
      free = free && port_free(loopback_address(1, 1), base + i);
    if (free) {
      base_port_ = base;
      break;
    }
    if (base > 60000)
      cannot_run("no free ports");
  }
  std::ifstream deploy("deploy/system.toml");
  std::string line;
  while (std::getline(deploy, line)) {
    if (line.rfind("run", 0) == 0) {
      const size_t first = line.find('"');
      run_command_ = line.substr(first + 1, line.rfind('"') - first - 1);
    }
  }
  if (run_command_.empty() || access(run_command_.c_str(), X_OK) != 0)
    cannot_run("the program of deploy/system.toml is not built");
  store_ = new store(loopback_address(4, 1), store_port(base_port_));
}

world::~world() {
  stopping_ = true;
  for (const auto& n : nodes_) {
    if (n->pid > 0) {
      kill(n->pid, SIGKILL);
      waitpid(n->pid, nullptr, 0);
    }
  }
  for (auto& t : probes_)
    t.join();
}

void world::violation(const std::string& text) {
  ++violations_;
  record("BROKEN %s", text.c_str());
}

void world::add_node(const std::string& zone) {
  auto n = std::make_unique<node>();
  n->zone = zone;
  n->ip = loopback_address(1, static_cast<uint32_t>(nodes_.size() + 1));
  n->name = "front-" + zone + "-" + std::to_string(nodes_.size() + 1);
  nodes_.push_back(std::move(n));
}

void replace_all(std::string* text,
                 const std::string& from,
                 const std::string& to) {
  for (size_t at = text->find(from); at != std::string::npos;
       at = text->find(from, at + to.size()))
    text->replace(at, from.size(), to);
}

void world::write_settings(const node& n, const std::string& path) const {
  std::ifstream in("deploy/turmericd.ini.tpl");
  std::stringstream whole;
  whole << in.rdbuf();
  std::string text = whole.str();
  std::string seeds;
  for (size_t i = 0; i < std::min<size_t>(3, nodes_.size()); ++i) {
    seeds += (seeds.empty() ? "" : ",") + text_of(nodes_[i]->ip) + ":" +
             std::to_string(control_port(base_port_));
  }
  const std::string ip = text_of(n.ip);
  const std::vector<std::pair<std::string, std::string>> values = {
      {"node_name", n.name},
      {"zone", n.zone},
      {"ip", ip},
      {"listen.packet_addr",
       ip + ":" + std::to_string(packets_port(base_port_))},
      {"listen.ready", ip + ":" + std::to_string(ready_port(base_port_))},
      {"internal_port_range.0", std::to_string(internal_port(base_port_))},
      {"internal_port_range.1", std::to_string(internal_port(base_port_) + 1)},
      {"seeds", seeds},
      {"platform.address", text_of(loopback_address(4, 1)) + ":" +
                               std::to_string(store_port(base_port_))},
      {"bootstrap", n.first_start ? "true" : "false"},
      {"bounds.grace_s", "6"},
      {"bounds.max_flow_s", "60"},
      {"bounds.stable_window_ms", "4000"},
      {"bounds.cold_overage", "1.5"},
      {"bounds.cold_slack", "5"}};
  for (const auto& [name, value] : values)
    replace_all(&text, "{{" + name + "}}", value);
  if (text.find("{{") != std::string::npos)
    cannot_run("placeholder without a value in deploy/turmericd.ini.tpl");
  std::ofstream(path) << text;
}

void world::start_node(size_t i) {
  node& n = *nodes_[i];
  const std::string settings = tmp_ + "/" + n.name + ".ini";
  write_settings(n, settings);
  n.first_start = false;
  const std::string variable = "TURMERICSTREAM_SETTINGS=" + settings;
  const std::string log = tmp_ + "/" + n.name + ".log";
  const std::string path =
      std::string("PATH=") + (getenv("PATH") ? getenv("PATH") : "/usr/bin");
  const pid_t pid = fork();
  if (pid < 0)
    cannot_run("cannot start a process");
  if (pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(out, 1);
    dup2(out, 2);
    std::vector<std::string> words;
    std::istringstream split(run_command_);
    for (std::string word; split >> word;)
      words.push_back(word);
    std::vector<char*> argv;
    for (auto& word : words)
      argv.push_back(word.data());
    argv.push_back(nullptr);
    std::vector<char*> env = {const_cast<char*>(variable.c_str()),
                              const_cast<char*>(path.c_str()), nullptr};
    execve(argv[0], argv.data(), env.data());
    _exit(127);
  }
  n.pid = pid;
  record("%s started as process %d", n.name.c_str(), pid);
}

void world::kill_node(size_t i, int signal) {
  node& n = *nodes_[i];
  record("%s gets signal %d", n.name.c_str(), signal);
  kill(n.pid, signal);
  if (signal == SIGKILL) {
    waitpid(n.pid, nullptr, 0);
    n.pid = -1;
  }
}

void world::start_nodes() {
  for (size_t i = 0; i < nodes_.size(); ++i) {
    start_node(i);
    probes_.emplace_back([this, n = nodes_[i].get()] { probe_loop(n); });
  }
  const ms deadline = now() + 15000;
  while (std::any_of(nodes_.begin(), nodes_.end(),
                     [](const auto& n) { return !n->in_rotation(); })) {
    if (now() > deadline)
      cannot_run("the balancers did not become ready");
    usleep(20000);
  }
  record("all %zu balancers are ready", nodes_.size());
}

// Probes the ready address twice a second, as the platform does.
void world::probe_loop(node* n) {
  while (!stopping_) {
    const ms due = now() + 500;
    bool ready = false;
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const timeval limit{0, 450000};
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
    const sockaddr_in a = address_of(n->ip, ready_port(base_port_));
    if (connect(fd, reinterpret_cast<const sockaddr*>(&a), sizeof(a)) == 0) {
      const std::string request =
          "GET /v1/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
      char buffer[64] = {};
      if (send(fd, request.data(), request.size(), MSG_NOSIGNAL) > 0 &&
          recv(fd, buffer, sizeof(buffer) - 1, 0) > 0)
        ready = std::strstr(buffer, " 200 ") != nullptr;
    }
    close(fd);
    const bool before = n->in_rotation();
    n->misses = ready ? 0 : std::min<int>(n->misses + 1, 2);
    if (before != n->in_rotation())
      record("%s is %s rotation", n->name.c_str(), before ? "out of" : "in");
    while (!stopping_ && now() < due)
      usleep(10000);
  }
}

size_t world::add_endpoint(const std::string& service,
                           const std::string& zone) {
  auto e = std::make_unique<endpoint>();
  const size_t index = endpoints_.size();
  char id[32];
  snprintf(id, sizeof(id), "i-%08x",
           static_cast<unsigned>(random_() & 0x7fffffff) | 1u);
  e->id = id;
  e->number = std::strtoull(id + 2, nullptr, 16);
  e->service = service;
  e->zone = zone;
  e->ip = loopback_address(2, static_cast<uint32_t>(index + 1));
  e->port = static_cast<uint16_t>(base_port_ + 21);
  e->fd = bound_udp(e->ip, e->port);
  endpoints_.push_back(std::move(e));
  return index;
}

std::string world::spec_of(const endpoint& e) const {
  const double left =
      e.starts_cold ? std::max(0.0, e.started + cold_ms - now()) : 0.0;
  return "{\"service\":\"" + e.service + "\",\"address\":\"" + text_of(e.ip) +
         ":" + std::to_string(e.port) + "\",\"zone\":\"" + e.zone +
         "\",\"version\":\"v1\",\"slots\":2,\"state\":\"" +
         (e.draining ? "draining" : "ready") +
         "\",\"cold_left_ms\":" + std::to_string(static_cast<int>(left)) +
         ",\"born\":" + std::to_string(e.born) + ",\"seq\":0}";
}

// Registers before it takes packets: from this call on, it answers.
void world::start_endpoint(size_t i, bool cold) {
  endpoint& e = *endpoints_[i];
  e.started = now();
  e.starts_cold = cold;
  e.draining = false;
  e.drain_acked = 0;
  e.born = static_cast<uint64_t>(time(nullptr)) * 1000 + i;
  e.flows.clear();
  e.cold_openings.clear();
  e.queue.clear();
  e.busy = 0;
  ++e.lifetime;
  write_entry(i);
  // Datagrams that came while it was down are lost.
  char buffer[2048];
  while (recv(e.fd, buffer, sizeof(buffer), 0) >= 0) {
  }
  e.alive = true;
  record("endpoint %s (%s, %s) started%s", e.id.c_str(), e.service.c_str(),
         e.zone.c_str(), cold ? ", cold" : "");
  const size_t lifetime = e.lifetime;
  for (int beat = 1; cold && beat <= 2; ++beat) {
    after(1200.0 * beat, [this, i, lifetime] {
      endpoint& again = *endpoints_[i];
      if (again.alive && again.lifetime == lifetime)
        write_entry(i);
    });
  }
}

// Writes the endpoint's entry; while the store is silent, repeats the call
// every 200 ms.
void world::write_entry(size_t i) {
  const endpoint& e = *endpoints_[i];
  if (!store_silent_) {
    store_->put("servers", e.id, spec_of(e));
    return;
  }
  const size_t lifetime = e.lifetime;
  after(200, [this, i, lifetime] {
    if (endpoints_[i]->alive && endpoints_[i]->lifetime == lifetime)
      write_entry(i);
  });
}

void world::set_store_silent(bool silent) {
  store_silent_ = silent;
  store_->set_silent(silent);
  record(silent ? "the store falls silent" : "the store answers again");
}

// Lets the store return from a copy. Each endpoint writes its entry again at
// its next ping.
void world::restore_store(ms age) {
  store_silent_ = false;
  store_->set_silent(false);
  store_->restore(age);
  record("the store is back from a copy %.0f ms old", age);
  std::uniform_real_distribution<double> ping(0, 1200);
  for (size_t i = 0; i < endpoints_.size(); ++i) {
    const size_t lifetime = endpoints_[i]->lifetime;
    after(ping(random_), [this, i, lifetime] {
      if (endpoints_[i]->alive && endpoints_[i]->lifetime == lifetime)
        write_entry(i);
    });
  }
}

void world::crash_endpoint(size_t i) {
  endpoint& e = *endpoints_[i];
  e.alive = false;
  e.flows.clear();
  record("endpoint %s crashed", e.id.c_str());
}

void world::drain_endpoint(size_t i) {
  endpoint& e = *endpoints_[i];
  e.draining = true;
  store_->put("servers", e.id, spec_of(e));
  e.drain_acked = now();
  record("endpoint %s drains, acknowledged by the store", e.id.c_str());
}

void world::leave(size_t i) {
  endpoint& e = *endpoints_[i];
  store_->remove("servers", e.id);
  e.alive = false;
  record("endpoint %s left; %zu requests that it had accepted get no answer",
         e.id.c_str(), e.busy + e.queue.size());
}

void world::add_load(const std::string& zone, uint16_t port, double per_s) {
  const auto host = static_cast<uint32_t>(clients_.size() + 1);
  const uint32_t ip = loopback_address(3, host);
  clients_.push_back({zone, {ip, bound_udp(ip, packets_port(base_port_))}});
  auto next = std::make_shared<std::function<void()>>();
  *next = [this, zone, port, per_s, next] {
    open_flow(zone, port);
    std::exponential_distribution<double> gap(per_s / 1e3);
    after(gap(random_), *next);
  };
  actions_.emplace(0.0, *next);
}

void world::open_flow(const std::string& zone, uint16_t port) {
  std::vector<size_t> own;
  for (size_t i = 0; i < clients_.size(); ++i) {
    if (clients_[i].first == zone)
      own.push_back(i);
  }
  client_flow f;
  f.ip = clients_[own[random_() % own.size()]].second.first;
  f.zone = zone;
  f.port = next_port_ = next_port_ == 65535 ? 1024 : next_port_ + 1;
  f.dst = loopback_address(route_ip_group, 1);
  f.dport = port;
  f.seq = static_cast<uint32_t>(random_());
  f.opened = now();
  ++opened_;
  const uint64_t key = static_cast<uint64_t>(f.ip) << 16 | f.port;
  client_flow& added = flows_[key] = f;
  record("sent %s:%u", text_of(f.ip).c_str(), f.port);
  send_opening(&added);
  const ms opened = f.opened;
  for (const ms delay : {200.0, 600.0}) {
    after(delay, [this, key, opened] {
      const auto it = flows_.find(key);
      if (it != flows_.end() && it->second.opened == opened &&
          !it->second.open && !it->second.done)
        send_opening(&it->second);
    });
  }
  after(1400, [this, key, opened] {
    const auto it = flows_.find(key);
    if (it == flows_.end() || it->second.opened != opened || it->second.open)
      return;
    if (!it->second.done) {
      ++failed_;
      record("failed %s:%u", text_of(it->second.ip).c_str(), it->second.port);
    }
    flows_.erase(it);
  });
  after(3000, [this, key, opened] {
    const auto it = flows_.find(key);
    if (it == flows_.end() || it->second.opened != opened)
      return;
    if (!it->second.done) {
      ++failed_;
      record("failed %s:%u", text_of(it->second.ip).c_str(), it->second.port);
    }
    flows_.erase(it);
  });
}

// The router: hashes the four addresses and ports over the nodes of the
// client's zone that are in rotation.
void world::send_to_node(const client_flow& f, const packet& p) {
  std::vector<const node*> zone;
  std::vector<const node*> rotation;
  std::vector<const node*> others;
  for (const auto& n : nodes_) {
    if (n->zone == f.zone)
      zone.push_back(n.get());
    if (n->zone == f.zone && n->in_rotation())
      rotation.push_back(n.get());
    if (n->zone != f.zone && n->in_rotation())
      others.push_back(n.get());
  }
  if (rotation.size() * 2 < zone.size())
    rotation = rotation.empty() ? others : zone;
  if (rotation.empty())
    return;
  uint64_t hash =
      (static_cast<uint64_t>(f.ip) << 32 | f.dst) * 0x9e3779b97f4a7c15ull;
  hash =
      (hash ^ (hash >> 29) ^ (static_cast<uint64_t>(f.port) << 16) ^ f.dport) *
      0xbf58476d1ce4e5b9ull;
  const node* to = rotation[(hash >> 20) % rotation.size()];
  const sockaddr_in a = address_of(to->ip, packets_port(base_port_));
  const std::string raw = encoded(p);
  for (const auto& c : clients_) {
    if (c.second.first == f.ip) {
      sendto(c.second.second, raw.data(), raw.size(), 0,
             reinterpret_cast<const sockaddr*>(&a), sizeof(a));
      return;
    }
  }
}

void world::send_opening(client_flow* f) {
  packet p;
  p.flags = syn;
  p.sport = f->port;
  p.dport = f->dport;
  p.dst = f->dst;
  p.src = f->ip;
  p.seq = f->seq;
  p.acked = static_cast<uint32_t>(f->copies++);
  f->copy_sent = now();
  send_to_node(*f, p);
}

void world::send_request(client_flow* f) {
  packet p;
  p.flags = ack;
  p.sport = f->port;
  p.dport = f->dport;
  p.dst = f->dst;
  p.src = f->ip;
  p.seq = f->seq + 1;
  p.acked = f->peer_next;
  p.echo = f->echo;
  p.data = "GET / HTTP/1.1\r\nTurmericstream-Request-Id: " +
           std::to_string(f->opened) + "\r\n\r\n";
  send_to_node(*f, p);
  if (f->request_copies++ >= 4)
    return;
  const uint64_t key = static_cast<uint64_t>(f->ip) << 16 | f->port;
  const ms opened = f->opened;
  after(200.0 * (1 << (f->request_copies - 1)), [this, key, opened] {
    const auto it = flows_.find(key);
    if (it != flows_.end() && it->second.opened == opened && !it->second.done)
      send_request(&it->second);
  });
}

void world::on_client_packet(const char* data, size_t size) {
  packet p;
  bool sum_right = false;
  if (!decode(data, size, &p, &sum_right))
    return violation("MIXED a client got a packet that cannot be read");
  const uint64_t key = static_cast<uint64_t>(p.dst) << 16 | p.dport;
  const auto it = flows_.find(key);
  const bool own_reset =
      (p.flags & rst) != 0 && p.data.empty() && get_number(data, 4) == 0;
  if (!sum_right && !own_reset)
    violation("MIXED a client got a packet that its sender did not write so");
  if (it == flows_.end() || it->second.done)
    return;
  client_flow& f = it->second;
  if ((p.flags & rst) != 0) {
    ++reset_;
    ++failed_;
    record("reset %s:%u", text_of(f.ip).c_str(), f.port);
    f.done = true;
    return;
  }
  if ((p.flags & syn) != 0) {
    if (f.open)
      return;  // Of another endpoint, or a copy.
    f.open = true;
    f.echo = p.echo;
    f.peer_next = p.seq + 1;
    send_request(&f);
    return;
  }
  if (!f.open || p.seq != f.peer_next)
    return;
  f.echo = p.echo;
  f.done = true;
  const bool success = p.data.rfind("HTTP/1.1 200", 0) == 0;
  ++(success ? served_ : failed_);
  record("answered %s:%u %s", text_of(f.ip).c_str(), f.port,
         success ? "200" : "503, not run");
  packet last;
  last.flags = ack | fin;
  last.sport = f.port;
  last.dport = f.dport;
  last.dst = f.dst;
  last.src = f.ip;
  last.seq = p.acked;
  last.acked = p.seq + static_cast<uint32_t>(p.data.size()) + 1;
  last.echo = f.echo;
  send_to_node(f, last);
}

void world::send_from(endpoint* e, const packet& request, packet reply) {
  reply.sport = request.dport;
  reply.dport = request.sport;
  reply.src = request.dst;
  reply.dst = request.src;
  reply.echo = request.echo;
  const std::string raw = encoded(reply);
  const sockaddr_in a = address_of(request.src, packets_port(base_port_));
  sendto(e->fd, raw.data(), raw.size(), 0,
         reinterpret_cast<const sockaddr*>(&a), sizeof(a));
}

void world::on_endpoint_packet(size_t index, const char* data, size_t size) {
  endpoint* e = endpoints_[index].get();
  if (!e->alive || size < prefix_bytes)
    return;
  const uint64_t number = get_number(data, prefix_bytes);
  if (number != 0 && number != e->number)
    return;  // Not the intended endpoint.
  packet p;
  bool sum_right = false;
  if (!decode(data + prefix_bytes, size - prefix_bytes, &p, &sum_right) ||
      !sum_right)
    return violation("UNASKED endpoint " + e->id +
                     " got a packet that its sender did not write so");
  const uint64_t key = static_cast<uint64_t>(p.src) << 16 | p.sport;
  if ((p.flags & syn) != 0) {
    const auto sender = flows_.find(key);
    endpoint_flow f;
    f.seq = static_cast<uint32_t>(random_());
    f.expected = p.seq + 1;
    f.opening_arrived = now();
    f.opening_sent = sender == flows_.end() ? now() : sender->second.copy_sent;
    const endpoint_flow& kept = e->flows.try_emplace(key, f).first->second;
    packet reply;
    reply.flags = syn | ack;
    reply.seq = kept.seq;
    reply.acked = kept.expected;
    return send_from(e, p, reply);
  }
  const auto it = e->flows.find(key);
  if ((p.flags & (rst | fin)) != 0) {
    e->flows.erase(key);
    return;
  }
  if (it == e->flows.end()) {
    packet reply;
    reply.flags = rst;
    reply.seq = p.acked;
    return send_from(e, p, reply);
  }
  endpoint_flow& f = it->second;
  if (!f.open && p.acked != f.seq + 1)
    return;  // The client acknowledged another endpoint's SYN+ACK.
  f.open = true;
  if (p.data.empty())
    return;
  if (!f.answer.empty())
    return send_answer(e, p);
  if (!f.taken)
    take_request(index, p);
}

// Queues a request, or rejects it if the queue is full.
void world::take_request(size_t index, const packet& p) {
  endpoint* e = endpoints_[index].get();
  endpoint_flow& f = e->flows[static_cast<uint64_t>(p.src) << 16 | p.sport];
  f.taken = true;
  if (e->busy >= slots && e->queue.size() >= queue_places) {
    f.answer =
        "HTTP/1.1 503 Busy\r\nTurmericstream-Not-Executed: 1\r\n"
        "Content-Length: 0\r\n\r\n";
    record("rejected %s:%u at %s, its queue is full", text_of(p.src).c_str(),
           p.sport, e->id.c_str());
    return send_answer(e, p);
  }
  check_cold(e, f);
  check_drain(e, f);
  e->queue.push_back(p);
  run_next(index);
}

void world::run_next(size_t index) {
  endpoint* e = endpoints_[index].get();
  while (e->busy < slots && !e->queue.empty()) {
    const packet p = e->queue.front();
    e->queue.pop_front();
    ++e->busy;
    ++e->ran;
    record("ran %s:%u at %s", text_of(p.src).c_str(), p.sport, e->id.c_str());
    const bool cold = e->starts_cold && now() < e->started + cold_ms;
    const size_t lifetime = e->lifetime;
    after(work_ms * (cold ? cold_slowness : 1), [this, index, lifetime, p] {
      endpoint* again = endpoints_[index].get();
      if (!again->alive || again->lifetime != lifetime)
        return;
      --again->busy;
      const auto it =
          again->flows.find(static_cast<uint64_t>(p.src) << 16 | p.sport);
      if (it != again->flows.end()) {
        it->second.answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
        send_answer(again, p);
      }
      run_next(index);
    });
  }
}

void world::send_answer(endpoint* e, const packet& p) {
  const endpoint_flow& f =
      e->flows[static_cast<uint64_t>(p.src) << 16 | p.sport];
  packet reply;
  reply.flags = ack | fin;
  reply.seq = f.seq + 1;
  reply.acked = p.seq + static_cast<uint32_t>(p.data.size());
  reply.data = f.answer;
  send_from(e, p, reply);
}

void world::check_cold(endpoint* e, const endpoint_flow& f) {
  if (!e->starts_cold || now() >= e->started + cold_ms)
    return;
  e->cold_openings.push_back({f.opening_sent, f.opening_arrived});
  // Those sent and arrived within the second before this arrival.
  size_t count = 0;
  for (const auto& [sent, arrived] : e->cold_openings) {
    if (sent > f.opening_arrived - 1000 && arrived <= f.opening_arrived)
      ++count;
  }
  record("cold endpoint %s, %.0f ms old, took an opening: %zu in a second",
         e->id.c_str(), f.opening_arrived - e->started, count);
  if (static_cast<double>(count) > cold_bound)
    violation("FAILBACK endpoint " + e->id + " took " + std::to_string(count) +
              " requests in one second while cold");
}

void world::check_drain(endpoint* e, const endpoint_flow& f) {
  if (e->drain_acked == 0 || f.opening_sent <= e->drain_acked + drain_ms)
    return;
  violation(
      "DRAIN endpoint " + e->id + " took a request " +
      std::to_string(static_cast<int>(f.opening_arrived - e->drain_acked)) +
      " ms after its drain was acknowledged");
}

void world::run(ms duration) {
  traffic_start_ = now();
  record("traffic starts");
  std::vector<pollfd> fds;
  for (const auto& c : clients_)
    fds.push_back({c.second.second, POLLIN, 0});
  for (const auto& e : endpoints_)
    fds.push_back({e->fd, POLLIN, 0});
  char buffer[2048];
  while (traffic_time() < duration && interrupted == 0) {
    while (!actions_.empty() && actions_.begin()->first <= traffic_time()) {
      const auto action = actions_.begin()->second;
      actions_.erase(actions_.begin());
      action();
    }
    while (!timers_.empty() && timers_.begin()->first <= now()) {
      const auto timer = timers_.begin()->second;
      timers_.erase(timers_.begin());
      timer();
    }
    const ms next = timers_.empty() ? now() + 20 : timers_.begin()->first;
    const int wait = static_cast<int>(std::clamp(next - now(), 0.0, 20.0));
    if (poll(fds.data(), fds.size(), wait) <= 0)
      continue;
    for (size_t i = 0; i < fds.size(); ++i) {
      if ((fds[i].revents & POLLIN) == 0)
        continue;
      while (true) {
        const ssize_t n = recv(fds[i].fd, buffer, sizeof(buffer), 0);
        if (n < 0)
          break;
        if (i < clients_.size())
          on_client_packet(buffer, static_cast<size_t>(n));
        else
          on_endpoint_packet(i - clients_.size(), buffer,
                             static_cast<size_t>(n));
      }
    }
  }
  record(
      "traffic ends: %zu flows opened, %zu served, %zu failed (%zu by "
      "resets); %llu calls to the store",
      opened_, served_, failed_, reset_,
      static_cast<unsigned long long>(store_->calls()));
  for (const auto& e : endpoints_)
    record("endpoint %s (%s, %s) ran %zu requests", e->id.c_str(),
           e->service.c_str(), e->zone.c_str(), e->ran);
}

// ------------------------------------------------------------- scenarios

const std::array<const char*, 4> zones = {"sapporo", "asahikawa", "kushiro",
                                          "obihiro"};

std::string config_json(uint64_t version) {
  const std::string host = text_of(loopback_address(route_ip_group, 1));
  return "{\"version\":" + std::to_string(version) +
         ",\"routes\":[{\"name\":\"r-card\",\"host\":\"" + host +
         "\",\"path_prefix\":\"/8080/\",\"route_type\":\"safe\","
         "\"timeout_ms\":800,\"target_latency_ms\":120,\"priority\":2,"
         "\"service\":\"table-desk\",\"max_attempts\":2},"
         "{\"name\":\"r-archive\",\"host\":\"" +
         host +
         "\",\"path_prefix\":\"/8443/\",\"route_type\":\"download\","
         "\"timeout_ms\":3000,\"target_latency_ms\":500,\"priority\":2,"
         "\"service\":\"archive-shelf\",\"max_attempts\":2}],"
         "\"services\":[{\"name\":\"archive-shelf\",\"health_path\":"
         "\"/health\",\"max_conns\":2000,\"protocol\":\"h1\",\"tls\":false,"
         "\"cold_start_s\":2.0,\"cold_per_s\":0.0},"
         "{\"name\":\"table-desk\",\"health_path\":\"/health\","
         "\"max_conns\":2000,\"protocol\":\"h1\",\"tls\":false,"
         "\"cold_start_s\":2.0,\"cold_per_s\":0.0}],"
         "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,"
         "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
}

// Six balancers, and the endpoints and clients of both services, as in the
// installation kitakiroku.
// @param load_share Of the usual load of table-desk.
// @return The index of the first endpoint of archive-shelf.
size_t add_kitakiroku(world* w, double load_share) {
  const std::array<size_t, 4> node_counts = {2, 2, 1, 1};
  const std::array<size_t, 4> endpoint_counts = {4, 4, 3, 3};
  const std::array<double, 4> per_s = {83, 111, 95, 87};
  const std::array<double, 4> archive_per_s = {5.5, 7.4, 6.3, 5.8};
  for (size_t z = 0; z < zones.size(); ++z) {
    for (size_t i = 0; i < node_counts[z]; ++i)
      w->add_node(zones[z]);
    for (size_t i = 0; i < endpoint_counts[z]; ++i)
      w->add_endpoint("table-desk", zones[z]);
    w->add_load(zones[z], 8080, per_s[z] * load_share);
  }
  const size_t first_archive = w->endpoint_count();
  for (size_t z = 0; z < zones.size(); ++z) {
    w->add_endpoint("archive-shelf", zones[z]);
    w->add_load(zones[z], 8443, archive_per_s[z]);
  }
  w->put_config(config_json(7));
  for (size_t i = 0; i < w->endpoint_count(); ++i)
    w->start_endpoint(i, false);
  w->start_nodes();
  return first_archive;
}

// Stores an entry of another writer, of the form that the environment variable
// FORM names. All are valid JSON.
void put_foreign_entry(world* w) {
  const std::map<std::string, std::string> forms = {
      // A text that ends in the first half of a surrogate pair, as JSON
      // encoders write a string that was cut in the middle of a character.
      {"text", "\"zone\":\"moved \\ud83d\""},
      {"number", "\"slots\":1e400"},
      {"array", "\"slots\":" + std::string(600, '[') + std::string(600, ']')}};
  const char* form = getenv("FORM");
  const auto it = forms.find(form == nullptr ? "text" : form);
  if (it == forms.end())
    cannot_run("FORM is text, number or array");
  w->platform().put("servers", "note-1",
                    "{\"service\":\"table-desk\"," + it->second + "}");
  record("another writer's entry is stored at servers/note-1");
}

// A planned drain after an entry of another writer.
void foreign_entry(world* w) {
  add_kitakiroku(w, 0.5);
  if (w->trouble())
    w->at(5000, [w] { put_foreign_entry(w); });
  w->at(8000, [w] {
    w->drain_endpoint(0);
    w->drain_endpoint(5);
  });
  w->at(18000, [w] {
    w->leave(0);
    w->leave(5);
  });
  w->run(20000);
}

// All processes are killed after an entry of another writer.
void foreign_entry_restart(world* w) {
  add_kitakiroku(w, 0.5);
  if (w->trouble())
    w->at(5000, [w] { put_foreign_entry(w); });
  for (size_t i = 0; i < w->node_count(); ++i) {
    w->at(8000, [w, i] { w->kill_node(i, SIGKILL); });
    w->at(8700, [w, i] { w->start_node(i); });
  }
  // RECOVER: from recovery_s (12 s) after the machines are back.
  const auto before = std::make_shared<std::pair<size_t, size_t>>();
  w->at(20700, [w, before] { *before = {w->opened(), w->served()}; });
  w->at(27000, [w, before] {
    const size_t opened = w->opened() - before->first;
    const size_t served = w->served() - before->second;
    record("from 12 s after the restart: %zu of %zu requests served", served,
           opened);
    if (served * 4 < opened)
      w->violation("RECOVER less than a quarter of the requests is served");
  });
  w->run(27500);
}

// All endpoints of table-desk crash and start again under their ids.
void same_id(world* w) {
  const size_t count = add_kitakiroku(w, 1.0);
  if (w->trouble()) {
    std::uniform_real_distribution<double> back(9500, 11000);
    for (size_t i = 0; i < count; ++i) {
      w->at(8000, [w, i] { w->crash_endpoint(i); });
      w->at(back(w->random()), [w, i] { w->start_endpoint(i, true); });
    }
  }
  w->run(16000);
}

// All endpoints of archive-shelf crash and start again under their ids while
// the store is silent.
void restart_unseen(world* w, ms down) {
  const size_t first = add_kitakiroku(w, 0.5);
  if (w->trouble()) {
    w->at(8000, [w] { w->set_store_silent(true); });
    for (size_t i = first; i < w->endpoint_count(); ++i) {
      w->at(9000, [w, i] { w->crash_endpoint(i); });
      w->at(9000 + down, [w, i] { w->start_endpoint(i, true); });
    }
    w->at(12500, [w] { w->set_store_silent(false); });
  }
  w->run(16000);
}

// Long enough that every balancer finds the endpoints silent.
void unseen_restart(world* w) {
  restart_unseen(w, 1000);
}

// So short that few openings meet the restart.
void unseen_restart_short(world* w) {
  restart_unseen(w, 200);
}

// All endpoints of table-desk start again under their ids; then the store comes
// back from a copy made before, while all processes start again.
void restored_cold(world* w) {
  const size_t count = add_kitakiroku(w, 1.0);
  if (w->trouble()) {
    for (size_t i = 0; i < count; ++i) {
      w->at(8000, [w, i] { w->crash_endpoint(i); });
      w->at(10500, [w, i] { w->start_endpoint(i, true); });
    }
    w->at(10600, [w] { w->set_store_silent(true); });
    w->at(10900, [w] { w->restore_store(2000); });
    for (size_t i = 0; i < w->node_count(); ++i) {
      w->at(10600, [w, i] { w->kill_node(i, SIGKILL); });
      w->at(11100, [w, i] { w->start_node(i); });
    }
  }
  w->run(16000);
}

}  // namespace

int main(int argc, char** argv) {
  std::map<std::string, std::string> options;
  for (int i = 1; i + 1 < argc; i += 2)
    options[argv[i]] = argv[i + 1];
  const std::map<std::string, void (*)(world*)> scenarios = {
      {"foreign-entry", foreign_entry},
      {"foreign-entry-restart", foreign_entry_restart},
      {"same-id", same_id},
      {"unseen-restart", unseen_restart},
      {"unseen-restart-short", unseen_restart_short},
      {"restored-cold", restored_cold}};
  const auto scenario = scenarios.find(options["--scenario"]);
  if (scenario == scenarios.end() || options["--record"].empty() ||
      options["--tmp"].empty())
    cannot_run("see the head of world.cc for the options");
  struct sigaction stop {};
  stop.sa_handler = [](int) { interrupted = 1; };
  sigaction(SIGTERM, &stop, nullptr);
  sigaction(SIGINT, &stop, nullptr);
  signal(SIGPIPE, SIG_IGN);
  size_t violations = 0;
  bool served = false;
  {
    world w(options["--record"], options["--tmp"], options["--trouble"] != "0");
    scenario->second(&w);
    violations = w.violations();
    served = w.served() > 0;
  }
  if (interrupted != 0 || !served)
    cannot_run(interrupted != 0 ? "interrupted" : "no request was served");
  record("%zu times the rule was broken", violations);
  fclose(record_file);
  _exit(violations == 0 ? 0 : 1);
}
