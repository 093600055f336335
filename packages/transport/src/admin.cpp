/** @file admin.cpp JSON-RPC server by libjsonrpccpp on cpp-httplib. */
#include "turmeric/transport/admin_base.h"

#include <fmt/format.h>
#include <httplib.h>
#include <jsonrpccpp/server.h>

#include <thread>

#include "rpc_client_internal.h"
#include "turmeric/state/json_func.h"
#include "turmeric/state/service_type.h"
#include "turmeric/transport/clock_func.h"

namespace turmeric {
namespace {

/** Largest difference between the time in a request and the balancer's clock,
 * as clocks of operators and instances may differ. */
constexpr time_us clock_tolerance = 60 * us_per_s;
constexpr long call_timeout_ms = 3000;
constexpr size_t max_request_bytes = 64 * 1024;

/** @return The text whose tag signs a request.
 * @param time Microseconds since the Unix epoch. */
std::string signed_text(const std::string& method,
                        const Json::Value& arguments,
                        int64_t time) {
  return fmt::format("{} {} {}", method, json_text(arguments), time);
}

/** Binds one address only, which the server of libjsonrpccpp cannot. */
class http_connector : public jsonrpc::AbstractServerConnector {
 public:
  explicit http_connector(endpoint local) : local_(local) {
    server_.set_payload_max_length(max_request_bytes);
    server_.Post("/",
                 [this](const httplib::Request& in, httplib::Response& out) {
                   std::string response;
                   GetHandler()->HandleRequest(in.body, response);
                   out.set_content(response, "application/json");
                 });
  }

  bool StartListening() override {
    const std::string text = to_text(local_);
    const std::string host = text.substr(0, text.find(':'));
    if (!server_.bind_to_port(host.c_str(), local_.port))
      return false;
    thread_ = std::thread([this] { server_.listen_after_bind(); });
    return true;
  }

  bool StopListening() override {
    server_.stop();
    if (thread_.joinable())
      thread_.join();
    return true;
  }

  // Unused: the handler above returns the response itself.
  bool SendResponse(const std::string&, void*) override { return false; }

 private:
  endpoint local_;
  httplib::Server server_;
  std::thread thread_;
};

class rpc_methods : public jsonrpc::AbstractServer<rpc_methods> {
 public:
  rpc_methods(jsonrpc::AbstractServerConnector& connector,
              codec_context context,
              admin_hooks hooks)
      : jsonrpc::AbstractServer<rpc_methods>(connector),
        context_(std::move(context)),
        hooks_(std::move(hooks)) {
    add("status", &rpc_methods::status);
    add("metrics", &rpc_methods::metrics);
    add("set_log_level", &rpc_methods::set_log_level);
  }

 private:
  using method = void (rpc_methods::*)(const Json::Value&, Json::Value&);

  void add(const std::string& name, method m) {
    bindAndAddMethod(
        jsonrpc::Procedure(name, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT,
                           "arguments", jsonrpc::JSON_OBJECT, "time",
                           jsonrpc::JSON_INTEGER, "tag", jsonrpc::JSON_STRING,
                           nullptr),
        m);
  }

  /** Checks the tag and the time of a request.
   * @return Whether the request is valid; if not, @p out has the error. */
  bool authenticate(const std::string& name,
                    const Json::Value& in,
                    Json::Value* out) const {
    const int64_t time = in["time"].asInt64();
    const std::string expected =
        hex_tag(context_, signed_text(name, in["arguments"], time));
    const bool fresh = std::abs(time - wall_now()) <= clock_tolerance;
    if (fresh && same_tag(expected, in["tag"].asString()))
      return true;
    (*out)["error"] = static_cast<int>(result_code::bad_signature);
    return false;
  }

  void status(const Json::Value& in, Json::Value& out) {
    if (authenticate("status", in, &out))
      out = hooks_.status();
  }

  void metrics(const Json::Value& in, Json::Value& out) {
    if (authenticate("metrics", in, &out))
      out = hooks_.metrics();
  }

  void set_log_level(const Json::Value& in, Json::Value& out) {
    if (!authenticate("set_log_level", in, &out))
      return;
    const Json::Value& arguments = in["arguments"];
    const bool level_set = hooks_.set_log_level(
        arguments["category"].asString(), arguments["level"].asString());
    if (!level_set)
      out["error"] = static_cast<int>(result_code::not_found);
    else
      out = Json::objectValue;
  }

  codec_context context_;
  admin_hooks hooks_;
};

}  // namespace

struct admin_server::impl {
  impl(endpoint local, codec_context context, admin_hooks hooks)
      : connector(local),
        methods(connector, std::move(context), std::move(hooks)) {}

  http_connector connector;
  rpc_methods methods;
  bool listening = false;
};

admin_server::admin_server(endpoint local,
                           codec_context context,
                           admin_hooks hooks)
    : impl_(
          std::make_unique<impl>(local, std::move(context), std::move(hooks))) {
}

admin_server::~admin_server() {
  stop();
}

result<void> admin_server::start() {
  impl_->listening = impl_->methods.StartListening();
  if (!impl_->listening)
    return fail(result_code::internal,
                "cannot bind the admin server to network.address and "
                "network.admin_port");
  return boost::outcome_v2::success();
}

void admin_server::stop() {
  if (impl_->listening)
    impl_->methods.StopListening();
  impl_->listening = false;
}

result<Json::Value> call_admin(endpoint balancer,
                               const codec_context& context,
                               const std::string& method,
                               Json::Value arguments) {
  const int64_t time = wall_now();
  Json::Value parameters;
  parameters["time"] = Json::Int64(time);
  parameters["tag"] = hex_tag(context, signed_text(method, arguments, time));
  parameters["arguments"] = std::move(arguments);
  const rpc_outcome outcome = call_rpc("http://" + to_text(balancer) + "/",
                                       method, parameters, call_timeout_ms);
  if (!outcome.ok)
    return fail(result_code::balancer_unreachable, outcome.message);
  if (outcome.value.isMember("error")) {
    const auto code = static_cast<result_code>(outcome.value["error"].asInt());
    return fail(code, std::string(row_of(code).description));
  }
  return outcome.value;
}

}  // namespace turmeric
