/** @file main.cpp The balancer daemon. */
#include <dlfcn.h>
#include <fmt/format.h>
#include <getopt.h>

#include <csignal>
#include <cstdlib>

#include "requests_mode.h"
#include "turmeric/state/log_func.h"
#include "turmeric/transport/forwarder_base.h"

namespace turmeric {
namespace {

/** Names the settings file where the command line does not. */
constexpr const char* settings_variable = "TURMERICSTREAM_SETTINGS";
constexpr std::string_view forwarding_mode = "forwarding";
constexpr std::string_view requests_mode = "requests";

constexpr const char* usage_text =
    "Usage: turmericd [--settings FILE]\n"
    "\n"
    "Runs one balancer until SIGTERM or `turmericstream instance drain`.\n"
    "\n"
    "  -s, --settings FILE   INI file with the settings; without it, the file\n"
    "                        that TURMERICSTREAM_SETTINGS names\n"
    "  -S, --help-settings   print the table of settings\n"
    "  -h, --help            print this text\n";

int report(const error& e) {
  fmt::print(stderr, "turmericd: {}\n", to_text(e));
  return static_cast<int>(e.code);
}

/** Loads the module of the requests mode and runs it. */
int run_requests(const std::string& settings_path) {
  void* module = dlopen(requests_module, RTLD_NOW);
  void* entry = module == nullptr ? nullptr : dlsym(module, requests_entry);
  if (entry == nullptr)
    return report(error{result_code::internal, dlerror(), "", 0});
  const auto run = reinterpret_cast<decltype(&turmericd_run_requests)>(entry);
  return run(settings_path.c_str());
}

/** Runs the mode that the settings name. */
int run_mode(const std::string& path) {
  auto read = read_settings(path);
  if (!read)
    return report(read.error());
  const settings& s = read.value();
  std::signal(SIGPIPE, SIG_IGN);
  const std::string& mode = s.text(setting::instance_mode);
  if (mode == requests_mode)
    return run_requests(path);
  if (mode != forwarding_mode) {
    return report(error{result_code::setting_out_of_range,
                        fmt::format("instance.mode is '{}', expected {} or {}",
                                    mode, requests_mode, forwarding_mode),
                        path, 0});
  }
  const log_level level = log_level_from(s.text(setting::log_level));
  if (level == log_level::end) {
    return report(error{result_code::setting_out_of_range,
                        "log.level is no level: " + s.text(setting::log_level),
                        path, 0});
  }
  set_log_instance(s.text(setting::instance_name));
  set_log_level(log_category::end, level);
  auto ended = run_forwarder(s, path, [path] { return read_settings(path); });
  return ended ? 0 : report(ended.error());
}

int main_of(int argc, char** argv) {
  const option options[] = {{"settings", required_argument, nullptr, 's'},
                            {"help-settings", no_argument, nullptr, 'S'},
                            {"help", no_argument, nullptr, 'h'},
                            {nullptr, 0, nullptr, 0}};
  const char* named = std::getenv(settings_variable);
  std::string path = named == nullptr ? "" : named;
  for (int c = 0;
       (c = getopt_long(argc, argv, "s:Sh", options, nullptr)) != -1;) {
    switch (c) {
      case 's':
        path = optarg;
        break;
      case 'S':
        fmt::print("{}", settings_help());
        return 0;
      case 'h':
        fmt::print("{}", usage_text);
        return 0;
      default:
        fmt::print(stderr, "{}", usage_text);
        return static_cast<int>(result_code::usage);
    }
  }
  if (path.empty()) {
    fmt::print(stderr, "{}", usage_text);
    return static_cast<int>(result_code::usage);
  }
  return run_mode(path);
}

}  // namespace
}  // namespace turmeric

int main(int argc, char** argv) {
  return turmeric::main_of(argc, argv);
}
