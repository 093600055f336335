/** @file platform_client_func.h Calls to the platform's object API over HTTP.
 *
 * One call is one HTTP request; retries are the cores' decision. The API:
 * `POST /v1/OP` with a JSON body {name, version, value, timeout_ms} answers
 * {status, objects: [{name, version, value}]}.
 */
#ifndef TURMERIC_TRANSPORT_PLATFORM_CLIENT_FUNC_H_
#define TURMERIC_TRANSPORT_PLATFORM_CLIENT_FUNC_H_

#include "turmeric/state/message_type.h"
#include "turmeric/state/platform_type.h"

namespace turmeric {

/** Runs one call; blocks for its time-out at most.
 * @return `unavailable` if no answer came; the call may have taken effect. */
platform_reply call_platform(endpoint platform, const platform_call& call);

/** @return The JSON body of a request. */
std::string platform_call_to_json(const platform_call& call);

/** Reads the JSON body of a request. @return Whether it is one. */
bool platform_call_from_json(const std::string& text, platform_call* out);

/** @return The JSON body of an answer. */
std::string platform_reply_to_json(const platform_reply& reply);

/** Reads the JSON body of an answer; `unavailable` if it is none. */
platform_reply platform_reply_from_json(const std::string& text);

}  // namespace turmeric

#endif  // TURMERIC_TRANSPORT_PLATFORM_CLIENT_FUNC_H_
