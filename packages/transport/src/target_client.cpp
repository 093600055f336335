/** @file target_client.cpp Requests to targets through cpp-httplib. */
#include "turmeric/transport/target_client_func.h"

#include <fmt/format.h>
#include <httplib.h>

#include <algorithm>

#include "turmeric/state/service_type.h"

namespace turmeric {
namespace {

constexpr time_us connect_timeout = 300 * us_per_ms;
/** Extra time after the deadline, in which the target's own response to the
 * missed deadline can arrive. */
constexpr time_us deadline_margin = 200 * us_per_ms;

httplib::Client make_client(endpoint target, time_us timeout) {
  httplib::Client client("http://" + to_text(target));
  client.set_keep_alive(false);
  client.set_connection_timeout(0, connect_timeout);
  client.set_read_timeout(timeout / us_per_s, timeout % us_per_s);
  client.set_write_timeout(timeout / us_per_s, timeout % us_per_s);
  return client;
}

bool nothing_sent(httplib::Error error) {
  return error == httplib::Error::Connection ||
         error == httplib::Error::ConnectionTimeout;
}

}  // namespace

work_result run_on_target(const start_work& work) {
  work_result outcome;
  outcome.serial = work.serial;
  const time_us timeout = work.deadline_ms * us_per_ms + deadline_margin;
  auto client = make_client(work.target, timeout);
  const httplib::Headers headers = {
      {"X-Service", work.service_name},
      {"X-Request", fmt::format("{}", work.request.value)},
      {"X-Flow", fmt::format("{}", work.flow.value)},
      {"X-Deadline-Ms", fmt::format("{}", work.deadline_ms)},
  };
  const auto response =
      client.Post("/run", headers, work.body, "application/octet-stream");
  if (!response) {
    outcome.status = nothing_sent(response.error())
                         ? work_status::unreachable
                         : work_status::failed_after_send;
    return outcome;
  }
  if (response->status == 200) {
    outcome.status = work_status::answered;
    outcome.body = response->body;
    return outcome;
  }
  // Without this header the request counts as possibly run.
  outcome.status = response->has_header(not_run_header)
                       ? work_status::refused
                       : work_status::failed_after_send;
  outcome.retry_after_ms = static_cast<uint32_t>(std::strtoul(
      response->get_header_value("Retry-After-Ms").c_str(), nullptr, 10));
  return outcome;
}

void cancel_on_target(const cancel_work& work) {
  auto client = make_client(work.target, us_per_s);
  const httplib::Headers headers = {
      {"X-Request", fmt::format("{}", work.request.value)}};
  client.Post("/cancel", headers, "", "text/plain");
}

}  // namespace turmeric
