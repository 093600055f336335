/** @file target_client_func.h Requests to targets over HTTP.
 *
 * Every request has its own connection: on a reused connection that fails, the
 * HTTP library may resend the request, and the target might run it twice.
 */
#ifndef TURMERIC_TRANSPORT_TARGET_CLIENT_FUNC_H_
#define TURMERIC_TRANSPORT_TARGET_CLIENT_FUNC_H_

#include "turmeric/coordination/traffic_core_base.h"

namespace turmeric {

/** Response header with which a target reports that it did not run a request.
 */
constexpr const char* not_run_header = "X-Not-Run";

/** Runs one request and blocks until it ends. Connecting takes at most 0.3 s,
 * and each write or read at most the time to the deadline plus 0.2 s. */
work_result run_on_target(const start_work& work);

/** Asks a target to cancel a request and ignores the response. Connecting takes
 * at most 0.3 s, and each write or read at most 1 s. */
void cancel_on_target(const cancel_work& work);

}  // namespace turmeric

#endif  // TURMERIC_TRANSPORT_TARGET_CLIENT_FUNC_H_
