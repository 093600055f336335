/** @file admin_base.h The operators' interface of a balancer: JSON-RPC over
 * HTTP, every request signed with the shared key. */
#ifndef TURMERIC_TRANSPORT_ADMIN_BASE_H_
#define TURMERIC_TRANSPORT_ADMIN_BASE_H_

#include <json/json.h>

#include <functional>
#include <memory>
#include <string>

#include "turmeric/protocol/codec_func.h"

namespace turmeric {

/** What the balancer does for operators. */
struct admin_hooks {
  std::function<Json::Value()> status;
  std::function<Json::Value()> metrics;
  std::function<bool(const std::string& category, const std::string& level)>
      set_log_level;
};

/** Serves the hooks on one TCP port. */
class admin_server {
 public:
  admin_server(endpoint local, codec_context context, admin_hooks hooks);
  ~admin_server();

  /** Starts listening.
   * @return `internal` if the port is taken. */
  result<void> start();

  /** Stops listening. */
  void stop();

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

/** Calls a method of a balancer's admin server.
 * @return `balancer_unreachable`, or what the balancer answered. */
result<Json::Value> call_admin(endpoint balancer,
                               const codec_context& context,
                               const std::string& method,
                               Json::Value arguments = Json::objectValue);

}  // namespace turmeric

#endif  // TURMERIC_TRANSPORT_ADMIN_BASE_H_
