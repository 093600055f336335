/** @file platform_main.cpp The platform's object API as a process.
 *
 * Serves each operation as POST /v1/OP. POST /faults with a JSON object of any
 * of down, lose_answers, slow_ms and keep_from sets faults, see
 * platform_faults; GET /calls returns the number of calls by operation.
 */
#include <fmt/format.h>
#include <httplib.h>

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <random>
#include <thread>

#include "options.h"
#include "platform_store.h"
#include "turmeric/state/json_func.h"
#include "turmeric/state/service_type.h"
#include "turmeric/transport/platform_client_func.h"

namespace turmeric::tests {
namespace {

/** Each waiting watch call occupies one of these threads. */
constexpr int server_threads = 64;

class platform_server {
 public:
  explicit platform_server(uint64_t seed) : random_(seed) {
    for (int i = 0; i < static_cast<int>(platform_op::end); ++i) {
      const auto op = static_cast<platform_op>(i);
      const std::string path = "/v1/" + std::string(name_of(op));
      server_.Post(path.c_str(), [this, op](const httplib::Request& request,
                                            httplib::Response& response) {
        serve_call(op, request, &response);
      });
    }
    server_.Post("/faults", [this](const httplib::Request& request,
                                   httplib::Response& response) {
      set_faults(request.body);
      response.set_content("{}", "application/json");
    });
    server_.Get("/calls",
                [this](const httplib::Request&, httplib::Response& response) {
                  response.set_content(calls_json(), "application/json");
                });
    server_.new_task_queue = [] {
      return new httplib::ThreadPool(server_threads);
    };
  }

  /** Serves until SIGTERM or SIGINT. @return Whether @p local could be bound.
   */
  bool run_until_stopped(endpoint local) {
    const std::string text = to_text(local);
    const std::string host = text.substr(0, text.find(':'));
    if (!server_.bind_to_port(host.c_str(), local.port))
      return false;
    std::thread listen_thread([this] { server_.listen_after_bind(); });
    wait_for_stop();
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      stopping_ = true;
      changed_.notify_all();
    }
    server_.stop();
    listen_thread.join();
    return true;
  }

 private:
  void serve_call(platform_op op,
                  const httplib::Request& request,
                  httplib::Response* response) {
    platform_call call;
    call.op = op;
    if (!platform_call_from_json(request.body, &call)) {
      response->status = 400;
      return;
    }
    std::unique_lock<std::mutex> lock(mutex_);
    store_.count_call(op);
    const auto added_latency =
        std::chrono::milliseconds(store_.faults.added_latency_ms);
    changed_.wait_for(lock, added_latency, [this] { return stopping_; });
    platform_reply reply = store_.execute(call, random_());
    const auto deadline = std::chrono::steady_clock::now() +
                          std::chrono::microseconds(call.timeout);
    while (op == platform_op::watch && !stopping_ &&
           reply.status == platform_status::ok && reply.objects.empty() &&
           changed_.wait_until(lock, deadline) == std::cv_status::no_timeout) {
      reply = store_.execute(call, random_());
    }
    changed_.notify_all();
    // HTTP status 504 stands for a call without a reply from the platform.
    // Replies of the API itself have HTTP status 200.
    if (reply.status == platform_status::unavailable)
      response->status = 504;
    else
      response->set_content(platform_reply_to_json(reply), "application/json");
  }

  /** Sets the faults that are named in @p text; ignores text that is not a
   * JSON object. */
  void set_faults(const std::string& text) {
    Json::Value v;
    if (!json_parse(text, &v) || !v.isObject())
      return;
    const std::lock_guard<std::mutex> lock(mutex_);
    platform_faults& f = store_.faults;
    f.down = v.get("down", f.down).asBool();
    f.lost_reply_percent = v.get("lose_answers", f.lost_reply_percent).asUInt();
    f.added_latency_ms = v.get("slow_ms", f.added_latency_ms).asUInt();
    f.compacted_before =
        v.get("keep_from", Json::UInt64(f.compacted_before)).asUInt64();
    changed_.notify_all();
  }

  std::string calls_json() {
    const std::lock_guard<std::mutex> lock(mutex_);
    Json::Value v = Json::objectValue;
    for (const auto& [op, count] : store_.call_counts())
      v[std::string(name_of(op))] = Json::UInt64(count);
    return json_text(v);
  }

  httplib::Server server_;
  std::mutex mutex_;
  std::condition_variable changed_;
  platform_store store_;
  std::mt19937_64 random_;
  bool stopping_ = false;
};

}  // namespace
}  // namespace turmeric::tests

int main(int argc, char** argv) {
  using namespace turmeric::tests;
  const option_map options(argc, argv);
  install_stop_handlers();
  platform_server server(static_cast<uint64_t>(options.number("seed", 1)));
  return server.run_until_stopped(options.address("listen")) ? 0 : 1;
}
