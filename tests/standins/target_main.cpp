/** @file target_main.cpp A target as a process.
 *
 * Runs and cancels requests over HTTP; refuses those beyond its slots or of
 * other services. During its cold start it runs one request at a time and takes
 * three times as long. /health and /load always report a healthy target without
 * load, whatever its state. A request with the body "WORK_MS SIZE" takes
 * WORK_MS and is answered with a line that names request, service and target
 * and SIZE bytes after it.
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
    server_.Post("/run", [this](const httplib::Request& request,
                                httplib::Response& response) {
      run_request(request, &response);
    });
    server_.Post("/cancel",
                 [this](const httplib::Request& request, httplib::Response&) {
                   const std::lock_guard<std::mutex> lock(mutex_);
                   cancelled_.insert(request.get_header_value("X-Request"));
                 });
    // Constant responses, as from a health agent that hangs.
    server_.Get("/health",
                [](const httplib::Request&, httplib::Response& response) {
                  response.set_content("healthy", "text/plain");
                });
    server_.Get("/load",
                [](const httplib::Request&, httplib::Response& response) {
                  response.set_content("0", "text/plain");
                });
  }

  /** Serves until SIGTERM or SIGINT. @return Whether @p local was bound. */
  bool run_until_stopped(endpoint local) {
    const std::string text = to_text(local);
    const std::string host = text.substr(0, text.find(':'));
    if (!server_.bind_to_port(host.c_str(), local.port))
      return false;
    std::thread listen_thread([this] { server_.listen_after_bind(); });
    wait_for_stop();
    server_.stop();
    listen_thread.join();
    return true;
  }

 private:
  /** Writes the event to the history. */
  void record_event(const char* event, const httplib::Request& request) {
    Json::Value event_json;
    event_json["event"] = event;
    event_json["target"] = name_;
    event_json["at_us"] = Json::Int64(steady_now());
    event_json["own_service"] = service_;
    event_json["service"] = request.get_header_value("X-Service");
    event_json["request"] = request.get_header_value("X-Request");
    event_json["running"] = running_.load();
    history_.write(event_json);
  }

  /** Refuses a request before it has run; the caller may retry in 100 ms. */
  void refuse(const httplib::Request& request, httplib::Response* response) {
    record_event("refused", request);
    response->status = 503;
    response->set_header(not_run_header, "1");
    response->set_header("Retry-After-Ms", "100");
  }

  bool is_cancelled(const std::string& request_id) {
    const std::lock_guard<std::mutex> lock(mutex_);
    return cancelled_.count(request_id) > 0;
  }

  /** Responds once the request is done or cancelled. */
  void run_request(const httplib::Request& request,
                   httplib::Response* response) {
    const std::string request_id = request.get_header_value("X-Request");
    const bool cold = steady_now() < cold_until_;
    const int max_running = cold ? 1 : slots_;
    const int now_running = ++running_;
    if (now_running > max_running ||
        request.get_header_value("X-Service") != service_) {
      record_event(now_running > max_running ? "overload" : "wrong_service",
                   request);
      refuse(request, response);
      --running_;
      return;
    }
    record_event("run", request);
    std::istringstream fields(request.body);
    int64_t work_ms = 0;
    size_t size = 0;
    fields >> work_ms >> size;
    const time_us work_end =
        steady_now() + work_ms * us_per_ms * (cold ? 3 : 1);
    while (steady_now() < work_end && !is_cancelled(request_id))
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    std::string body = fmt::format("request={} service={} target={}\n",
                                   request_id, service_, name_);
    for (size_t i = 0; i < size; ++i)
      body += static_cast<char>('a' + (i + body.size()) % 26);
    --running_;
    response->set_content(body, "application/octet-stream");
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
  install_stop_handlers();
  target_server server(options);
  return server.run_until_stopped(options.address("listen")) ? 0 : 1;
}
