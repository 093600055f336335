/** @file soak_main.cpp Real balancers as processes, disturbed from outside. */
#include <fcntl.h>
#include <fmt/format.h>
#include <getopt.h>
#include <signal.h>
#include <spawn.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <memory>

#include "soak_site.h"
#include "turmeric/state/service_type.h"
#include "turmeric/transport/clock_func.h"
#include "turmeric/transport/http_base.h"

extern char** environ;

namespace turmeric::tests {
namespace {

constexpr size_t balancer_count = 4;
constexpr size_t target_count = 6;
constexpr uint32_t balancer_ip = 0x7f0a0001;  // 127.10.0.1 and on
constexpr uint16_t packet_port = 18172;
constexpr uint16_t ready_port = 18167;
constexpr uint16_t peer_port = 17720;
constexpr auto tick = std::chrono::milliseconds(100);
constexpr time_us probe_interval = 500 * us_per_ms;
constexpr time_us run_length = 19 * us_per_s;
constexpr time_us last_trouble = 8 * us_per_s;
constexpr time_us settle = 3 * us_per_s;
/** A target drains in the calm part, when the bound holds for certain: the last
 * trouble may go on for 4 s, and 4 s later balancers are in touch. */
constexpr time_us calm_drain = 14 * us_per_s;
constexpr double calm_share = 0.98;

constexpr const char* usage_text =
    "Usage: soak --daemon PATH [--seed N] [--runs N] [--minutes M]\n"
    "            [--promises-only]\n"
    "\n"
    "Starts balancers on loopback addresses 127.10.0.x, disturbs them and\n"
    "their surroundings, and checks what callers and targets see. With\n"
    "--promises-only the share served after the troubles is printed and not\n"
    "checked: it depends on the machine.\n";

/** One balancer's process. */
class process {
 public:
  process(std::string daemon, std::string settings)
      : daemon_(std::move(daemon)), settings_(std::move(settings)) {}
  ~process() { end(); }
  process(const process&) = delete;
  process& operator=(const process&) = delete;

  void start() {
    if (pid_ != 0)
      return;
    const std::string log = settings_ + ".log";
    posix_spawn_file_actions_t files;
    posix_spawn_file_actions_init(&files);
    posix_spawn_file_actions_addopen(&files, STDOUT_FILENO, log.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
    std::string option = "--settings";
    char* arguments[] = {daemon_.data(), option.data(), settings_.data(),
                         nullptr};
    if (posix_spawn(&pid_, daemon_.c_str(), &files, nullptr, arguments,
                    environ) != 0) {
      fmt::print(stderr, "soak: cannot start {}\n", daemon_);
      std::exit(3);
    }
    posix_spawn_file_actions_destroy(&files);
  }

  void signal(int number) {
    if (pid_ != 0)
      kill(pid_, number);
  }

  /** @return Whether it has ended since it was started. */
  bool ended() {
    if (pid_ != 0 && waitpid(pid_, nullptr, WNOHANG) == pid_)
      pid_ = 0;
    return pid_ == 0;
  }

  void end() {
    if (pid_ == 0)
      return;
    kill(pid_, SIGCONT);
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
    pid_ = 0;
  }

 private:
  std::string daemon_;
  std::string settings_;
  pid_t pid_ = 0;
};

endpoint balancer_address(size_t i, uint16_t port) {
  return {balancer_ip + static_cast<uint32_t>(i), port};
}

/** A run: the site, the processes and the troubles drawn from a seed. */
class soak_run {
 public:
  soak_run(const std::string& daemon, uint64_t seed, bool promises_only)
      : promises_only_(promises_only),
        random_(seed),
        traffic_(packet_port, target_count, seed),
        folder_(fmt::format("/tmp/turmeric-soak-{}-{}", getpid(), seed)) {
    mkdir(folder_.c_str(), 0755);
    store_.put("config", "main", config());
    for (size_t i = 0; i < target_count; ++i)
      store_.put("servers", traffic_.name_of(i), entry(i, false));
    for (size_t i = 0; i < balancer_count; ++i) {
      processes_.push_back(std::make_unique<process>(daemon, settings(i)));
      processes_.back()->start();
    }
  }

  /** Plays the run. @return Whether all promises held. */
  bool play() {
    const time_us start = boot_now();
    time_us next_trouble = 2 * us_per_s;
    time_us next_probe = 0;
    soak_counts all;
    soak_counts calm;
    later(calm_drain, [this] {
      store_.put("servers", traffic_.name_of(0), entry(0, true));
      traffic_.set_draining(0, boot_now());
    });
    while (boot_now() - start < run_length) {
      std::this_thread::sleep_for(tick);
      const time_us now = boot_now() - start;
      if (now >= next_probe) {
        next_probe = now + probe_interval;
        probe();
      }
      if (now >= next_trouble && now < last_trouble) {
        next_trouble = now + 200 * us_per_ms +
                       static_cast<time_us>(random_() % (us_per_s));
        trouble(now);
        traffic_.set_calm_since(start + std::max(now, last_due()));
      }
      run_due(now);
      for (const auto& p : processes_) {
        if (p->ended())
          p->start();
      }
      const soak_counts counts = traffic_.take_counts();
      add(&all, counts);
      if (now >= last_trouble + settle)
        add(&calm, counts);
    }
    return judge(all, calm);
  }

 private:
  static void add(soak_counts* sum, const soak_counts& more) {
    sum->asked += more.asked;
    sum->served += more.served;
    sum->failed += more.failed;
    sum->refused += more.refused;
    sum->violations.insert(sum->violations.end(), more.violations.begin(),
                           more.violations.end());
  }

  bool judge(const soak_counts& all, const soak_counts& calm) {
    const double share = calm.asked == 0 ? 0
                                         : static_cast<double>(calm.served) /
                                               static_cast<double>(calm.asked);
    const bool fine =
        all.violations.empty() && (promises_only_ || share >= calm_share);
    fmt::print(
        "{}: asked {} served {} failed {} refused {}; once calm {:.3f}\n",
        fine ? "held" : "BROKEN", all.asked, all.served, all.failed,
        all.refused, share);
    for (const auto& what : all.violations)
      fmt::print("  {}\n", what);
    if (!fine)
      fmt::print("  troubles:{}\n  logs in {}\n", troubles_, folder_);
    return fine;
  }

  std::string config() const {
    return fmt::format(
        R"({{"version":{},"routes":[{{"name":"r","host":"198.18.0.1",)"
        R"("path_prefix":"/443/","route_type":"safe","service":"notes"}}],)"
        R"("services":[{{"name":"notes","max_conns":2000}}],)"
        R"("limits":{{"idle_timeout_ms":15000}}}})",
        version_);
  }

  std::string entry(size_t i, bool draining) const {
    return fmt::format(
        R"({{"service":"notes","address":"{}","zone":"zone-{}","slots":2,)"
        R"("state":"{}","cold_left_ms":0,"seq":1}})",
        to_text(traffic_.address_of(i)), i % 2,
        draining ? "draining" : "ready");
  }

  std::string settings(size_t i) const {
    const std::string path = fmt::format("{}/balancer-{}.ini", folder_, i);
    std::ofstream(path) << fmt::format(
        "[instance]\nmode = forwarding\nname = b{}\nzone = zone-{}\n"
        "cluster = soak\nkey = {:064x}\n[forwarding]\npackets = {}\n"
        "ready = {}\npeers = {}\nseeds = {}\nregistry = 127.0.0.1:{}\n"
        "grace = 3\n",
        i, i % 2, 42, to_text(balancer_address(i, packet_port)),
        to_text(balancer_address(i, ready_port)),
        to_text(balancer_address(i, peer_port)),
        to_text(balancer_address(0, peer_port)), store_.port());
    return path;
  }

  /** Asks each balancer whether it is ready, as routers do. */
  void probe() {
    std::vector<endpoint> in;
    for (size_t i = 0; i < balancer_count; ++i) {
      boost::asio::io_context loop;
      http_client client(loop, balancer_address(i, ready_port));
      bool ok = false;
      client.get("/v1/ready", 50 * us_per_ms,
                 [&](const http_result& a) { ok = a.status == 200; });
      loop.run();
      missed_[i] = ok ? 0 : missed_[i] + 1;
      if (missed_[i] < 2)
        in.push_back(balancer_address(i, packet_port));
    }
    traffic_.set_balancers(in);
  }

  void later(time_us when, std::function<void()> what) {
    due_.emplace(when, std::move(what));
  }

  /** @return When the last trouble so far ends. */
  time_us last_due() const {
    time_us last = 0;
    for (const auto& [when, what] : due_)
      last = when < calm_drain ? std::max(last, when) : last;
    return last;
  }

  void run_due(time_us now) {
    while (!due_.empty() && due_.begin()->first <= now) {
      const auto what = std::move(due_.begin()->second);
      due_.erase(due_.begin());
      what();
    }
  }

  void trouble(time_us now) {
    const time_us end = now + 200 * us_per_ms +
                        static_cast<time_us>(random_() % (2 * us_per_s));
    process* p = processes_[random_() % processes_.size()].get();
    const size_t t = random_() % target_count;
    const uint64_t kind = random_() % 9;
    troubles_ +=
        fmt::format(" {:.1f}:{}", static_cast<double>(now) / us_per_s, kind);
    switch (kind) {
      case 0:
        p->signal(SIGKILL);
        return;
      case 1:
        p->signal(SIGTERM);
        return;
      case 2:
        p->signal(SIGSTOP);
        later(end, [p] { p->signal(SIGCONT); });
        return;
      case 3:
        p->signal(SIGHUP);
        return;
      case 4:
      case 5: {
        store_.set_mood(kind == 4 ? store_mood::refuses : store_mood::silent);
        later(end, [this] { store_.set_mood(store_mood::fine); });
        return;
      }
      case 6:
        store_.forget();
        ++version_;
        store_.put("config", "main", config());
        return;
      case 7:
        if (busy_target_)
          return;
        busy_target_ = true;
        store_.put("servers", traffic_.name_of(t), entry(t, true));
        traffic_.set_draining(t, boot_now());
        later(now + 4 * us_per_s, [this, t] {
          traffic_.set_draining(t, 0);
          store_.put("servers", traffic_.name_of(t), entry(t, false));
          busy_target_ = false;
        });
        return;
      default:
        if (busy_target_)
          return;
        busy_target_ = true;
        traffic_.set_alive(t, false);
        later(end, [this, t] {
          traffic_.set_alive(t, true);
          busy_target_ = false;
        });
    }
  }

  bool promises_only_;
  std::mt19937_64 random_;
  soak_store store_;
  soak_traffic traffic_;
  std::string folder_;
  std::vector<std::unique_ptr<process>> processes_;
  std::multimap<time_us, std::function<void()>> due_;
  std::array<int, balancer_count> missed_{2, 2, 2, 2};
  int version_ = 1;
  bool busy_target_ = false;
  std::string troubles_;
};

int main_of(int argc, char** argv) {
  const option options[] = {{"daemon", required_argument, nullptr, 'd'},
                            {"seed", required_argument, nullptr, 's'},
                            {"runs", required_argument, nullptr, 'n'},
                            {"minutes", required_argument, nullptr, 'm'},
                            {"promises-only", no_argument, nullptr, 'p'},
                            {nullptr, 0, nullptr, 0}};
  std::string daemon;
  uint64_t seed = 1;
  uint64_t runs = 1;
  bool promises_only = false;
  time_us limit = INT64_MAX;
  for (int c = 0;
       (c = getopt_long(argc, argv, "d:s:n:m:p", options, nullptr)) != -1;) {
    switch (c) {
      case 'd':
        daemon = optarg;
        break;
      case 's':
        seed = std::strtoull(optarg, nullptr, 10);
        break;
      case 'n':
        runs = std::strtoull(optarg, nullptr, 10);
        break;
      case 'm':
        limit =
            static_cast<time_us>(std::strtod(optarg, nullptr) * 60) * us_per_s;
        runs = UINT64_MAX;
        break;
      case 'p':
        promises_only = true;
        break;
      default:
        fmt::print(stderr, "{}", usage_text);
        return 2;
    }
  }
  if (daemon.empty()) {
    fmt::print(stderr, "{}", usage_text);
    return 2;
  }
  const time_us start = boot_now();
  uint64_t broken = 0;
  for (uint64_t i = 0; i < runs && boot_now() - start < limit; ++i) {
    fmt::print("seed {} ", seed + i);
    std::fflush(stdout);
    broken += soak_run(daemon, seed + i, promises_only).play() ? 0 : 1;
  }
  fmt::print("{} runs broke a promise\n", broken);
  return broken == 0 ? 0 : 1;
}

}  // namespace
}  // namespace turmeric::tests

int main(int argc, char** argv) {
  return turmeric::tests::main_of(argc, argv);
}
