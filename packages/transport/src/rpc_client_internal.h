/** @file rpc_client_internal.h JSON-RPC calls.
 *
 * The client headers of libjsonrpccpp 0.7 use dynamic exception
 * specifications, which C++17 removed; the source beside this header is
 * compiled as C++14 and shares nothing but standard types.
 */
#ifndef TURMERIC_TRANSPORT_RPC_CLIENT_INTERNAL_H_
#define TURMERIC_TRANSPORT_RPC_CLIENT_INTERNAL_H_

#include <json/json.h>

#include <string>

namespace turmeric {

/** The end of a JSON-RPC call. */
struct rpc_outcome {
  bool ok = false;
  Json::Value value;
  std::string message;  ///< Why it failed.
};

/** Calls @p method at @p url; blocks for @p timeout_ms at most. */
rpc_outcome call_rpc(const std::string& url,
                     const std::string& method,
                     const Json::Value& parameters,
                     long timeout_ms);

}  // namespace turmeric

#endif  // TURMERIC_TRANSPORT_RPC_CLIENT_INTERNAL_H_
