/** @file load_main.cpp Callers as a process: a load tool over caller_core.
 *
 * Each caller runs its share of the requests one after another: short ones
 * that may be repeated, ones that may not, and a long download in parts.
 * Every final result goes to the history; the last line of the output sums
 * them up as JSON.
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
constexpr time_us short_deadline = 8 * us_per_s;
constexpr int part_count = 8;      ///< Parts of one download.
constexpr int part_bytes = 20000;  ///< Bytes of one part.
constexpr size_t kept_paths = 4;   ///< Replaced paths that still receive.
constexpr int submit_every = 3;    ///< One request in three is an entry.
constexpr int download_every = 20;

struct load_options {
  endpoint fabric;
  codec_context context;
  std::string service;
  int requests = 100;
  int callers = 8;
  int work_ms = 5;
  int pause_ms = 5;
  uint64_t seed = 1;
};

/** Counts over all callers. */
struct load_totals {
  uint64_t requests = 0, answered = 0, refused_not_run = 0, unknown = 0,
           mixed = 0;
};

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
    todo_ = options.requests / options.callers;
    open_path();
    next();
    arm();
  }

  bool done() const { return todo_ <= 0 && core_.idle(); }

 private:
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

  void arm() {
    timer_.expires_after(tick_interval);
    timer_.async_wait([this](const asio::error_code& code) {
      if (code || done())
        return;
      execute(core_.tick(steady_now()));
      if (resume_ != 0 && steady_now() >= resume_)
        next();
      arm();
    });
  }

  /** Starts the next request; parts of a download are requests too. */
  void next() {
    resume_ = 0;
    if (todo_ <= 0)
      return;
    --todo_;
    ++count_;
    caller_request r;
    r.id = request_id{random_()};
    r.service = id_of<service_id>(options_.service);
    r.flow = flow_;
    if (count_ % download_every == 0)
      parts_left_ = part_count;
    const bool part = parts_left_ > 0;
    r.repeatable = part || count_ % submit_every != 0;
    r.work = part ? request_priority::bulk : request_priority::interactive;
    r.body = fmt::format("{} {}", options_.work_ms, part ? part_bytes : 200);
    r.deadline = steady_now() + short_deadline;
    if (part)
      --parts_left_;
    sent_[r.id] = r.repeatable;
    ++totals_->requests;
    submitted_ = steady_now();
    execute(core_.submit(steady_now(), std::move(r)));
  }

  void execute(std::vector<caller_action> actions) {
    for (auto& action : actions) {
      if (auto* send = std::get_if<caller_send>(&action))
        socket_->send(options_.fabric, encode(options_.context, send->body));
      else if (auto* result = std::get_if<caller_result>(&action))
        finished(*result);
      else
        replace_path();
    }
  }

  void replace_path() {
    // Answers may still come on the old path, so it stays open for a while.
    old_paths_.push_back(std::move(socket_));
    if (old_paths_.size() > kept_paths)
      old_paths_.pop_front();
    open_path();
  }

  void finished(const caller_result& r) {
    const std::string first_line = r.body.substr(0, r.body.find('\n'));
    const std::string expected =
        fmt::format("request={} service={} ", r.id.value, options_.service);
    const bool answered = r.code == result_code::ok;
    const bool mixed = answered && first_line.rfind(expected, 0) != 0;
    totals_->answered += answered && !mixed ? 1 : 0;
    totals_->mixed += mixed ? 1 : 0;
    totals_->refused_not_run += says_not_run(r.code) ? 1 : 0;
    totals_->unknown += r.code == result_code::unknown_outcome ? 1 : 0;
    Json::Value v;
    v["event"] = "result";
    v["request"] = fmt::format("{}", r.id.value);
    v["repeatable"] = sent_[r.id];
    v["code"] = std::string(row_of(r.code).name);
    v["not_run"] = says_not_run(r.code);
    v["mixed"] = mixed;
    v["attempts"] = r.attempts;
    v["ended_us"] = Json::Int64(steady_now());
    v["latency_ms"] = Json::Int64((steady_now() - submitted_) / us_per_ms);
    history_->write(v);
    sent_.erase(r.id);
    resume_ = steady_now() + options_.pause_ms * us_per_ms;
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
  std::map<request_id, bool> sent_;
  int todo_ = 0;
  int count_ = 0;
  int parts_left_ = 0;
  time_us resume_ = 0;
  time_us submitted_ = 0;
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
  catch_stop();
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
