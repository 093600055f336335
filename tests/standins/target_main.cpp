/** @file target_main.cpp A target as a process.
 *
 * Runs requests over HTTP, starts cold, refuses what it cannot bear, takes
 * cancellation, and has health and load endpoints that mislead on demand.
 * A request body "WORK_MS SIZE" is worked on for WORK_MS and answered with
 * SIZE bytes behind a line that names request and service.
 */
#include <fmt/format.h>
#include <httplib.h>

#include <atomic>
#include <chrono>
#include <mutex>
#include <set>
#include <sstream>
#include <thread>

#include "history_file.h"
#include "options.h"
#include "turmeric/state/service_type.h"
#include "turmeric/transport/clock_func.h"
#include "turmeric/transport/target_client_func.h"

namespace turmeric::tests {
namespace {

constexpr int server_threads = 16;

class target_server {
 public:
  explicit target_server(const option_map& options)
      : service_(options.text("service")),
        name_(options.text("name")),
        slots_(static_cast<int>(options.number("slots", 2))),
        cold_until_(steady_now() + options.number("cold-ms", 0) * us_per_ms),
        history_(options.text("history")) {
    server_.new_task_queue = [] {
      return new httplib::ThreadPool(server_threads);
    };
    server_.Post("/run", [this](const httplib::Request& in,
                                httplib::Response& out) { run(in, &out); });
    server_.Post("/cancel",
                 [this](const httplib::Request& in, httplib::Response&) {
                   const std::lock_guard<std::mutex> lock(mutex_);
                   cancelled_.insert(in.get_header_value("X-Request"));
                 });
    // Both endpoints always say the same, as a stuck agent would.
    server_.Get("/health", [](const httplib::Request&, httplib::Response& out) {
      out.set_content("healthy", "text/plain");
    });
    server_.Get("/load", [](const httplib::Request&, httplib::Response& out) {
      out.set_content("0", "text/plain");
    });
  }

  bool run_until_stopped(endpoint local) {
    const std::string text = to_text(local);
    const std::string host = text.substr(0, text.find(':'));
    if (!server_.bind_to_port(host.c_str(), local.port))
      return false;
    std::thread listener([this] { server_.listen_after_bind(); });
    wait_for_stop();
    server_.stop();
    listener.join();
    return true;
  }

 private:
  void record(const char* event, const httplib::Request& in) {
    Json::Value v;
    v["event"] = event;
    v["target"] = name_;
    v["at_us"] = Json::Int64(steady_now());
    v["own_service"] = service_;
    v["service"] = in.get_header_value("X-Service");
    v["request"] = in.get_header_value("X-Request");
    v["running"] = running_.load();
    history_.write(v);
  }

  void refuse(const httplib::Request& in, httplib::Response* out) {
    record("refused", in);
    out->status = 503;
    out->set_header(not_run_header, "1");
    out->set_header("Retry-After-Ms", "100");
  }

  bool cancelled(const std::string& request) {
    const std::lock_guard<std::mutex> lock(mutex_);
    return cancelled_.count(request) > 0;
  }

  void run(const httplib::Request& in, httplib::Response* out) {
    const std::string request = in.get_header_value("X-Request");
    const bool cold = steady_now() < cold_until_;
    const int limit = cold ? 1 : slots_;
    const int now_running = ++running_;
    if (now_running > limit || in.get_header_value("X-Service") != service_) {
      record(now_running > limit ? "overload" : "wrong_service", in);
      refuse(in, out);
      --running_;
      return;
    }
    record("run", in);
    std::istringstream words(in.body);
    int64_t work_ms = 0;
    size_t size = 0;
    words >> work_ms >> size;
    const time_us end = steady_now() + work_ms * us_per_ms * (cold ? 3 : 1);
    while (steady_now() < end && !cancelled(request))
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    std::string body = fmt::format("request={} service={} target={}\n", request,
                                   service_, name_);
    for (size_t i = 0; i < size; ++i)
      body += static_cast<char>('a' + (i + body.size()) % 26);
    --running_;
    out->set_content(body, "application/octet-stream");
  }

  std::string service_;
  std::string name_;
  int slots_;
  time_us cold_until_;
  history_file history_;
  std::atomic<int> running_{0};
  std::mutex mutex_;
  std::set<std::string> cancelled_;
  httplib::Server server_;
};

}  // namespace
}  // namespace turmeric::tests

int main(int argc, char** argv) {
  using namespace turmeric::tests;
  const option_map options(argc, argv);
  catch_stop();
  target_server server(options);
  return server.run_until_stopped(options.address("listen")) ? 0 : 1;
}
