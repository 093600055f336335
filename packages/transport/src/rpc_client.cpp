/** @file rpc_client.cpp JSON-RPC calls through libjsonrpccpp. */
#include "rpc_client_internal.h"

#include <jsonrpccpp/client.h>
#include <jsonrpccpp/client/connectors/httpclient.h>

namespace turmeric {

rpc_outcome call_rpc(const std::string& url,
                     const std::string& method,
                     const Json::Value& parameters,
                     long timeout_ms) {
  rpc_outcome out;
  try {
    jsonrpc::HttpClient connector(url);
    connector.SetTimeout(timeout_ms);
    jsonrpc::Client client(connector);
    out.value = client.CallMethod(method, parameters);
    out.ok = true;
  } catch (const jsonrpc::JsonRpcException& e) {
    out.message = e.GetMessage();
  }
  return out;
}

}  // namespace turmeric
