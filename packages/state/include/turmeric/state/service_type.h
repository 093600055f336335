/** @file service_type.h Declared services and targets, and their JSON form. */
#ifndef TURMERIC_STATE_SERVICE_TYPE_H_
#define TURMERIC_STATE_SERVICE_TYPE_H_

#include <string>
#include <vector>

#include "turmeric/state/error_type.h"
#include "turmeric/state/message_type.h"

namespace turmeric {

/** A target (back end) of a service. */
struct target_config {
  target_id id;
  std::string name;
  std::string zone_name;
  zone_id zone;
  endpoint address;
};

/** Service level objective of a service. */
struct service_objective {
  double availability = 0.999;  ///< Share of requests that are answered.
  uint32_t latency_ms = 500;    ///< Latency bound of interactive requests.
  double latency_share = 0.99;  ///< Share of them within latency_ms.
};

/** One service of a client account. */
struct service_config {
  service_id id;
  std::string account;
  std::string name;
  uint32_t slots = 2;  ///< Concurrent requests per target after its slow start.
  service_objective objective;
  std::vector<target_config> targets;
};

/** @return "account/name". */
std::string full_name(const service_config& service);

/** @return The JSON text that is stored under the key of @p service. */
std::string to_json(const service_config& service);

/** Parses JSON text written by to_json().
 * @return `declaration_invalid` if @p text is not a service. */
result<service_config> service_from_json(const std::string& text);

/** Parses "a.b.c.d:port".
 * @return `declaration_invalid` if @p text is not an IPv4 address and port. */
result<endpoint> parse_endpoint(const std::string& text);

/** @return "a.b.c.d:port". */
std::string to_text(const endpoint& e);

}  // namespace turmeric

#endif  // TURMERIC_STATE_SERVICE_TYPE_H_
