/** @file target_client_func.h Requests to targets over HTTP.
 *
 * Every request has a connection of its own: a request resent by the library
 * on a reused connection that broke might run twice.
 */
#ifndef TURMERIC_TRANSPORT_TARGET_CLIENT_FUNC_H_
#define TURMERIC_TRANSPORT_TARGET_CLIENT_FUNC_H_

#include "turmeric/coordination/traffic_core_base.h"

namespace turmeric {

/** Header by which a target says that it did not run a request. */
constexpr const char* not_run_header = "X-Not-Run";

/** Runs one request; blocks until its deadline at most. */
work_result run_on_target(const start_work& work);

/** Tells a target to give up a request; the answer does not matter. */
void cancel_on_target(const cancel_work& work);

}  // namespace turmeric

#endif  // TURMERIC_TRANSPORT_TARGET_CLIENT_FUNC_H_
