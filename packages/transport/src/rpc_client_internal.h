/** @file rpc_client_internal.h JSON-RPC calls.
 *
 * The client headers of libjsonrpccpp 0.7 use dynamic exception
 * specifications, which C++17 removed. Therefore rpc_client.cpp is compiled as
 * C++14, and its interface has only types of the standard library and of
 * JsonCpp.
 */
#ifndef TURMERIC_TRANSPORT_RPC_CLIENT_INTERNAL_H_
#define TURMERIC_TRANSPORT_RPC_CLIENT_INTERNAL_H_

#include <json/json.h>

#include <string>

namespace turmeric {

/** Result of a JSON-RPC call. */
struct rpc_outcome {
  bool ok = false;
  Json::Value value;
  std::string message;  ///< Error message if `ok` is false.
};

/** Calls @p method at @p url; blocks for at most @p timeout_ms. */
rpc_outcome call_rpc(const std::string& url,
                     const std::string& method,
                     const Json::Value& parameters,
                     long timeout_ms);

}  // namespace turmeric

#endif  // TURMERIC_TRANSPORT_RPC_CLIENT_INTERNAL_H_
