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

/** Called on threads of the HTTP server, possibly several at once. */
struct admin_hooks {
  std::function<Json::Value()> status;
  std::function<Json::Value()> metrics;
  /** @return false if the category or the level is unknown. */
  std::function<bool(const std::string& category, const std::string& level)>
      set_log_level;
};

/** Serves the hooks on a local address and TCP port, with own threads. */
class admin_server {
 public:
  admin_server(endpoint local, codec_context context, admin_hooks hooks);
  ~admin_server();

  /** @return `internal` if the address or port cannot be bound. */
  result<void> start();

  /** Joins the server's threads. */
  void stop();

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

/** Calls a method of a balancer's admin server; blocks for at most 3 s.
 * @return The result of the method; `balancer_unreachable` if the call failed;
 * `bad_signature` if the balancer rejected the tag, or if the clocks differ by
 * more than 60 s; or another error that the balancer returned. */
result<Json::Value> call_admin(endpoint balancer,
                               const codec_context& context,
                               const std::string& method,
                               Json::Value arguments = Json::objectValue);

}  // namespace turmeric

#endif  // TURMERIC_TRANSPORT_ADMIN_BASE_H_
