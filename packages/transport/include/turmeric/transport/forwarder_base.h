/** @file forwarder_base.h A balancer of the forwarding mode: event loop,
 * control actor and traffic thread. */
#ifndef TURMERIC_TRANSPORT_FORWARDER_BASE_H_
#define TURMERIC_TRANSPORT_FORWARDER_BASE_H_

#include <functional>
#include <memory>

#include "turmeric/state/error_type.h"
#include "turmeric/state/settings_base.h"

namespace turmeric {

using settings_reader = std::function<result<settings>()>;

/** Runs a balancer until SIGTERM or SIGINT. After the signal it keeps
 * forwarding until the routers send it no more packets, at most for the grace
 * period of the settings.
 * @param settings_path File whose modification time is polled for changes.
 * @param reread_settings Called after SIGHUP and when the file at
 * @p settings_path changes. If it fails, the old settings stay in use; of new
 * settings, only the seeds, the grace period, and the instance's name and zone
 * on the status page take effect.
 * @return The first error of starting, or success after a stop. */
result<void> run_forwarder(const settings& options,
                           const std::string& settings_path,
                           const settings_reader& reread_settings);

}  // namespace turmeric

#endif  // TURMERIC_TRANSPORT_FORWARDER_BASE_H_
