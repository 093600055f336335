/** @file service_type.h Services and targets as declared. */
#ifndef TURMERIC_STATE_SERVICE_TYPE_H_
#define TURMERIC_STATE_SERVICE_TYPE_H_

#include <string>
#include <vector>

#include "turmeric/state/error_type.h"
#include "turmeric/state/message_type.h"

namespace turmeric {

/** One back end. */
struct target_config {
  target_id id;
  std::string name;
  std::string zone_name;
  zone_id zone;
  endpoint address;
};

/** What operators promise to the users of a service. */
struct service_objective {
  double availability = 0.999;  ///< Share of requests answered.
  uint32_t latency_ms = 500;    ///< Bound for interactive requests.
  double latency_share = 0.99;  ///< Share of them within the bound.
};

/** One service of a client account. */
struct service_config {
  service_id id;
  std::string account;
  std::string name;
  uint32_t slots = 2;  ///< Requests a warm target bears at once.
  service_objective objective;
  std::vector<target_config> targets;
};

/** @return "account/name". */
std::string full_name(const service_config& service);

/** @return The JSON value stored under the service's key. */
std::string to_json(const service_config& service);

/** Reads a value written by to_json().
 * @return `declaration_invalid` if it is not one. */
result<service_config> service_from_json(const std::string& text);

/** Parses "a.b.c.d:port".
 * @return `declaration_invalid` if it is not an address. */
result<endpoint> parse_endpoint(const std::string& text);

/** @return "a.b.c.d:port". */
std::string to_text(const endpoint& e);

}  // namespace turmeric

#endif  // TURMERIC_STATE_SERVICE_TYPE_H_
