// Surroundings of a few balancers on loopback addresses: the platform's store
// over HTTP, its routers and probes, clients and endpoints over UDP, the
// collector of the processes' output. Plays one scenario, writes a record and
// judges it: exit code 1 if the rule was broken, 0 if it held, 2 if the case
// could not run.
#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace {

using std::string;

double monotonic_s() {
  timespec t{};
  clock_gettime(CLOCK_BOOTTIME, &t);
  return static_cast<double>(t.tv_sec) + 1e-9 * static_cast<double>(t.tv_nsec);
}
double start_s = monotonic_s();
/** Seconds since the start of this program. */
double now_s() {
  return monotonic_s() - start_s;
}

string format(const char* pattern, ...) {
  char buffer[4096];
  va_list arguments;
  va_start(arguments, pattern);
  vsnprintf(buffer, sizeof(buffer), pattern, arguments);
  va_end(arguments);
  return buffer;
}

std::mutex record_mutex;
FILE* record_file = nullptr;
void record(const string& line) {
  const std::lock_guard<std::mutex> lock(record_mutex);
  fprintf(record_file, "%9.4f %s\n", now_s(), line.c_str());
}

[[noreturn]] void end_processes_and_exit(int code);
[[noreturn]] void cannot_run(const string& why) {
  fprintf(stderr, "cannot run: %s\n", why.c_str());
  end_processes_and_exit(2);
}

uint32_t ip_of(const string& text) {
  in_addr a{};
  inet_pton(AF_INET, text.c_str(), &a);
  return ntohl(a.s_addr);
}
sockaddr_in address_of(uint32_t ip, uint16_t port) {
  sockaddr_in a{};
  a.sin_family = AF_INET;
  a.sin_addr.s_addr = htonl(ip);
  a.sin_port = htons(port);
  return a;
}

// ---------------------------------------------------------------- store

struct store_object {
  uint64_t revision = 0;
  uint64_t created = 0;
  string spec;
};
struct store_event {
  uint64_t revision = 0;
  string kind;
  string json;
};

/** The platform's store: lists and watches over HTTP/1.1; the operator and the
 * endpoints write to it directly. */
class store {
 public:
  void start(uint32_t ip) {
    listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in a = address_of(ip, 0);
    socklen_t size = sizeof(a);
    if (bind(listener_, reinterpret_cast<sockaddr*>(&a), size) != 0 ||
        listen(listener_, 64) != 0)
      cannot_run("no port for the store");
    getsockname(listener_, reinterpret_cast<sockaddr*>(&a), &size);
    port = ntohs(a.sin_port);
    std::thread([this] {
      while (true) {
        sockaddr_in from{};
        socklen_t from_size = sizeof(from);
        const int fd = accept4(listener_, reinterpret_cast<sockaddr*>(&from),
                               &from_size, SOCK_CLOEXEC);
        if (fd >= 0)
          std::thread([this, fd] { serve(fd); }).detach();
      }
    }).detach();
  }

  void put(const string& kind, const string& name, const string& spec) {
    const std::lock_guard<std::mutex> lock(mutex_);
    store_object& object = objects_[kind][name];
    if (object.spec == spec && object.revision != 0)
      return;
    object.revision = ++revision_;
    if (object.created == 0)
      object.created = revision_;
    object.spec = spec;
    history_.push_back({revision_, kind, event_json(name, object, false)});
    changed_.notify_all();
  }

  void remove(const string& kind, const string& name) {
    const std::lock_guard<std::mutex> lock(mutex_);
    auto& all = objects_[kind];
    const auto it = all.find(name);
    if (it == all.end())
      return;
    it->second.revision = ++revision_;
    history_.push_back({revision_, kind, event_json(name, it->second, true)});
    all.erase(it);
    changed_.notify_all();
  }

  /** While muted, watches hear nothing. */
  void set_muted(bool muted) {
    const std::lock_guard<std::mutex> lock(mutex_);
    muted_ = muted;
    changed_.notify_all();
  }

  /** Drops the history and cuts the watches that wait. */
  void forget_history() {
    const std::lock_guard<std::mutex> lock(mutex_);
    history_.clear();
    history_start_ = revision_;
    ++cuts_;
    changed_.notify_all();
  }

  /** While silent, calls get no answer, and their connections stay silent. */
  void set_silent(bool silent) {
    const std::lock_guard<std::mutex> lock(mutex_);
    silent_ = silent;
    changed_.notify_all();
  }

  uint16_t port = 0;

 private:
  enum class outcome { ok, gone, cut, silent };

  static string object_json(const string& name, const store_object& object) {
    return "{\"meta\":{\"name\":\"" + name +
           "\",\"revision\":" + std::to_string(object.revision) +
           ",\"created_rev\":" + std::to_string(object.created) +
           ",\"finalizers\":[],\"deleting\":false},\"spec\":" + object.spec +
           ",\"status\":null}";
  }
  static string event_json(const string& name,
                           const store_object& object,
                           bool deleted) {
    return string("{\"deleted\":") + (deleted ? "true" : "false") +
           ",\"object\":" + object_json(name, object) + "}";
  }

  static uint64_t parameter(const string& target, const string& name) {
    const size_t at = target.find(name + "=");
    return at == string::npos
               ? 0
               : strtoull(target.c_str() + at + name.size() + 1, nullptr, 10);
  }

  string answer(const string& target, outcome* result) {
    const string prefix = "/v1/objects/";
    const size_t query = target.find('?');
    const string kind = target.substr(
        prefix.size(),
        query == string::npos ? string::npos : query - prefix.size());
    std::unique_lock<std::mutex> lock(mutex_);
    *result = silent_ ? outcome::silent : outcome::ok;
    if (silent_)
      return "";
    if (target.find("watch=") != string::npos) {
      const uint64_t since = parameter(target, "watch");
      if (since < history_start_) {
        *result = outcome::gone;
        return "{}";
      }
      const uint64_t cuts = cuts_;
      const auto events = [&] {
        string out;
        if (muted_)
          return out;
        for (const auto& event : history_) {
          if (event.revision > since && event.kind == kind)
            out += (out.empty() ? "" : ",") + event.json;
        }
        return out;
      };
      string found = events();
      const auto until =
          std::chrono::steady_clock::now() +
          std::chrono::milliseconds(parameter(target, "wait_ms"));
      while (found.empty() && cuts_ == cuts && !silent_ &&
             changed_.wait_until(lock, until) == std::cv_status::no_timeout)
        found = events();
      if (cuts_ != cuts || silent_) {
        *result = silent_ ? outcome::silent : outcome::cut;
        return "";
      }
      return "{\"events\":[" + found +
             "],\"store_revision\":" + std::to_string(revision_) + "}";
    }
    string items;
    for (const auto& [name, object] : objects_[kind])
      items += (items.empty() ? "" : ",") + object_json(name, object);
    return "{\"items\":[" + items + "],\"has_more\":false,\"store_revision\":" +
           std::to_string(revision_) + "}";
  }

  void serve(int fd) {
    const int one = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    string received;
    char buffer[4096];
    while (true) {
      const size_t end = received.find("\r\n\r\n");
      if (end == string::npos) {
        const ssize_t size = recv(fd, buffer, sizeof(buffer), 0);
        if (size <= 0)
          break;
        received.append(buffer, static_cast<size_t>(size));
        continue;
      }
      const size_t first = received.find(' ') + 1;
      const string target =
          received.substr(first, received.find(' ', first) - first);
      received.erase(0, end + 4);
      std::this_thread::sleep_for(std::chrono::milliseconds(4));
      outcome result = outcome::ok;
      const string body = answer(target, &result);
      if (result == outcome::silent)
        return;  // The connection stays open and returns nothing further.
      if (result == outcome::cut)
        break;
      const string reply = string("HTTP/1.1 ") +
                           (result == outcome::gone ? "410 Gone" : "200 OK") +
                           "\r\nContent-Type: application/json\r\nStore-Era: "
                           "1\r\nContent-Length: " +
                           std::to_string(body.size()) + "\r\n\r\n" + body;
      if (send_all(fd, reply) < 0)
        break;
    }
    close(fd);
  }
  static int send_all(int fd, const string& data) {
    size_t done = 0;
    while (done < data.size()) {
      const ssize_t sent =
          ::send(fd, data.data() + done, data.size() - done, MSG_NOSIGNAL);
      if (sent <= 0)
        return -1;
      done += static_cast<size_t>(sent);
    }
    return 0;
  }

  int listener_ = -1;
  std::mutex mutex_;
  std::condition_variable changed_;
  uint64_t revision_ = 1;
  uint64_t history_start_ = 0;  ///< Watches from before it get 410.
  uint64_t cuts_ = 0;
  bool muted_ = false;
  bool silent_ = false;
  std::map<string, std::map<string, store_object>> objects_;
  std::deque<store_event> history_;
};

// ------------------------------------------------------------- balancers

struct balancer {
  string name;
  string zone;
  string ip;
  pid_t process = -1;
  int output = -1;  ///< Read end of the pipe from its standard output.
  std::atomic<bool> in_rotation{false};
  std::atomic<bool> ready_once{false};
  std::atomic<int> misses{2};
  std::atomic<bool> ended{false};
};

std::vector<std::unique_ptr<balancer>> balancers;
string folder;  ///< Temporary: settings and logs.
uint16_t packet_port, ready_port, control_port, first_internal_port;
store the_store;
string store_ip = "127.9.4.1";
std::atomic<bool> collector_stalled{false};

void end_processes() {
  for (auto& b : balancers) {
    if (b->process > 0 && !b->ended) {
      kill(b->process, SIGKILL);
      waitpid(b->process, nullptr, 0);
      b->ended = true;
    }
  }
}
void end_processes_and_exit(int code) {
  end_processes();
  fflush(stdout);
  if (record_file != nullptr)
    fflush(record_file);
  if (!folder.empty())
    (void)!system(("rm -rf '" + folder + "'").c_str());
  _exit(code);
}

void replace_all(string* text, const string& from, const string& to) {
  for (size_t at = 0; (at = text->find(from, at)) != string::npos;
       at += to.size())
    text->replace(at, from.size(), to);
}

bool port_is_free(uint16_t port) {
  const int fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
  const int tcp = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in a = address_of(INADDR_ANY, port);
  const bool free =
      bind(fd, reinterpret_cast<const sockaddr*>(&a), sizeof(a)) == 0 &&
      bind(tcp, reinterpret_cast<const sockaddr*>(&a), sizeof(a)) == 0;
  close(fd);
  close(tcp);
  return free;
}

void choose_ports() {
  std::mt19937 random(std::random_device{}());
  for (int tries = 0; tries < 200; ++tries) {
    const auto base = static_cast<uint16_t>(20000 + random() % 10000);
    bool free = true;
    for (uint16_t i = 0; i < 20 && free; ++i)
      free = port_is_free(base + i);
    if (!free)
      continue;
    packet_port = base;
    ready_port = base + 1;
    control_port = base + 2;
    first_internal_port = base + 3;
    return;
  }
  cannot_run("no free ports");
}

/** Fills the template of the deploy file as the platform does. */
string settings_text(const balancer& b, bool first_start) {
  std::ifstream file("deploy/turmericd.ini.tpl");
  if (!file)
    cannot_run("deploy/turmericd.ini.tpl is missing");
  std::stringstream content;
  content << file.rdbuf();
  string text = content.str();
  string seeds;
  for (size_t i = 0; i < std::min<size_t>(3, balancers.size()); ++i)
    seeds += (i == 0 ? "" : ",") + balancers[i]->ip + ":" +
             std::to_string(control_port);
  const std::vector<std::pair<string, string>> fields = {
      {"node_name", b.name},
      {"zone", b.zone},
      {"ip", b.ip},
      {"listen.packet_addr", b.ip + ":" + std::to_string(packet_port)},
      {"listen.ready", b.ip + ":" + std::to_string(ready_port)},
      {"listen.control", b.ip + ":" + std::to_string(control_port)},
      {"internal_port_range.0", std::to_string(first_internal_port)},
      {"internal_port_range.1", std::to_string(first_internal_port + 15)},
      {"seeds", seeds},
      {"platform.address", store_ip + ":" + std::to_string(the_store.port)},
      {"bounds.grace_s", "6"},
      {"bounds.max_flow_s", "60"},
      {"bootstrap", first_start ? "true" : "false"},
      {"bounds.stable_window_ms", "4000"},
      {"bounds.cold_overage", "1.5"},
      {"bounds.cold_slack", "5"}};
  for (const auto& [name, value] : fields)
    replace_all(&text, "{{" + name + "}}", value);
  if (text.find("{{") != string::npos)
    cannot_run("unknown field in deploy/turmericd.ini.tpl");
  return text;
}

void start_balancer(balancer* b, bool first_start) {
  const string path = folder + "/" + b->name + ".ini";
  std::ofstream(path) << settings_text(*b, first_start);
  int ends[2];
  if (pipe2(ends, O_CLOEXEC) != 0)
    cannot_run("no pipe");
  const string setting = "TURMERICSTREAM_SETTINGS=" + path;
  const string home = "HOME=" + folder;
  const string program = "target/apps/turmericd/turmericd";
  const pid_t child = fork();
  if (child == 0) {
    dup2(ends[1], STDOUT_FILENO);
    dup2(ends[1], STDERR_FILENO);
    char* const arguments[] = {const_cast<char*>(program.c_str()), nullptr};
    char* const environment[] = {const_cast<char*>("PATH=/usr/bin:/bin"),
                                 const_cast<char*>(home.c_str()),
                                 const_cast<char*>(setting.c_str()), nullptr};
    execve(program.c_str(), arguments, environment);
    _exit(127);
  }
  close(ends[1]);
  b->process = child;
  b->output = ends[0];
  record("process " + b->name + " started");
}

/** Reads the output of all balancers, except while it is stalled. */
void collect_output() {
  std::map<balancer*, FILE*> logs;
  char buffer[65536];
  while (true) {
    if (collector_stalled) {
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
      continue;
    }
    for (auto& b : balancers) {
      pollfd p{b->output, POLLIN, 0};
      if (b->output < 0 || poll(&p, 1, 5) != 1)
        continue;
      const ssize_t size = read(b->output, buffer, sizeof(buffer));
      FILE*& log = logs[b.get()];
      if (log == nullptr)
        log = fopen((folder + "/" + b->name + ".log").c_str(), "w");
      if (size > 0 && log != nullptr) {
        fwrite(buffer, 1, static_cast<size_t>(size), log);
        fflush(log);
      }
    }
  }
}

/** Sends one probe, as routers do. */
bool probe(const balancer& b) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const sockaddr_in to = address_of(ip_of(b.ip), ready_port);
  connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof(to));
  pollfd p{fd, POLLOUT, 0};
  bool ok = poll(&p, 1, 400) == 1;
  const char request[] =
      "GET /v1/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
  ok = ok && ::send(fd, request, sizeof(request) - 1, MSG_NOSIGNAL) > 0;
  p.events = POLLIN;
  ok = ok && poll(&p, 1, 400) == 1;
  char reply[64] = {};
  ok = ok && recv(fd, reply, sizeof(reply) - 1, 0) > 12 &&
       strncmp(reply + 9, "200", 3) == 0;
  close(fd);
  return ok;
}

void probe_forever(balancer* b) {
  while (true) {
    const bool ok = probe(*b);
    if (ok) {
      if (!b->in_rotation)
        record("router: " + b->name + " in rotation");
      b->misses = 0;
      b->in_rotation = true;
      b->ready_once = true;
    } else if (++b->misses >= 2 && b->in_rotation.exchange(false)) {
      record("router: " + b->name + " out of rotation");
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(ok ? 500 : 100));
  }
}

// --------------------------------------------------- endpoints and clients

constexpr size_t head_bytes = 32;
constexpr uint8_t syn = 128, ack = 2, fin = 4, rst = 8;

struct packet {
  uint8_t flags = 0;
  uint16_t source_port = 0, port = 0;
  uint32_t destination = 0, source = 0;
  uint32_t sequence = 0, acknowledged = 0, echo = 0;
  string data;
};

void put16(uint8_t* p, uint16_t v) {
  p[0] = static_cast<uint8_t>(v >> 8);
  p[1] = static_cast<uint8_t>(v);
}
void put32(uint8_t* p, uint32_t v) {
  put16(p, static_cast<uint16_t>(v >> 16));
  put16(p + 2, static_cast<uint16_t>(v));
}
uint16_t get16(const uint8_t* p) {
  return static_cast<uint16_t>(p[0] << 8 | p[1]);
}
uint32_t get32(const uint8_t* p) {
  return static_cast<uint32_t>(get16(p)) << 16 | get16(p + 2);
}

/** The keyed sum over all fields except echo, pad and BOUNCED. */
uint32_t sum_of(const packet& p) {
  uint64_t h = 0x9e3779b97f4a7c15ULL;
  const auto mix = [&h](uint64_t v) {
    h = (h ^ v) * 0xff51afd7ed558ccdULL;
    h ^= h >> 32;
  };
  mix(p.flags);
  mix(static_cast<uint64_t>(p.source_port) << 16 | p.port);
  mix(static_cast<uint64_t>(p.destination) << 32 | p.source);
  mix(static_cast<uint64_t>(p.sequence) << 32 | p.acknowledged);
  mix(p.data.size());
  for (const char c : p.data)
    mix(static_cast<uint8_t>(c));
  return static_cast<uint32_t>(h) | 1;
}

string bytes_of(const packet& p) {
  string out(head_bytes, '\0');
  auto* b = reinterpret_cast<uint8_t*>(out.data());
  put32(b, sum_of(p));
  b[4] = p.flags;
  put16(b + 6, static_cast<uint16_t>(p.data.size()));
  put16(b + 8, p.source_port);
  put16(b + 10, p.port);
  put32(b + 12, p.destination);
  put32(b + 16, p.source);
  put32(b + 20, p.sequence);
  put32(b + 24, p.acknowledged);
  put32(b + 28, p.echo);
  return out + p.data;
}

/** @return Whether the packet is whole; @p genuine if its sum is right. */
bool read_packet(const uint8_t* b, size_t size, packet* p, bool* genuine) {
  if (size < head_bytes)
    return false;
  p->flags = b[4];
  p->source_port = get16(b + 8);
  p->port = get16(b + 10);
  p->destination = get32(b + 12);
  p->source = get32(b + 16);
  p->sequence = get32(b + 20);
  p->acknowledged = get32(b + 24);
  p->echo = get32(b + 28);
  p->data.assign(reinterpret_cast<const char*>(b) + head_bytes,
                 size - head_bytes);
  *genuine = get32(b) == sum_of(*p);
  return true;
}

using flow_id = std::tuple<uint32_t, uint16_t, uint32_t, uint16_t>;

struct served_flow {
  uint32_t own = 0;  ///< Sequence number of the SYN+ACK.
  uint32_t echo = 0;
  bool open = false;
  bool queued = false;
  string answer;  ///< Data of the answer, once there.
  double done_at = 0;
  double sent_at = 0;
  double wait = 0.2;
  int copies = 0;
  bool ended = false;
  uint64_t request = 0;
  uint32_t client_next = 0;
};

struct endpoint {
  string id;
  uint64_t number = 0;
  string service;
  string zone;
  uint32_t ip = 0;
  uint16_t port = 0;
  int fd = -1;
  bool alive = true;
  string state = "ready";
  uint64_t born = 0;
  double cold_until = 0;  ///< Seconds of now_s().
  uint64_t beat = 0;
  double next_beat = 0;
  std::vector<double> slots{0, 0};
  std::map<flow_id, served_flow> flows;

  string address() const {
    in_addr a{};
    a.s_addr = htonl(ip);
    return string(inet_ntoa(a)) + ":" + std::to_string(port);
  }
};

struct route {
  string name;
  string service;
  uint32_t host = 0;
  uint16_t port = 0;
  const char* kind = "safe";
  int priority = 2;
  double per_s = 0;
  double work_s = 0.02;
};

struct client_flow {
  uint64_t request = 0;
  size_t route_index = 0;
  size_t zone = 0;
  uint32_t ip = 0;
  uint16_t port = 0;
  uint32_t sequence = 0;
  uint32_t peer = 0;  ///< Sequence number of the SYN+ACK.
  uint32_t echo = 0;
  bool connected = false;
  double opened = 0;
  double sent_at = 0;
  double wait = 0.2;
  int copies = 1;
};

struct run_event {
  uint64_t request;
  double at;
  string endpoint;
  string service;
};

class world {
 public:
  std::vector<string> zones;
  std::vector<route> routes;
  std::vector<std::unique_ptr<endpoint>> endpoints;
  double heartbeat_s = 1.2;
  uint64_t sent = 0, answered = 0, failed = 0, resets = 0, forged = 0;
  std::map<uint64_t, size_t> route_of;
  std::map<uint64_t, double> sent_time;
  std::map<uint64_t, double> answered_time;
  std::vector<run_event> runs;
  bool traffic = false;

  void add_endpoint(const string& id,
                    const string& service,
                    const string& zone) {
    auto e = std::make_unique<endpoint>();
    e->id = id;
    for (const char c : id) {
      if (isxdigit(static_cast<unsigned char>(c)) != 0)
        e->number =
            e->number << 4 |
            static_cast<uint64_t>(isdigit(static_cast<unsigned char>(c)) != 0
                                      ? c - '0'
                                      : tolower(c) - 'a' + 10);
    }
    e->service = service;
    e->zone = zone;
    e->ip = ip_of("127.9.3." + std::to_string(endpoints.size() + 1));
    e->port = static_cast<uint16_t>(packet_port + 19);
    e->fd = udp(e->ip, e->port);
    e->born = 1790000000000ULL + endpoints.size();
    e->next_beat = now_s();
    endpoints.push_back(std::move(e));
  }

  void open_client_sockets() {
    for (size_t z = 0; z < zones.size(); ++z) {
      for (int i = 0; i < 4; ++i) {
        const uint32_t ip = ip_of("127.9." + std::to_string(20 + z) + "." +
                                  std::to_string(i + 1));
        clients_.push_back({ip, udp(ip, packet_port), z});
      }
    }
  }

  /** Writes the endpoint's entry, as it does at each heartbeat. */
  void announce(endpoint* e) {
    const double cold_ms = std::max(0.0, (e->cold_until - now_s()) * 1000);
    the_store.put(
        "servers", e->id,
        format("{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\","
               "\"version\":\"v1\",\"slots\":2,\"state\":\"%s\","
               "\"cold_left_ms\":%d,\"seq\":%d,\"born\":%llu}",
               e->service.c_str(), e->address().c_str(), e->zone.c_str(),
               e->state.c_str(), static_cast<int>(cold_ms),
               static_cast<int>(announced_seq(e)),
               static_cast<unsigned long long>(e->born)));
  }

  /** Runs until @p until; @p step is called about every millisecond. */
  void play(double until, const std::function<void()>& step) {
    while (now_s() < until) {
      receive();
      const double now = now_s();
      for (auto& e : endpoints)
        run_endpoint(now, e.get());
      run_clients(now);
      if (traffic)
        open_flows(now);
      step();
    }
  }

  std::function<void(endpoint*)> on_beat = [this](endpoint* e) { announce(e); };

 private:
  struct client_socket {
    uint32_t ip;
    int fd;
    size_t zone;
  };

  static uint64_t announced_seq(endpoint* e) { return e->beat / 1000; }

  static int udp(uint32_t ip, uint16_t port) {
    const int fd =
        socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const sockaddr_in a = address_of(ip, port);
    const int size = 1 << 20;
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
    if (bind(fd, reinterpret_cast<const sockaddr*>(&a), sizeof(a)) != 0)
      cannot_run("no UDP port on a loopback address");
    return fd;
  }

  void receive() {
    std::vector<pollfd> fds;
    for (const auto& c : clients_)
      fds.push_back({c.fd, POLLIN, 0});
    for (const auto& e : endpoints)
      fds.push_back({e->fd, POLLIN, 0});
    poll(fds.data(), fds.size(), 1);
    uint8_t buffer[2048];
    for (size_t i = 0; i < fds.size(); ++i) {
      if ((fds[i].revents & POLLIN) == 0)
        continue;
      ssize_t size = 0;
      while ((size = recv(fds[i].fd, buffer, sizeof(buffer), 0)) > 0) {
        if (i < clients_.size())
          at_client(buffer, static_cast<size_t>(size));
        else
          at_endpoint(endpoints[i - clients_.size()].get(), buffer,
                      static_cast<size_t>(size));
      }
    }
  }

  void to_client(endpoint* e,
                 const flow_id& id,
                 uint8_t flags,
                 uint32_t sequence,
                 uint32_t acknowledged,
                 uint32_t echo,
                 const string& data) {
    packet p;
    p.flags = flags;
    std::tie(p.destination, p.port, p.source, p.source_port) = id;
    p.sequence = sequence;
    p.acknowledged = acknowledged;
    p.echo = echo;
    p.data = data;
    const string bytes = bytes_of(p);
    const sockaddr_in to = address_of(p.destination, packet_port);
    sendto(e->fd, bytes.data(), bytes.size(), 0,
           reinterpret_cast<const sockaddr*>(&to), sizeof(to));
  }

  void at_endpoint(endpoint* e, const uint8_t* data, size_t size) {
    if (!e->alive || size < 8)
      return;
    const uint64_t number =
        static_cast<uint64_t>(get32(data)) << 32 | get32(data + 4);
    if (number != 0 && number != e->number)
      return;
    packet p;
    bool genuine = false;
    if (!read_packet(data + 8, size - 8, &p, &genuine) || !genuine) {
      ++forged;
      record("UNASKED packet at " + e->id);
      return;
    }
    const flow_id id{p.source, p.source_port, p.destination, p.port};
    auto it = e->flows.find(id);
    if ((p.flags & syn) != 0) {
      if (it == e->flows.end()) {
        served_flow f;
        f.own = static_cast<uint32_t>(random_());
        f.client_next = p.sequence + 1;
        it = e->flows.emplace(id, f).first;
      }
      it->second.echo = p.echo;
      if (!it->second.open && !it->second.ended)
        to_client(e, id, syn | ack, it->second.own, p.sequence + 1, p.echo, "");
      return;
    }
    if ((p.flags & rst) != 0) {
      if (it != e->flows.end() && it->second.answer.empty())
        e->flows.erase(it);
      return;
    }
    if (it == e->flows.end()) {
      to_client(e, id, rst, p.acknowledged, 0, p.echo, "");
      return;
    }
    served_flow& f = it->second;
    f.echo = p.echo;
    if (f.ended) {
      if ((p.flags & fin) != 0)
        to_client(e, id, ack, f.own + 2, p.sequence + 1, f.echo, "");
      return;
    }
    if (!f.open) {
      if (p.acknowledged != f.own + 1) {
        to_client(e, id, rst, p.acknowledged, 0, p.echo, "");
        return;
      }
      f.open = true;
    }
    if (!p.data.empty() && !f.queued) {
      f.queued = true;
      f.client_next = p.sequence + static_cast<uint32_t>(p.data.size());
      const size_t at = p.data.find("Request-Id: ");
      f.request = at == string::npos
                      ? 0
                      : strtoull(p.data.c_str() + at + 12, nullptr, 10);
      run(e, &f);
    }
    if (!f.answer.empty() &&
        p.acknowledged == f.own + 2 + static_cast<uint32_t>(f.answer.size())) {
      f.ended = true;
      if ((p.flags & fin) != 0)
        to_client(e, id, ack, p.acknowledged, p.sequence + 1, f.echo, "");
    }
  }

  void run(endpoint* e, served_flow* f) {
    const double now = now_s();
    const auto known = route_of.find(f->request);
    const double work =
        known == route_of.end() ? 0.02 : routes[known->second].work_s;
    auto slot = std::min_element(e->slots.begin(), e->slots.end());
    *slot = std::max(*slot, now) + work;
    f->done_at = *slot;
    runs.push_back({f->request, now, e->id, e->service});
    record(format("run %llu at %s of %s",
                  static_cast<unsigned long long>(f->request), e->id.c_str(),
                  e->service.c_str()));
  }

  void run_endpoint(double now, endpoint* e) {
    if (!e->alive)
      return;
    if (now >= e->next_beat) {
      e->next_beat = now + heartbeat_s;
      ++e->beat;
      on_beat(e);
    }
    for (auto it = e->flows.begin(); it != e->flows.end();) {
      served_flow& f = it->second;
      if (f.queued && f.answer.empty() && now >= f.done_at) {
        f.answer = format(
            "HTTP/1.1 200 OK\r\nTurmericstream-Response-Signature: %s\r\n"
            "Content-Length: 2\r\n\r\nok",
            std::to_string(f.request * 2654435761ULL).c_str());
        f.sent_at = 0;
      }
      if (!f.answer.empty() && !f.ended && now - f.sent_at >= f.wait &&
          f.copies < 9) {
        if (f.sent_at != 0)
          f.wait = std::min(1.6, f.wait * 2);
        f.sent_at = now;
        ++f.copies;
        to_client(e, it->first, ack | fin, f.own + 1, f.client_next, f.echo,
                  f.answer);
      }
      const bool old = f.done_at != 0 && now - f.done_at > 20;
      it = old ? e->flows.erase(it) : std::next(it);
    }
  }

  void send_to_balancer(const client_flow& f, const packet& p) {
    std::vector<balancer*> own, ready;
    for (auto& b : balancers) {
      if (b->zone == zones[f.zone])
        own.push_back(b.get());
    }
    for (balancer* b : own) {
      if (b->in_rotation)
        ready.push_back(b);
    }
    if (ready.empty()) {
      for (auto& b : balancers) {
        if (b->in_rotation)
          ready.push_back(b.get());
      }
      if (ready.empty())
        ready = own;
    } else if (ready.size() * 2 < own.size()) {
      ready = own;
    }
    if (ready.empty())
      return;
    uint64_t h = f.ip * 0x9e3779b97f4a7c15ULL + f.port * 0xff51afd7ed558ccdULL +
                 routes[f.route_index].host * 31ULL;
    h ^= h >> 29;
    const balancer* b = ready[h % ready.size()];
    const string bytes = bytes_of(p);
    const sockaddr_in to = address_of(ip_of(b->ip), packet_port);
    for (const auto& c : clients_) {
      if (c.ip == f.ip)
        sendto(c.fd, bytes.data(), bytes.size(), 0,
               reinterpret_cast<const sockaddr*>(&to), sizeof(to));
    }
  }

  packet client_packet(const client_flow& f, uint8_t flags) {
    packet p;
    p.flags = flags;
    p.source = f.ip;
    p.source_port = f.port;
    p.destination = routes[f.route_index].host;
    p.port = routes[f.route_index].port;
    p.echo = f.echo;
    return p;
  }

  void send_opening(const client_flow& f) {
    packet p = client_packet(f, syn);
    p.sequence = f.sequence;
    p.acknowledged = static_cast<uint32_t>(f.copies - 1);
    p.echo = 0;
    send_to_balancer(f, p);
  }

  void send_request(const client_flow& f) {
    packet p = client_packet(f, ack);
    p.sequence = f.sequence + 1;
    p.acknowledged = f.peer + 1;
    p.data = format(
        "POST /%s HTTP/1.1\r\nTurmericstream-Request-Id: %llu\r\n"
        "Content-Length: 0\r\n\r\n",
        routes[f.route_index].name.c_str(),
        static_cast<unsigned long long>(f.request));
    send_to_balancer(f, p);
  }

  void open_flows(double now) {
    next_open_.resize(routes.size() * zones.size(), 0.0);
    for (size_t r = 0; r < routes.size(); ++r) {
      for (size_t z = 0; z < zones.size(); ++z) {
        const double rate = routes[r].per_s / static_cast<double>(zones.size());
        double& next = next_open_[r * zones.size() + z];
        if (rate <= 0)
          continue;
        if (next < now - 0.2)
          next = now + std::uniform_real_distribution<>(0, 1 / rate)(random_);
        while (next <= now) {
          open_flow(now, r, z);
          next += std::exponential_distribution<>(rate)(random_);
        }
      }
    }
  }

  void open_flow(double now, size_t r, size_t z) {
    client_flow f;
    f.request = ++last_request_;
    f.route_index = r;
    f.zone = z;
    std::vector<const client_socket*> own;
    for (const auto& c : clients_) {
      if (c.zone == z)
        own.push_back(&c);
    }
    f.ip = own[random_() % own.size()]->ip;
    f.port = static_cast<uint16_t>(1024 + last_request_ % 60000);
    f.sequence = static_cast<uint32_t>(random_());
    f.opened = f.sent_at = now;
    route_of[f.request] = r;
    sent_time[f.request] = now;
    ++sent;
    record(format("sent %llu route %s zone %s",
                  static_cast<unsigned long long>(f.request),
                  routes[r].name.c_str(), zones[z].c_str()));
    send_opening(f);
    flows_[{f.ip, f.port}] = f;
  }

  void run_clients(double now) {
    for (auto it = flows_.begin(); it != flows_.end();) {
      client_flow& f = it->second;
      bool over = false;
      if (!f.connected) {
        if (f.copies == 1 && now - f.opened >= 0.2) {
          ++f.copies;
          send_opening(f);
        } else if (f.copies == 2 && now - f.opened >= 0.6) {
          ++f.copies;
          send_opening(f);
        } else if (now - f.opened >= 1.4) {
          over = true;
        }
      } else if (now - f.sent_at >= f.wait) {
        f.sent_at = now;
        f.wait = std::min(1.6, f.wait * 2);
        send_request(f);
      }
      over = over || now - f.opened >= 2.0;
      if (over) {
        ++failed;
        record(format("unanswered %llu",
                      static_cast<unsigned long long>(f.request)));
      }
      it = over ? flows_.erase(it) : std::next(it);
    }
  }

  void at_client(const uint8_t* data, size_t size) {
    packet p;
    bool genuine = false;
    if (!read_packet(data, size, &p, &genuine))
      return;
    const auto it = flows_.find({p.destination, p.port});
    if (it == flows_.end())
      return;
    client_flow& f = it->second;
    if ((p.flags & rst) != 0 && get32(data) == 0) {
      if (f.connected)
        return;
      ++resets;
      record(
          format("refused %llu", static_cast<unsigned long long>(f.request)));
      flows_.erase(it);
      return;
    }
    if (!genuine) {
      record("MIXED packet at a client");
      return;
    }
    if ((p.flags & rst) != 0) {
      record(format("reset %llu by its endpoint",
                    static_cast<unsigned long long>(f.request)));
      ++failed;
      flows_.erase(it);
      return;
    }
    if ((p.flags & syn) != 0) {
      if (f.connected || p.acknowledged != f.sequence + 1)
        return;
      f.connected = true;
      f.peer = p.sequence;
      f.echo = p.echo;
      f.sent_at = now_s();
      send_request(f);
      return;
    }
    if (!f.connected || p.data.empty())
      return;
    f.echo = p.echo;
    const string expected = std::to_string(f.request * 2654435761ULL);
    if (p.data.find("Signature: " + expected + "\r\n") == string::npos)
      record(format("MIXED answer for %llu",
                    static_cast<unsigned long long>(f.request)));
    ++answered;
    answered_time[f.request] = now_s();
    record(format("answered %llu", static_cast<unsigned long long>(f.request)));
    packet last = client_packet(f, ack | fin);
    last.sequence = p.acknowledged;
    last.acknowledged = p.sequence + 1 + static_cast<uint32_t>(p.data.size());
    send_to_balancer(f, last);
    flows_.erase(it);
  }

  std::mt19937_64 random_{std::random_device{}()};
  std::vector<client_socket> clients_;
  std::map<std::pair<uint32_t, uint16_t>, client_flow> flows_;
  std::vector<double> next_open_;
  uint64_t last_request_ = 0;
};

world site;

void put_config(uint64_t version, double cold_per_s) {
  string routes, services;
  std::set<string> names;
  for (const auto& r : site.routes) {
    in_addr host{};
    host.s_addr = htonl(r.host);
    routes += format(
        "%s{\"name\":\"%s\",\"host\":\"%s\",\"path_prefix\":\"/%d/\","
        "\"route_type\":\"%s\",\"timeout_ms\":1500,\"target_latency_ms\":300,"
        "\"priority\":%d,\"service\":\"%s\",\"max_attempts\":2}",
        routes.empty() ? "" : ",", r.name.c_str(), inet_ntoa(host), r.port,
        r.kind, r.priority, r.service.c_str());
    if (names.insert(r.service).second)
      services += format(
          "%s{\"name\":\"%s\",\"health_path\":\"/health\",\"max_conns\":2000,"
          "\"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":2.0,"
          "\"cold_per_s\":%.1f}",
          services.empty() ? "" : ",", r.service.c_str(), cold_per_s);
  }
  the_store.put("config", "main",
                format("{\"version\":%llu,\"routes\":[",
                       static_cast<unsigned long long>(version)) +
                    routes + "],\"services\":[" + services +
                    "],\"limits\":{\"max_header_bytes\":16384,"
                    "\"max_body_bytes\":262144,\"header_timeout_ms\":3000,"
                    "\"idle_timeout_ms\":15000}}");
}

/** Size of a site in three zones. */
struct site_size {
  int balancers = 1;  ///< In each zone.
  int notes = 2;      ///< Endpoints in each zone.
  double notes_per_s = 90;
  double archive_per_s = 15;
  double cold_per_s = 4;
};

/** Starts balancers, two services and their endpoints, and waits until all
 * balancers are ready. */
void start_site(const site_size& size) {
  site.zones = {"north", "east", "south"};
  choose_ports();
  the_store.start(ip_of(store_ip));
  int number = 0;
  for (const auto& zone : site.zones) {
    for (int i = 0; i < size.balancers; ++i) {
      auto b = std::make_unique<balancer>();
      b->zone = zone;
      b->name = "front-" + zone + "-" + std::to_string(i + 1);
      b->ip = "127.9.1." + std::to_string(++number);
      balancers.push_back(std::move(b));
    }
  }
  route notes{"r-notes", "notes", ip_of("127.9.5.1"), 8443};
  notes.per_s = size.notes_per_s;
  notes.kind = "unsafe";
  notes.priority = 1;
  route archive{"r-archive", "archive", ip_of("127.9.5.2"), 8443};
  archive.per_s = size.archive_per_s;
  archive.kind = "download";
  archive.work_s = 0.005;
  site.routes = {notes, archive};
  int id = 0;
  for (const auto& zone : site.zones) {
    for (int i = 0; i < size.notes; ++i)
      site.add_endpoint(format("i-7f3a91%02x", ++id), "notes", zone);
    site.add_endpoint(format("i-7f3a91%02x", ++id), "archive", zone);
  }
  site.open_client_sockets();
  put_config(7, size.cold_per_s);
  for (auto& e : site.endpoints)
    site.announce(e.get());
  for (auto& b : balancers)
    start_balancer(b.get(), true);
  std::thread(collect_output).detach();
  for (auto& b : balancers)
    std::thread(probe_forever, b.get()).detach();
  const double until = now_s() + 15;
  const auto all_ready = [] {
    return std::all_of(balancers.begin(), balancers.end(),
                       [](const auto& b) { return b->in_rotation.load(); });
  };
  while (!all_ready()) {
    if (now_s() >= until)
      cannot_run("the balancers do not get ready");
    site.play(now_s() + 0.1, [] {});
  }
  start_s = monotonic_s();  // Times of the record from here on.
  for (auto& e : site.endpoints)
    e->next_beat = now_s();
  site.traffic = true;
}

/** @return Whether a process ended that was not ended from here. */
bool process_ended() {
  bool out = false;
  for (auto& b : balancers) {
    int status = 0;
    if (b->process > 0 && !b->ended &&
        waitpid(b->process, &status, WNOHANG) == b->process) {
      b->ended = true;
      record(
          format("process %s ended with status %d", b->name.c_str(), status));
      out = true;
    }
  }
  return out;
}

void summarize() {
  record(format("sent %llu, answered %llu, refused %llu, unanswered %llu",
                static_cast<unsigned long long>(site.sent),
                static_cast<unsigned long long>(site.answered),
                static_cast<unsigned long long>(site.resets),
                static_cast<unsigned long long>(site.failed)));
}

// -------------------------------------------------------------- scenarios

/** Keeps an entry of another writer whose state is a long error text, written
 * again at each heartbeat. */
class long_entry_writer {
 public:
  void step(double now) {
    if (now < next_)
      return;
    next_ = now + site.heartbeat_s;
    the_store.put("servers", "i-0badc0de",
                  "{\"service\":\"notes\",\"address\":\"127.9.3.200:" +
                      std::to_string(packet_port + 19) +
                      "\",\"zone\":\"north\",\"version\":\"v1\",\"slots\":2,"
                      "\"state\":\"failed: " +
                      text_ + "\",\"cold_left_ms\":0,\"seq\":" +
                      std::to_string(++seq_) + "}");
    record("store: another writer wrote servers/i-0badc0de");
  }

 private:
  const string text_ = string(100 * 1024, 'x');
  double next_ = 3;
  int seq_ = 0;
};

void set_collector_paused(bool paused) {
  if (paused == collector_stalled)
    return;
  collector_stalled = paused;
  record(paused ? "collector of the output pauses"
                : "collector of the output goes on");
}

/** Counts the requests sent from @p from on and before @p to. */
void count_requests(double from, double to, uint64_t* sent, uint64_t* served) {
  for (const auto& [request, at] : site.sent_time) {
    if (at < from || at >= to)
      continue;
    ++*sent;
    *served += site.answered_time.count(request);
  }
}

/** At 6 s the collector of the processes' output pauses for 20 s. With the
 * disruption, another writer keeps its long entry. */
bool play_paused_collector(bool trouble) {
  constexpr double pause_at = 6, pause_end = 26, end = 32;
  long_entry_writer writer;
  size_t most_unready = 0;
  site.play(end, [&] {
    const double now = now_s();
    if (trouble)
      writer.step(now);
    set_collector_paused(now >= pause_at && now < pause_end);
    const auto unready = static_cast<size_t>(
        std::count_if(balancers.begin(), balancers.end(),
                      [](const auto& b) { return !b->in_rotation; }));
    most_unready = std::max(most_unready, unready);
  });
  uint64_t sent = 0, served = 0;
  count_requests(pause_at + 5, pause_end - 3, &sent, &served);
  const bool ended = process_ended();
  const string result = format(
      "in 12 s of the pause: sent %llu, served %llu; most balancers that did "
      "not answer /v1/ready: %zu of %zu; processes ended: %s",
      static_cast<unsigned long long>(sent),
      static_cast<unsigned long long>(served), most_unready, balancers.size(),
      ended ? "yes" : "no");
  record(result);
  printf("%s\n", result.c_str());
  return ended || (sent > 0 && served == 0);
}

/** The collector pauses at 6 s, for good. At 8 s all processes are killed; they
 * start again at 9 s. With the disruption, another writer keeps its long entry.
 */
bool play_paused_collector_restart(bool trouble) {
  constexpr double pause_at = 6, kill_at = 8, back_at = 9;
  constexpr double recovery_s = 12, end = back_at + recovery_s + 12;
  long_entry_writer writer;
  bool killed = false, back = false;
  site.play(end, [&] {
    const double now = now_s();
    if (trouble)
      writer.step(now);
    set_collector_paused(now >= pause_at);
    if (now >= kill_at && !std::exchange(killed, true)) {
      for (auto& b : balancers) {
        kill(b->process, SIGKILL);
        waitpid(b->process, nullptr, 0);
        close(b->output);
        record("process " + b->name + " killed");
      }
    }
    if (now >= back_at && !std::exchange(back, true)) {
      for (auto& b : balancers)
        start_balancer(b.get(), false);
    }
  });
  uint64_t sent_before = 0, served_before = 0, sent = 0, served = 0;
  count_requests(2, pause_at, &sent_before, &served_before);
  count_requests(back_at + recovery_s, end - 3, &sent, &served);
  const string result = format(
      "before the kill: sent %llu, served %llu; from 12 s after the "
      "restart: sent %llu, served %llu",
      static_cast<unsigned long long>(sent_before),
      static_cast<unsigned long long>(served_before),
      static_cast<unsigned long long>(sent),
      static_cast<unsigned long long>(served));
  record(result);
  printf("%s\n", result.c_str());
  return served_before * 4 >= sent_before && served * 4 < sent;
}

/** Another writer, an agent of the machine's former use, writes the entry of an
 * endpoint of `archive` as one of `notes`, with fields missing: at 5, 11 and
 * 17 s. The endpoint writes its own entry again at its next heartbeat. */
bool play_entry_with_missing_fields(bool trouble) {
  constexpr double begin = 5, end = 20;
  endpoint* target = nullptr;
  for (auto& e : site.endpoints) {
    if (e->service == "archive" && target == nullptr)
      target = e.get();
  }
  double next_entry = begin;
  site.play(end, [&] {
    const double now = now_s();
    if (!trouble || now < next_entry)
      return;
    next_entry = now + 6;
    the_store.put("servers", target->id,
                  format("{\"service\":\"notes\",\"address\":\"%s\","
                         "\"zone\":\"%s\",\"slots\":2,\"state\":\"ready\","
                         "\"cold_left_ms\":0}",
                         target->address().c_str(), target->zone.c_str()));
    record("store: another writer wrote servers/" + target->id);
  });
  uint64_t foreign = 0;
  for (const auto& run : site.runs) {
    const auto known = site.route_of.find(run.request);
    if (known == site.route_of.end() ||
        site.routes[known->second].service == run.service)
      continue;
    ++foreign;
    record(format("ROUTE: request %llu of route %s run by %s of %s",
                  static_cast<unsigned long long>(run.request),
                  site.routes[known->second].name.c_str(), run.endpoint.c_str(),
                  run.service.c_str()));
  }
  const string result =
      format("requests run by a service that no configuration allows: %llu",
             static_cast<unsigned long long>(foreign));
  record(result);
  printf("%s\n", result.c_str());
  return foreign != 0;
}

/** A zone is evacuated for 5 s. With the disruption, the evacuation begins in
 * the second in which watches hear nothing before the store drops its history,
 * and the store is silent from then on until the operator takes it back. */
bool play_unheard_evacuation(bool trouble) {
  constexpr double compact_at = 8, evacuate_at = 8.5, cut_at = 9;
  constexpr double silent_end = 13.5, end = 20, cold_s = 2;
  constexpr double bound = 0.0 * 1.5 + 5;
  const string zone = "north";
  int step = 0;
  bool silent = false;
  site.on_beat = [&](endpoint* e) {
    if (!silent)
      site.announce(e);
  };
  const std::vector<std::pair<double, std::function<void()>>> steps = {
      {compact_at,
       [&] {
         record(trouble ? "store: watches hear nothing" : "no disruption");
         the_store.set_muted(trouble);
       }},
      {evacuate_at,
       [&] {
         the_store.put("evacuations", zone, "{}");
         record("store: evacuation of " + zone + " acknowledged");
       }},
      {cut_at,
       [&] {
         if (!trouble)
           return;
         the_store.forget_history();
         the_store.set_silent(silent = true);
         the_store.set_muted(false);
         record("store: history dropped, watches cut, silent");
       }},
      {silent_end, [&] {
         if (trouble)
           record("store: answers again");
         the_store.set_silent(silent = false);
         for (auto& e : site.endpoints) {
           if (e->zone != zone)
             continue;
           e->cold_until = now_s() + cold_s;
           site.announce(e.get());
         }
         the_store.remove("evacuations", zone);
         record("store: evacuation of " + zone +
                " taken back, its endpoints are cold");
       }}};
  site.play(end, [&] {
    while (step < static_cast<int>(steps.size()) &&
           now_s() >= steps[static_cast<size_t>(step)].first)
      steps[static_cast<size_t>(step++)].second();
  });
  size_t worst = 0, broken = 0;
  for (const auto& e : site.endpoints) {
    std::vector<std::pair<double, double>> openings;  // Arrived, sent.
    for (const auto& run : site.runs) {
      if (run.endpoint == e->id && run.at < e->cold_until &&
          run.at >= e->cold_until - cold_s)
        openings.push_back({run.at, site.sent_time[run.request]});
    }
    size_t most = 0;
    for (const auto& first : openings) {
      const auto inside = [&](const auto& o) {
        return o.second >= first.second && o.first < first.second + 1;
      };
      most = std::max(most, static_cast<size_t>(std::count_if(
                                openings.begin(), openings.end(), inside)));
    }
    if (e->cold_until != 0)
      record(format("cold endpoint %s of %s: at most %zu requests in a second",
                    e->id.c_str(), e->service.c_str(), most));
    worst = std::max(worst, most);
    broken += static_cast<double>(most) > bound ? 1 : 0;
  }
  const string result = format(
      "cold endpoints above the bound of %.0f: %zu; most requests in a second: "
      "%zu",
      bound, broken, worst);
  record(result);
  printf("%s\n", result.c_str());
  return broken != 0;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 4)
    return 2;
  const string scenario = argv[1];
  const bool trouble = string(argv[3]) != "0";
  signal(SIGPIPE, SIG_IGN);
  record_file = fopen(argv[2], "w");
  char pattern[] = "/tmp/turmeric-review-XXXXXX";
  if (record_file == nullptr || mkdtemp(pattern) == nullptr)
    return 2;
  folder = pattern;
  bool broken = false;
  if (scenario == "paused-collector") {
    start_site({});
    broken = play_paused_collector(trouble);
  } else if (scenario == "paused-collector-restart") {
    start_site({});
    broken = play_paused_collector_restart(trouble);
  } else if (scenario == "missing-fields") {
    start_site({});
    broken = play_entry_with_missing_fields(trouble);
  } else if (scenario == "unheard-evacuation") {
    site_size size;
    size.balancers = 2;
    size.notes = 5;
    size.notes_per_s = 376;
    size.archive_per_s = 25;
    size.cold_per_s = 0;
    start_site(size);
    broken = play_unheard_evacuation(trouble);
  } else {
    cannot_run("unknown scenario " + scenario);
  }
  summarize();
  record(broken ? "result: broken" : "result: held");
  if (getenv("REVIEW_LOGS") != nullptr)
    (void)!system(("cp " + folder + "/*.log /tmp/").c_str());
  end_processes_and_exit(broken ? 1 : 0);
}
