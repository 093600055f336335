/** @file soak_settings.h Texts that the soak writes for the balancers, and the
 * load on them. */
#ifndef TURMERIC_TESTS_SOAK_SOAK_SETTINGS_H_
#define TURMERIC_TESTS_SOAK_SOAK_SETTINGS_H_

#include <string>

#include "soak_run.h"

namespace turmeric::tests {

soak_load load_of(const soak_options& options);

endpoint balancer_address(size_t i, uint16_t port);

/** @return The routing configuration as JSON.
 * @param idle_routes Further routes, without traffic. */
std::string routing_text(int version, bool overload, size_t idle_routes);

/** @return The registry's entry of target @p i as JSON. */
std::string target_text(endpoint address, size_t i, bool draining);

/** @return The settings file of balancer @p i.
 * @param port_offset See soak_traffic::port_offset(). */
std::string settings_text(size_t i,
                          uint16_t port_offset,
                          uint16_t registry_port,
                          time_us stop_grace,
                          bool overload);

}  // namespace turmeric::tests

#endif  // TURMERIC_TESTS_SOAK_SOAK_SETTINGS_H_
