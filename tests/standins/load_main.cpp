/** @file load_main.cpp Callers as a process: a load tool over caller_core.
 *
 * Each caller submits its share of the requests one after another: short ones,
 * repeatable or not, and downloads, whose parts are requests of their own.
 * Every final result goes to the history; the last line of the output is a JSON
 * summary.
 */
#include <fmt/format.h>

#include <asio.hpp>
#include <chrono>
#include <deque>
#include <map>
#include <memory>
#include <random>

#include "history_file.h"
#include "options.h"
#include "turmeric/coordination/caller_core_base.h"
#include "turmeric/protocol/codec_func.h"
#include "turmeric/state/json_func.h"
#include "turmeric/state/service_type.h"
#include "turmeric/transport/clock_func.h"
#include "turmeric/transport/udp_base.h"

namespace turmeric::tests {
namespace {

constexpr auto tick_interval = std::chrono::milliseconds(10);
constexpr time_us request_timeout = 8 * us_per_s;
constexpr int parts_per_download = 8;
constexpr int bytes_per_part = 20000;  ///< Size of the answer.
constexpr size_t max_old_paths = 4;    ///< Replaced sockets that still receive.
/** In requests; parts of downloads are always repeatable. */
constexpr int non_repeatable_interval = 3;
/** Every 20th request starts a download. */
constexpr int download_interval = 20;

struct load_options {
  endpoint fabric;
  codec_context context;
  std::string service;
  int requests = 100;
  int callers = 8;
  int work_ms = 5;   ///< Of a target, for each request.
  int pause_ms = 5;  ///< Of a caller, after each result.
  uint64_t seed = 1;
};

/** Counts over all callers. `mixed`: answers of another request or service. */
struct load_totals {
  uint64_t requests = 0, answered = 0, refused_not_run = 0, unknown = 0,
           mixed = 0;
};

/** One caller: one flow, with one request in flight at a time. */
class caller {
 public:
  caller(asio::io_context& loop,
         const load_options& options,
         int number,
         history_file* history,
         load_totals* totals)
      : loop_(loop),
        options_(options),
        random_(options.seed * 1000003 + static_cast<uint64_t>(number)),
        core_({}, [this] { return random_(); }),
        timer_(loop),
        history_(history),
        totals_(totals) {
    flow_ = flow_id{random_()};
    unsubmitted_ = options.requests / options.callers;
    open_path();
    submit_next();
    schedule_tick();
  }

  /** @return Whether all requests of its share have ended. */
  bool done() const { return unsubmitted_ <= 0 && core_.idle(); }

 private:
  /** Opens a socket on a new local port. */
  void open_path() {
    socket_ = std::make_unique<udp_socket>(loop_);
    if (!socket_->bind({options_.fabric.ip, 0}))
      return;
    socket_->start([this](endpoint, const char* data, size_t size) {
      auto decoded = decode_packet(options_.context, data, size);
      if (decoded)
        execute(core_.receive(steady_now(), decoded.value()));
    });
  }

  /** Schedules the next tick; ticks end once the caller is done. */
  void schedule_tick() {
    timer_.expires_after(tick_interval);
    timer_.async_wait([this](const asio::error_code& code) {
      if (code || done())
        return;
      execute(core_.tick(steady_now()));
      if (next_submit_at_ != 0 && steady_now() >= next_submit_at_)
        submit_next();
      schedule_tick();
    });
  }

  /** Submits the next request or part of a download, if any is left. */
  void submit_next() {
    next_submit_at_ = 0;
    if (unsubmitted_ <= 0)
      return;
    --unsubmitted_;
    ++submitted_count_;
    caller_request r;
    r.id = request_id{random_()};
    r.service = id_of<service_id>(options_.service);
    r.flow = flow_;
    if (submitted_count_ % download_interval == 0)
      parts_left_ = parts_per_download;
    const bool is_part = parts_left_ > 0;
    r.repeatable = is_part || submitted_count_ % non_repeatable_interval != 0;
    r.work = is_part ? request_priority::bulk : request_priority::interactive;
    r.body =
        fmt::format("{} {}", options_.work_ms, is_part ? bytes_per_part : 200);
    r.deadline = steady_now() + request_timeout;
    if (is_part)
      --parts_left_;
    repeatable_by_id_[r.id] = r.repeatable;
    ++totals_->requests;
    last_submit_at_ = steady_now();
    execute(core_.submit(steady_now(), std::move(r)));
  }

  void execute(std::vector<caller_action> actions) {
    for (auto& action : actions) {
      if (auto* send = std::get_if<caller_send>(&action))
        socket_->send(options_.fabric, encode(options_.context, send->body));
      else if (auto* result = std::get_if<caller_result>(&action))
        on_result(*result);
      else
        replace_path();
    }
  }

  void replace_path() {
    // Packets may still arrive on the old path, so the last few stay open.
    old_paths_.push_back(std::move(socket_));
    if (old_paths_.size() > max_old_paths)
      old_paths_.pop_front();
    open_path();
  }

  /** Records a final result. An ok answer must begin with a line that names its
   * request and service, else it counts as mixed. */
  void on_result(const caller_result& r) {
    const std::string first_line = r.body.substr(0, r.body.find('\n'));
    const std::string expected =
        fmt::format("request={} service={} ", r.id.value, options_.service);
    const bool answered = r.code == result_code::ok;
    const bool mixed = answered && first_line.rfind(expected, 0) != 0;
    totals_->answered += answered && !mixed ? 1 : 0;
    totals_->mixed += mixed ? 1 : 0;
    totals_->refused_not_run += says_not_run(r.code) ? 1 : 0;
    totals_->unknown += r.code == result_code::unknown_outcome ? 1 : 0;
    Json::Value record;
    record["event"] = "result";
    record["request"] = fmt::format("{}", r.id.value);
    record["repeatable"] = repeatable_by_id_[r.id];
    record["code"] = std::string(row_of(r.code).name);
    record["not_run"] = says_not_run(r.code);
    record["mixed"] = mixed;
    record["attempts"] = r.attempts;
    record["ended_us"] = Json::Int64(steady_now());
    record["latency_ms"] =
        Json::Int64((steady_now() - last_submit_at_) / us_per_ms);
    history_->write(record);
    repeatable_by_id_.erase(r.id);
    next_submit_at_ = steady_now() + options_.pause_ms * us_per_ms;
  }

  asio::io_context& loop_;
  const load_options& options_;
  std::mt19937_64 random_;
  caller_core core_;
  asio::steady_timer timer_;
  std::unique_ptr<udp_socket> socket_;
  std::deque<std::unique_ptr<udp_socket>> old_paths_;
  history_file* history_;
  load_totals* totals_;
  flow_id flow_;
  std::map<request_id, bool> repeatable_by_id_;
  int unsubmitted_ = 0;
  int submitted_count_ = 0;
  int parts_left_ = 0;
  time_us next_submit_at_ = 0;
  time_us last_submit_at_ = 0;
};

int run(const load_options& options, const std::string& history_path) {
  asio::io_context loop;
  history_file history(history_path);
  load_totals totals;
  std::vector<std::unique_ptr<caller>> callers;
  for (int i = 0; i < options.callers; ++i)
    callers.push_back(
        std::make_unique<caller>(loop, options, i, &history, &totals));
  const auto all_done = [&] {
    for (const auto& c : callers) {
      if (!c->done())
        return false;
    }
    return true;
  };
  while (!all_done() && !stop_requested())
    loop.run_for(tick_interval);
  fmt::print(
      "{{\"requests\":{},\"answered\":{},\"refused_not_run\":{},\"unknown\":{},"
      "\"mixed\":{}}}\n",
      totals.requests, totals.answered, totals.refused_not_run, totals.unknown,
      totals.mixed);
  return 0;
}

}  // namespace
}  // namespace turmeric::tests

int main(int argc, char** argv) {
  using namespace turmeric::tests;
  const option_map options(argc, argv);
  install_stop_handlers();
  load_options load;
  load.fabric = options.address("fabric");
  load.context =
      turmeric::make_codec_context(options.text("cluster", "turmeric"), "")
          .value();
  load.service = options.text("service");
  load.requests = static_cast<int>(options.number("requests", 100));
  load.callers = static_cast<int>(options.number("callers", 8));
  load.work_ms = static_cast<int>(options.number("work-ms", 5));
  load.pause_ms = static_cast<int>(options.number("pause-ms", 5));
  load.seed = static_cast<uint64_t>(options.number("seed", 1));
  return run(load, options.text("history"));
}
