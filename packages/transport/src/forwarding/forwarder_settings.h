/** @file forwarder_settings.h What the forwarding mode takes from the settings.
 */
#ifndef TURMERIC_TRANSPORT_SRC_FORWARDING_FORWARDER_SETTINGS_H_
#define TURMERIC_TRANSPORT_SRC_FORWARDING_FORWARDER_SETTINGS_H_

#include <string>
#include <vector>

#include "turmeric/coordination/directory_core_base.h"
#include "turmeric/coordination/forwarding_core_base.h"
#include "turmeric/state/settings_base.h"

namespace turmeric {

/** Addresses of one balancer, read from its settings. */
struct forwarder_addresses {
  endpoint packets;
  endpoint ready;
  endpoint peers;
  endpoint registry;
};

/** Reads the addresses.
 * @return `setting_out_of_range` naming the setting that is none. */
result<forwarder_addresses> addresses_of(const settings& s);

/** Reads the seeds; each gets the port that all balancers use. Entries that are
 * no address are logged and left out. */
std::vector<endpoint> seeds_of(const settings& s, uint16_t port);

/** @return Options of the control thread, for a process that starts now. */
directory_options directory_options_of(const settings& s,
                                       const forwarder_addresses& addresses);

/** @return Options of the traffic thread. */
forwarding_options forwarding_options_of(const settings& s);

/** @return The time of a file's last change; 0 if it cannot be read. */
int64_t changed_at(const std::string& path);

}  // namespace turmeric

#endif  // TURMERIC_TRANSPORT_SRC_FORWARDING_FORWARDER_SETTINGS_H_
