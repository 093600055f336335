/** @file forwarder_base.h A balancer of the forwarding mode: event loop,
 * control actor and traffic thread. */
#ifndef TURMERIC_TRANSPORT_FORWARDER_BASE_H_
#define TURMERIC_TRANSPORT_FORWARDER_BASE_H_

#include <functional>
#include <memory>

#include "turmeric/state/error_type.h"
#include "turmeric/state/settings_base.h"

namespace turmeric {

/** Reads the settings again after they changed. */
using settings_reader = std::function<result<settings>()>;

/** Runs until SIGTERM or SIGINT.
 * @param read_again Called after SIGHUP and when @p settings_path changes.
 * @return The first error of starting, or success after a stop. */
result<void> run_forwarder(const settings& options,
                           const std::string& settings_path,
                           const settings_reader& read_again);

}  // namespace turmeric

#endif  // TURMERIC_TRANSPORT_FORWARDER_BASE_H_
