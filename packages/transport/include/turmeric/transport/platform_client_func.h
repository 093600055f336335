/** @file platform_client_func.h Calls to the platform's object API over HTTP.
 *
 * One call is one HTTP request. There are no retries here: the cores decide on
 * them. The API: `POST /v1/OP` with a JSON body {name, version, value,
 * timeout_ms} returns {status, objects: [{name, version, value}]}.
 */
#ifndef TURMERIC_TRANSPORT_PLATFORM_CLIENT_FUNC_H_
#define TURMERIC_TRANSPORT_PLATFORM_CLIENT_FUNC_H_

#include "turmeric/state/message_type.h"
#include "turmeric/state/platform_type.h"

namespace turmeric {

/** Runs one call and blocks until it ends. Connecting takes at most 0.5 s, and
 * each read at most the call's timeout plus 1 s.
 * @return `unavailable` if no valid reply came; the call may have taken effect.
 */
platform_reply call_platform(endpoint platform, const platform_call& call);

/** @return The JSON body of the request for @p call. */
std::string platform_call_to_json(const platform_call& call);

/** Reads the JSON body of a request.
 * @return false if it is invalid; @p out is then unchanged. */
bool platform_call_from_json(const std::string& text, platform_call* out);

/** @return The JSON body of the response with @p reply. */
std::string platform_reply_to_json(const platform_reply& reply);

/** Reads the JSON body of a response; the id is not part of it.
 * @return A reply with status `unavailable` if the body is invalid. */
platform_reply platform_reply_from_json(const std::string& text);

}  // namespace turmeric

#endif  // TURMERIC_TRANSPORT_PLATFORM_CLIENT_FUNC_H_
