/** @file forwarder_settings.h Reads the options of the forwarding mode from the
 * settings. */
#ifndef TURMERIC_TRANSPORT_SRC_FORWARDING_FORWARDER_SETTINGS_H_
#define TURMERIC_TRANSPORT_SRC_FORWARDING_FORWARDER_SETTINGS_H_

#include <string>
#include <vector>

#include "turmeric/coordination/directory_core_base.h"
#include "turmeric/coordination/forwarding_core_base.h"
#include "turmeric/state/settings_base.h"

namespace turmeric {

struct forwarder_addresses {
  endpoint packets;   ///< Receives packets from the routers (UDP).
  endpoint ready;     ///< Answers the routers' readiness probes (HTTP).
  endpoint peers;     ///< Exchanges messages with other balancers (UDP).
  endpoint registry;  ///< HTTP server of the registry.
};

/** @return `setting_out_of_range` naming the first setting that is not an
 * address. */
result<forwarder_addresses> addresses_of(const settings& s);

/** Logs and leaves out entries that are not an address.
 * @param port Peer port of all balancers; replaces a port in the settings. */
std::vector<endpoint> seeds_of(const settings& s, uint16_t port);

/** @return Options of the control thread. Call once per process start: their
 * incarnation is the current time. */
directory_options directory_options_of(const settings& s,
                                       const forwarder_addresses& addresses);

/** @return Options of the traffic thread. */
forwarding_options forwarding_options_of(const settings& s);

/** @return A number that differs when the file's modification time does, not a
 * time; 0 if the file cannot be read. */
int64_t modification_stamp(const std::string& path);

}  // namespace turmeric

#endif  // TURMERIC_TRANSPORT_SRC_FORWARDING_FORWARDER_SETTINGS_H_
